Feature: A router that stops cuts off nothing

  Scenario: A request that has arrived when idle connections are closed is answered
    Given a platform with lookups in both zones
    And a kept connection
    When a request arrives on it just before idle connections are closed
    Then it is answered in full

  Scenario: A kept connection without a request is closed
    Given a platform with lookups in both zones
    And a kept connection
    When idle connections are closed
    Then the connection ends within 500 ms

  Scenario: New connections are served while the router stops
    Given a platform with lookups in both zones
    When the router is told to stop
    Then it is not ready at once
    And a request on a new connection is answered in full and the connection closes
    And the router ends within its grace

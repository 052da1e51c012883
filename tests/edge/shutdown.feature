Feature: A router shuts down without cutting off requests

  Scenario: A request that arrives just before idle connections are closed is served
    Given a platform with lookups in both zones
    And an idle keep-alive connection
    When a request arrives on it just before idle connections are closed
    Then the full response arrives

  Scenario: An idle keep-alive connection is closed
    Given a platform with lookups in both zones
    And an idle keep-alive connection
    When idle connections are closed
    Then the connection ends within 500 ms

  Scenario: New connections are served while the router stops
    Given a platform with lookups in both zones
    When the router is told to stop
    Then it becomes unready at once
    And a request on a new connection gets a full response that closes the connection
    And the router stops within its grace period

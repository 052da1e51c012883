Feature: Routers relay changes of the store to each other on real connections

  # Guards against one odd message that ends a relay.
  Scenario: A relay goes on after odd requests
    Given a platform with 12 routers in one zone that may relay
    When a relay gets odd requests
    Then it answers a request for changes

  Scenario: Routers on real connections hear of targets through two of them
    Given a platform with 12 routers in one zone that may relay
    When targets are added and removed for 3 s
    Then all routers know the same targets within 1 s
    And at least 9 of them have not called the store meanwhile

  # Guards against routers that hear nothing while the relays of their zone are gone.
  Scenario: Routers on real connections hear of targets after their relays have ended
    Given a platform with 12 routers in one zone that may relay
    When the routers that relay end
    And a target is added
    Then all routers know the same targets within 2 s

  # Guards against callers' keys that anyone can ask a relay for.
  Scenario: Routers read the configuration from the store and never from a relay
    Given a platform with 12 routers in one zone that may relay
    When the configuration changes
    Then all routers put it in force within 1 s with one call each
    And no relay holds it

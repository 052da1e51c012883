Feature: The key of a request that did not run can be used again

  # Guards against repeats that get "unknown" as the home that knows the key is new.
  Scenario: A request that was refused as not run runs after its key's home has moved
    Given agents in three zones, targets and a router
    When the home of a key stops for good after it stored the key's claim
    And the caller repeats the request while it is refused as not run
    Then the caller gets the complete response of a single run

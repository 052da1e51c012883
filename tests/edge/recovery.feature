Feature: Routers recover at once after all were lost, and drop outdated state

  Scenario: The state of targets that have left is dropped
    Given a platform with a model and lookups
    And a router that has given orders, sent requests and suspected targets
    When every target has left
    Then the router has no state of them left

  Scenario Outline: All routers are lost at once and one comes back to <state>
    Given a platform with a model and lookups
    And a configuration that was acknowledged just before every router was killed
    And a store in which <state>
    When a router starts without any state
    Then a draft and a lookup sent at once are served
    And the newest configuration is in force

    Examples:
      | state                                       |
      | nothing else happened                       |
      | a dead router still holds the planner lease |
      | the history was dropped                     |

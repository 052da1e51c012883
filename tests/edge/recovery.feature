Feature: Routers that were all lost serve again at once, and keep nothing for ever

  Scenario: Nothing is kept of targets that are gone
    Given a platform with a model and lookups
    And a router that has given orders, sent requests and doubted targets
    When every target is gone
    Then the router keeps nothing of them

  Scenario Outline: All routers are lost at once and one comes back to <state>
    Given a platform with a model and lookups
    And a configuration that was acknowledged just before every router was killed
    And a store in which <state>
    When a router starts with an empty memory
    Then a draft and a lookup sent at once are served
    And the newest configuration is in force

    Examples:
      | state                                  |
      | nothing else happened                  |
      | a dead router still holds the planning |
      | the history was forgotten              |

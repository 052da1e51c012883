Feature: A request that crashes its targets is kept away from them

  # Guards against BUDGET: copies of one request crashed target after target.
  Scenario Outline: A <kind> that crashes its targets soon reaches no more of them
    Given 3 routers and <firsts> first targets a zone for drafts that share parts
    And 3 targets of lookups that answer after 0.06 seconds
    And each target crashes on one <kind> and is back after 1 second
    When <kind> requests come at 24 a second for 10 seconds, 1 in 6 of them that one
    Then that one reaches at most 3 targets later than 3 seconds after the third crash
    And at least 90 in 100 of the others after that are served

    Examples:
      | kind   | firsts |
      | lookup | 2      |
      | hold   | 2      |
      | draft  | 2      |
      | draft  | 6      |

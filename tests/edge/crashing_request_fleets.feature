Feature: Routers infer from crashes which request causes them

  # Guards against BUDGET: copies of one request still reach targets after the bound.
  # Guards against LOST: sound requests are refused that stood beside a crashing one.
  # Seeds are those that failed once. By hand: CHERVILSTALL_DRAWN_FLEETS=30.
  Scenario Outline: A crashing request is found in drawn fleets with <case>
    When 4 drawn fleets with <case> are played, and those of seeds "<seeds>"
    Then in each a crashing request reaches at most 3 targets later than the bound
    And in each a crashing part reaches at most 3 targets later than the bound
    And in each sound requests begin at least half as often as before
    And in each no sound request stays refused

    Examples:
      | case                                                          | seeds |
      | a crashing draft                                              | none  |
      | a crashing draft beside a crashing part                       | none  |
      | a crashing lookup and nothing else                            | none  |
      | a crashing lookup and sent at most once                       | none  |
      | a crashing lookup and a popular sound one beside it           | none  |
      | a crashing lookup and other crashes beside it                 | none  |
      | a crashing lookup and no crashing one, but a popular one and crashes | none |
      | a crashing lookup and two crashing ones                       | 9, 14, 15, 33, 39, 43 |
      | a crashing lookup and many repeats                            | none  |
      | a crashing lookup and restarts                                | none  |
      | a crashing lookup and routers that join                       | none  |
      | a crashing lookup and routers that hear late                  | none  |
      | a crashing lookup and routers cut from the store              | none  |
      | a crashing lookup and the store away                          | none  |
      | a crashing lookup and the store back from an old copy         | none  |
      | a crashing lookup and a long day                              | none  |

  # Guards against BUDGET: a crashing request reaches targets of another service as well.
  Scenario: A crashing request is found in drawn fleets as it moves to another service
    When 9 drawn fleets with a crashing lookup and a move to another service are played for the crashing part alone
    Then in each a crashing request reaches at most 3 targets later than the bound

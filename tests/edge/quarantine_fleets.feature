Feature: Routers infer from crashes which part of a prompt causes them

  # Guards against BUDGET: a part that crashes targets still reaches them after the bound.
  # Guards against LOST: sound requests are refused for what they share with crashing ones.
  # Seeds are those that failed once. By hand: CHERVILSTALL_DRAWN_FLEETS=30.
  Scenario Outline: A crashing part is found in drawn fleets with <case>
    When 4 drawn fleets with <case> are played, and those of seeds "<seeds>"
    Then in each a crashing part reaches at most 3 targets later than the bound
    And in each sound requests begin at least half as often as before
    And in each no sound request stays refused

    Examples:
      | case                              | seeds                    |
      | nothing else                      | 3, 11, 28                |
      | a part that comes first           | none                     |
      | two crashing parts                  | 0, 1, 3, 6, 12, 14, 18, 21, 28 |
      | a part that crashes one service only | 3, 12, 15, 18, 19, 21    |
      | a burst of other crashes          | none                     |
      | crashes one after the other       | none                     |
      | crashes while a caller is new     | none                     |
      | other crashes beside it           | 8, 15, 18                |
      | callers that name false parts     | 3, 12, 15, 20, 21        |
      | many repeats                      | 3, 12                    |
      | slow answers                      | 28                       |
      | a long day                        | 15, 28                   |
      | a part that crashes in the middle of answers | none          |
      | a part that crashes in the middle of answers, and other crashes | none |

  # Guards against BUDGET: a part that crashes targets still reaches them after the bound.
  Scenario Outline: A crashing part is found in drawn fleets with <case>, whatever came before
    When 9 drawn fleets with <case> are played for the crashing part alone
    Then in each a crashing part reaches at most 3 targets later than the bound
    And in each a crashing part reaches at most 3 targets of all services later

    Examples:
      | case                                     |
      | a part that comes with the first requests |
      | a part that was harmless before          |
      | a move to another service                |

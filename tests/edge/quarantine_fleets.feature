Feature: Routers infer from crashes which part of a prompt causes them

  # Guards against BUDGET: a part that crashes targets still reaches them after the bound.
  # Guards against LOST: sound requests are refused for what they share with deadly ones.
  Scenario Outline: A deadly part is found in drawn fleets with <case>
    When 30 drawn fleets with <case> are played
    Then in each a deadly part reaches at most 3 targets later than the bound
    And in each sound requests begin at least half as often as before
    And in each no sound request stays refused

    Examples:
      | case                              |
      | nothing else                      |
      | a part that comes first           |
      | two deadly parts                  |
      | a part deadly to one service only |
      | a burst of other crashes          |
      | crashes one after the other       |
      | crashes while a caller is new     |
      | other crashes beside it           |
      | callers that name false parts     |
      | many repeats                      |
      | slow answers                      |
      | a long day                        |

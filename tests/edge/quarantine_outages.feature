Feature: Routers infer deadly parts while some of them or the store are away

  # Guards against BUDGET: a part that crashes targets still reaches them after the bound.
  # Guards against LOST: sound requests are refused for what they share with deadly ones.
  Scenario Outline: A deadly part is found in drawn fleets despite <case>
    When 30 drawn fleets with <case> are played
    Then in each a deadly part reaches at most 3 targets later than the bound
    And in each sound requests begin at least half as often as before
    And in each no sound request stays refused

    Examples:
      | case                              |
      | restarts                          |
      | routers that join                 |
      | routers that hear late            |
      | routers cut from the store        |
      | the store away                    |
      | the store back from an old copy   |

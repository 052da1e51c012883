Feature: Routers infer crashing parts while some of them or the store are away

  # Guards against BUDGET: a part that crashes targets still reaches them after the bound.
  # Guards against LOST: sound requests are refused for what they share with crashing ones.
  # Seeds are those that failed once. By hand: CHERVILSTALL_DRAWN_FLEETS=30.
  Scenario Outline: A crashing part is found in drawn fleets despite <case>
    When 4 drawn fleets with <case> are played, and those of seeds "<seeds>"
    Then in each a crashing part reaches at most 3 targets later than the bound
    And in each sound requests begin at least half as often as before
    And in each no sound request stays refused

    Examples:
      | case                              | seeds                    |
      | restarts                          | 12, 28                   |
      | routers that join                 | 12, 28                   |
      | routers that hear late            | 3, 15, 18                |
      | routers cut from the store        | 15                       |
      | the store away                    | 12                       |
      | the store back from an old copy   | 8, 12                    |

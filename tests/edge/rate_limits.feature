Feature: Targets name the rate of requests that they take from all routers together

  # Guards against LIMIT: each router went on sending as if no limit had been named.
  Scenario Outline: Routers together keep to the limit that a target names
    Given 3 routers before <what>
    And the first target of the own zone names a limit of 1.5 a second after 2 seconds
    When <what> are asked for at 6 a second for 10 seconds
    Then that target gets no more than its limit allows from routers that were told
    And the other requests are served elsewhere

    Examples:
      | what    |
      | lookups |
      | drafts  |

  # Guards against LIMIT: the parts of the routers add up to more than the limit allows.
  Scenario Outline: A limit holds in drawn fleets with <case>
    Then in 30 drawn fleets with <case> no window has more than the limit allows

    Examples:
      | case                          |
      | nothing else                  |
      | bursts at all routers at once |
      | routers cut from the store    |
      | restarts                      |
      | routers that join             |
      | requests long on their way    |
      | many routers                  |
      | many routers behind relays    |
      | routers that are pressed      |
      | requests late by turns        |

  # Guards against routers without a part of a limit that keep to it for ever.
  Scenario: A limit that is lifted ends at every router
    Then in 30 drawn fleets a lifted limit is unknown to all routers 5 seconds later

  # Guards against a target in need that is hardly used.
  Scenario: A limit is used for the requests that it allows
    Then in 30 drawn fleets at least half of what a limit allows is sent

  # Guards against BUDGET: a target gets requests in the time for which it wants none.
  Scenario Outline: A target that refuses with Retry-After gets nothing for that long
    Given 1 routers before <what>
    And the first target of the own zone refuses with a Retry-After of 2.5 seconds
    When <what> are asked for at 10 a second for 4 seconds
    Then that target gets at most 2 requests in the time for which it wants none
    And the other requests are served elsewhere

    Examples:
      | what    |
      | lookups |
      | drafts  |

Feature: All routers together stay within the retry budget

  Scenario: No window of any fleet exceeds the retry budget
    Then for 50 drawn fleets no window has more repeats than the bound allows

  Scenario: Part of the budget is reserved for responses that have begun
    Given a budget whose first part is used up
    Then a request without an answer is refused a repeat and a begun one is not

  # Guards against BUDGET: reservations used late, beside the retries of a new window.
  Scenario: A retry that is reserved counts in the window in which it is sent
    Given a budget whose retries are all reserved and sent 9 seconds later
    When as many retries as the budget allows are sent 2 seconds after that
    Then the last window has no more retries than the bound allows

  # Guards against BUDGET: a router does not tell its budget that it has just started.
  Scenario: A router that has just started uses a third of what it uses later
    Given a platform with lookups in both zones
    Then the new router makes a few retries and at most a third of those of a later one

  # Guards against BUDGET: a restarted router has its whole share again in the same window.
  Scenario Outline: <routers> routers that restart <how> <restarts> times stay within the bound
    Then in <fleets> drawn fleets of <routers> routers that restart <how>, <restarts> times in a window, no window has more retries than the bound allows

    Examples:
      | routers | how       | restarts | fleets |
      | 6       | in series | 1        | 40     |
      | 6       | at once   | 1        | 40     |
      | 77      | in series | 1        | 20     |
      | 77      | at once   | 1        | 20     |
      | 6       | in series | 2        | 40     |
      | 6       | at once   | 2        | 40     |
      | 77      | in series | 2        | 20     |
      | 77      | at once   | 2        | 20     |
      | 195     | in series | 2        | 10     |
      | 195     | at once   | 2        | 10     |

  # Guards against LOST and BUDGET: streams that fell with all links of their routers waited for retries until their callers left.
  Scenario Outline: Of <routers> routers half lose <streams> streams each at one moment, <times> times, and go on with them
    Given <routers> routers of which half lose <streams> streams each at one moment, <times> times
    Then 9 in 10 of these streams get a retry, own or borrowed
    And no window has more retries than the budget's bound allows

    Examples:
      | routers | streams | times |
      | 6       | 14      | 1     |
      | 62      | 8       | 1     |
      | 77      | 7       | 1     |
      | 2100    | 5       | 1     |

  # Guards against BUDGET: loans that count at neither router, or in another window than that of their use.
  Scenario Outline: <routers> routers that lose streams all the time stay within the bound
    Given <routers> routers of which half lose 5 streams each at one moment, 30 times
    Then no window has more retries than the budget's bound allows

    Examples:
      | routers |
      | 6       |
      | 77      |

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

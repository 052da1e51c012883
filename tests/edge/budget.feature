Feature: All routers together stay within the retry budget

  Scenario: No window of any fleet exceeds the retry budget
    Then for 50 drawn fleets no window has more repeats than the bound allows

  Scenario: Part of the budget is reserved for responses that have begun
    Given a budget whose first part is used up
    Then a request without an answer is refused a repeat and a begun one is not

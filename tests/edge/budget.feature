Feature: All routers together keep to the bound on repeats

  Scenario: No window of any fleet exceeds the bound
    Then for 50 drawn fleets no window has more repeats than the bound allows

  Scenario: Answers that have begun keep a part for themselves
    Given a budget whose first part is used up
    Then a request without an answer is refused a repeat and a begun one is not

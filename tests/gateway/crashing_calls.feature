Feature: Calls that crash the targets of plain services are kept away from them

  # Guards against BUDGET: repeats of one call crash target after target.
  Scenario Outline: A <method> call that crashes its targets soon reaches no more of them
    Given a router and stand-in targets
    And every plain service crashes on one path for a moment
    When 20 <method> calls come one after the other, each second one with that path
    Then the last 5 of these crash no target and are refused as not run
    And each of the last 5 other calls is answered

    Examples:
      | method |
      | GET    |
      | POST   |

Feature: Prompts that crash engines are kept away from them

  # Guards against BUDGET: prompts with one part crash engine after engine.
  Scenario: A prefix that crashes engines soon reaches no more of them
    Given a router and stand-in targets
    And every engine crashes on one prefix of prompts for a moment
    When 40 prompts come one after the other, each second one with that prefix
    Then the last 10 of these crash no engine and are refused as not run
    And each of the other prompts that came with these is answered

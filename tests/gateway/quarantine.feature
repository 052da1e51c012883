Feature: Prompts that crash engines are kept away from them

  # Guards against BUDGET: prompts with one part crash engine after engine.
  # Guards against BUDGET: two tokens of an answer clear its prompt for good.
  Scenario Outline: A prefix that crashes engines after <tokens> tokens soon reaches no more of them
    Given a router and stand-in targets
    And every engine crashes on one prefix of prompts after <tokens> tokens
    When 40 prompts come one after the other, each second one with that prefix
    Then the last 10 of these crash no engine and are refused as not run
    And each of the other prompts that came with these is answered

    Examples:
      | tokens |
      | 0      |
      | 1      |
      | 2      |
      | 3      |

Feature: Long prompts beside short ones

  # Guards against figures in the note that the engine's times don't give.
  Scenario: The delays in the note are those calculated from the engine's figures
    Then docs/design/prompts.md has the delays on each accelerator type beside 0 to 4 long prompts

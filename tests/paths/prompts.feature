Feature: Long prompts beside short ones

  # Guards against figures in the note that the engine's times don't give.
  Scenario: The delays in the note are those calculated from the engine's figures
    Then docs/design/prompts.md has the delays on each accelerator type beside 0 to 4 long prompts

  # Guards against long prompts that delay many decoding requests where few would be.
  Scenario: A long prompt avoids the target with many decoding requests more than a short one
    Given two targets for the second stage, one with 100 decoding requests
    Then of 400 long prompts the other target gets at least 40 more than of 400 short ones

  # Guards against long prompts in zones whose requests this router doesn't know.
  Scenario: A long prompt stays in the zone though other zones seem idle
    Given a copy of the model in each of two zones, with 240 decoding requests here
    Then of 400 long prompts at most 10 leave the router's zone

  # Guards against short requests that wait behind long prompts.
  Scenario: A short prompt avoids a target that is busy with long ones
    Given two targets for the second stage, one with 24 long prompts queued
    Then of 400 short prompts at least 300 go to the other target

  # Guards against changes where sizes aren't known, and to streams that have begun.
  Scenario Outline: A stream that <state> has no prompt to weigh
    Given a stream with a prompt of 100 tokens and an answer of 200
    When the sized stream <state>
    Then it has no prompt to weigh

    Examples:
      | state                         |
      | declares no length            |
      | declares no prompt            |
      | has got an event              |
      | is resumed by its caller      |

  Scenario: What is left of the objective is at least a quarter of it
    Given a stream with a prompt of 100 tokens and an answer of 200
    When it has waited for 3 s
    Then a quarter of its objective counts as left

  # Guards against prompts of others that count without being renewed.
  Scenario: Prompts that others report count with or without the choice by load, for 1.75 s
    Given a router that weighs prompts, but not the load that others report
    When another router reports 3 s of prompts at a target
    Then they count there at once, but not 1.8 s later
    And the tokens that it reports don't count

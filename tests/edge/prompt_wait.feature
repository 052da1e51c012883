Feature: Long prompts that arrive at a router together are sent one after the other

  # Guards against waits that help nobody.
  Scenario Outline: A prompt is sent at once where <reason>
    Given a router that weighs prompts and got 20 short ones
    When a prompt arrives and <reason>
    Then it is sent at once

    Examples:
      | reason                                      |
      | it is short                                 |
      | nothing is queued on its path               |
      | one like it is queued on its path           |
      | more is queued on its path than can be waited for |

  # Guards against long prompts that are queued before short ones all at once.
  Scenario: A long prompt waits while two like it are queued on its path
    Given a router that weighs prompts and got 20 short ones
    When a long prompt arrives and two like it are queued on its path
    Then it waits until one of them is left

  # Guards against urgent prompts that are sent after others.
  Scenario: While a more urgent long prompt waits, others wait until nothing is queued
    Given a router that weighs prompts and got 20 short ones
    When a long prompt arrives, a more urgent one waits and one like it is queued
    Then it waits until none of them is left

  # Guards against prompts that starve, or are late because they waited.
  Scenario: No prompt waits for more than a quarter of its objective
    Given a router that weighs prompts and got 20 short ones
    When 10 urgent long prompts arrive each s and 10 that are less urgent, for 20 s
    Then some of both wait, none past a quarter of its objective, and all are sent

  # Guards against waits of streams that should go on as before.
  Scenario Outline: A stream isn't held where <reason>
    Given a router on whose paths long prompts are queued
    When a stream with a long prompt arrives and <reason>
    Then no path is chosen for it before its first send

    Examples:
      | reason                           |
      | prompts aren't weighed           |
      | another router forwarded it      |
      | its caller resumes it            |
      | its caller declares no length    |

  # Guards against a wait that goes on for a caller that has left, or is forgotten.
  Scenario: The wait of a stream ends when its caller disconnects
    Given a router on whose paths long prompts are queued
    When a stream with a long prompt is held and its caller disconnects
    Then its wait ends within a quarter of its objective and nothing waits any more
    And the wait is counted on the metrics address

  # Guards against a mode that the router doesn't follow.
  Scenario Outline: With the mode <mode>, a router <weighs> prompts
    Given a platform with a router whose mode of prompts is <mode>
    Then the router <weighs> prompts, and its metrics tell how many waited

    Examples:
      | mode | weighs       |
      | on   | weighs       |
      | auto | ignores      |
      | off  | ignores      |

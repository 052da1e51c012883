Feature: A target's faults never reach a caller as a wrong response

  Scenario Outline: A stream survives a fault of an engine: <fault>
    Given a router and stand-in targets
    When every engine has the fault "<fault>" at position 3 once
    And the caller streams 8 tokens from "assistant"
    Then the stream is complete and correct
    And the ledgers show no breach

    Examples:
      | fault                |
      | crossed              |
      | doubled              |
      | out_of_order         |
      | old_attempt          |
      | truncated            |
      | oversized            |
      | close_at_position    |
      | silent_at_position   |
      | die_at_position      |
      | refuse               |
      | silent_before_accept |
      | die_before_accept    |
      | die_after_accept     |

  # Guards against a caller that is held, past its deadline too, while an engine repeats what
  # gets its stream no further.
  Scenario Outline: A stream survives an engine that repeats an event without end: <fault>
    Given a router and stand-in targets
    When every engine has the fault "<fault>" at position 3 once
    And the caller streams 8 tokens from "assistant"
    Then the stream is complete and correct
    And the ledgers show no breach

    Examples:
      | fault                |
      | repeated_accept      |
      | repeated_token       |
      | repeated_old_attempt |

  # Guards against ORDER and MIXED: an error's text or head in the middle of a stream.
  Scenario Outline: A stream into which an engine writes an error holds nothing of it: <fault>
    Given a router and stand-in targets
    When every engine has the fault "<fault>" at position 3 once
    And the caller streams 8 tokens from "assistant"
    Then the stream is complete and correct
    And nothing of the error reaches the caller

    Examples:
      | fault       |
      | error_text  |
      | error_head  |
      | error_event |

  Scenario: A stream resumes from exported KV state where that is still readable
    Given a router and stand-in targets
    When every engine has the fault "silent_at_position" at position 3 once
    And the caller streams 8 tokens from "assistant"
    Then the stream is complete and correct
    And the stream was resumed from exported KV state

  Scenario: A slow engine is not mistaken for a broken connection
    Given a router and stand-in targets
    When every engine pauses 0.9 seconds at position 3 once
    And the caller streams 8 tokens from "assistant"
    Then the stream is complete and correct
    And the request took a single attempt

  # Guards against a second attempt for tokens sent while the engine was asked.
  Scenario: Tokens sent while a slow engine is asked for its progress are not missed
    Given a router and stand-in targets
    When every engine answers for its progress after 0.3 seconds
    And every engine pauses 0.45 seconds at position 3 once
    And the caller streams 8 tokens from "assistant"
    Then the stream is complete and correct
    And the request took a single attempt

  Scenario: A stream that cannot be completed ends with an explicit error
    Given a router and stand-in targets
    When every engine has the fault "close_at_position" at position 3 permanently
    And the caller streams 8 tokens from "assistant"
    Then the stream ends with an error after a correct beginning

  Scenario Outline: A service has a fault during a keyed <method>: <fault>
    Given a router and stand-in targets
    When every service has the fault "<fault>" once
    And the caller sends <method> to the holds service with an idempotency key
    Then the caller sees <outcome>
    And a repeat with the same key sees <repeat>
    And the operation ran <runs> times

    Examples:
      | method | fault                | outcome         | repeat          | runs |
      | POST   | none                 | the answer      | the same answer | 1    |
      | POST   | refuse               | the answer      | the same answer | 1    |
      | POST   | close_before_run     | outcome_unknown | outcome_unknown | 0    |
      | POST   | close_after_run      | outcome_unknown | outcome_unknown | 1    |
      | POST   | silent_before_accept | outcome_unknown | outcome_unknown | 0    |
      | POST   | silent_after_run     | outcome_unknown | outcome_unknown | 1    |
      | POST   | crossed              | outcome_unknown | outcome_unknown | 1    |
      | POST   | old_attempt          | outcome_unknown | outcome_unknown | 1    |

  Scenario: A request to a service without live instances is reported as not run
    Given a router and stand-in targets
    When every service instance is killed
    And the caller sends POST to the holds service with an idempotency key
    Then the caller sees an error that says it was not run

  # Guards against REFUSED and TWICE: an earlier refusal on a kept connection.
  Scenario Outline: An earlier refusal on a kept connection refuses no <method>
    Given a router and stand-in targets
    When every service writes an earlier refusal once more after its next answer
    And the caller sends GET to the holds service with an idempotency key
    And the earlier refusal has arrived
    And the caller sends another <method> to the holds service
    Then the other operation was answered and ran <runs> times

    Examples:
      | method | runs |
      | GET    | 1    |
      | POST   | 1    |

  # Guards against engines that are never polled again after one odd report.
  Scenario Outline: A target whose control responses hold <content> stays usable
    Given a router and stand-in targets
    When the engines' control responses hold <content> for a short time
    And the caller streams 8 tokens from "assistant"
    Then the stream is complete and correct
    And every engine is still polled

    Examples:
      | content                     |
      | another type                |
      | a number of 400 digits      |
      | a negative number           |
      | a field nested 100,000 deep |
      | no UTF-8                    |

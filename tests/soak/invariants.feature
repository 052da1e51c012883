Feature: The soak test reports every violated invariant, and nothing else

  Scenario Outline: The check <verdict> for <what>
    Given a request of kind <kind> with response <status> "<body>", executed <count> times
    When the responses are checked
    Then the check <verdict>

    Examples:
      | what                                     | kind           | status | body             | count | verdict |
      | a complete response                      | idempotent     | 200    | answer to r1     | 1     | passes  |
      | the response to another request          | idempotent     | 200    | answer to r2     | 1     | fails   |
      | a truncated response                     | non_idempotent | 200    | answer           | 1     | fails   |
      | a retried idempotent request             | idempotent     | 200    | answer to r1     | 2     | passes  |
      | a retried non-idempotent request         | non_idempotent | 200    | answer to r1     | 2     | fails   |
      | a refused request that was not executed  | non_idempotent | 503    | refused          | 0     | passes  |
      | a refused request that was executed      | non_idempotent | 503    | refused          | 1     | fails   |
      | an answer with a status that isn't one   | idempotent     | 600    | odd              | 1     | fails   |
      | an unknown outcome                       | non_idempotent | 502    | unknown          | 1     | passes  |
      | a complete stream                        | stream         | 200    | events 1 2 3     | 1     | passes  |
      | a complete response without the last event | stream       | 200    | events 1 2       | 1     | fails   |
      | a stream with a duplicate event          | stream         | 200    | events 1 2 2 3   | 2     | fails   |
      | a stream with a missing event            | stream         | 200    | events 1 3       | 1     | fails   |
      | a stream whose connection is cut off     | stream         | cut    | events 1 2       | 1     | passes  |

  Scenario: The check fails for an executed request that no caller sent
    Given a request of kind idempotent with response 200 "answer to r1", executed 1 times
    And an execution of "r9" that no caller sent
    When the responses are checked
    Then the check fails

  Scenario Outline: The check <verdict> for a request interrupted by a shutdown during the fault "<fault>"
    Given a request of kind non_idempotent with response 0 "", executed 1 times
    And its router received SIGTERM during the fault "<fault>"
    When the shutdown is checked
    Then the check <verdict>

    Examples:
      | fault                           | verdict |
      | terminate a router              | fails   |
      | let the store fail              | fails   |
      | change the configuration        | fails   |
      | kill a router                   | passes  |
      | reset the connections of a link | passes  |

  Scenario: Two faults that start a router concurrently start one process
    When two faults start the same router concurrently
    Then one process was started

  # Guards against runs that answer each other's requests, which look like requests run twice.
  Scenario: Two runs that start at the same addresses use different ones
    When two runs claim the same addresses
    Then they get different ones, and the first are free once their run has ended

  Scenario: A short run with a fixed seed violates no invariant
    When the soak test runs with seed 7 for 4 seconds
    Then it sent requests, injected faults and found no violation

  # Guards against faults of forwarding: twice, mixed, "not run" and cut streams.
  Scenario: A short run in which routers are cut off from all targets violates no invariant
    When the soak test cuts routers off with seed 26 for 6 seconds
    Then it sent requests, injected faults and found no violation

  # Guards against LOST, FAULT and MIXED: answers without end, with an odd status, or cut by a
  # crash in their middle, while routers and the store fail, too.
  Scenario: A short run in which targets answer without end or oddly violates no invariant
    When the soak test lets targets answer without end with seed 52 for 10 seconds
    Then it sent requests, injected faults and found no violation

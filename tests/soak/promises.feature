Feature: The soak finds what breaks a promise, and only that

  Scenario Outline: <what> is <verdict>
    Given a <kind> request that was answered <status> with "<body>" and ran <runs> times
    When the answers are checked
    Then it is <verdict>

    Examples:
      | what                                | kind           | status | body             | runs | verdict |
      | a whole answer                      | idempotent     | 200    | answer to r1     | 1    | kept    |
      | an answer to another                | idempotent     | 200    | answer to r2     | 1    | broken  |
      | half an answer                      | non_idempotent | 200    | answer           | 1    | broken  |
      | a repeat of what may be repeated    | idempotent     | 200    | answer to r1     | 2    | kept    |
      | a repeat of what may not            | non_idempotent | 200    | answer to r1     | 2    | broken  |
      | a true refusal                      | non_idempotent | 503    | refused          | 0    | kept    |
      | a false refusal                     | non_idempotent | 503    | refused          | 1    | broken  |
      | an unknown outcome                  | non_idempotent | 502    | unknown          | 1    | kept    |
      | a whole stream                      | stream         | 200    | events 1 2 3     | 1    | kept    |
      | a stream that lacks its end         | stream         | 200    | events 1 2       | 1    | broken  |
      | a stream with an event twice        | stream         | 200    | events 1 2 2 3   | 2    | broken  |
      | a stream that lacks an event        | stream         | 200    | events 1 3       | 1    | broken  |
      | a stream that is cut off            | stream         | cut    | events 1 2       | 1    | kept    |

  Scenario: A run that no caller asked for is found
    Given a idempotent request that was answered 200 with "answer to r1" and ran 1 times
    And a run of "r9" that nobody sent
    When the answers are checked
    Then it is broken

  Scenario Outline: A request cut off by a router that is stopped, beside <fault>, is <verdict>
    Given a non_idempotent request that was answered 0 with "" and ran 1 times
    And its router was told to stop, beside "<fault>"
    When the stopping is checked
    Then it is <verdict>

    Examples:
      | fault                         | verdict |
      | terminate a router            | broken  |
      | let the store fail            | broken  |
      | change the configuration      | broken  |
      | kill a router                 | kept    |
      | reset the connections of a link | kept  |

  Scenario: Two faults that start a router at once start one process
    When two faults start the same router at once
    Then one process was started

  Scenario: A short run from a seed keeps every promise
    When the soak runs seed 7 for 4 seconds
    Then it sent requests, struck with faults and broke no promise

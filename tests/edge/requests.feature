Feature: Each caller gets its own complete response, and "not run" is reliable

  Scenario Outline: A <kind> request whose first target would <behaviour> gets <status>
    Given a platform with lookups in both zones
    And the target of the own zone would <behaviour>
    When a <kind> request is sent
    Then the response is <status> and <runs> targets ran the request

    Examples:
      | kind           | behaviour              | status | runs |
      | idempotent     | serve                  | 200    | 1    |
      | idempotent     | fail                   | 200    | 2    |
      | idempotent     | refuse                 | 200    | 1    |
      | idempotent     | lose the answer        | 200    | 2    |
      | idempotent     | hang                   | 200    | 2    |
      | idempotent     | cut the answer         | 200    | 2    |
      | idempotent     | answer another request | 200    | 2    |
      | idempotent     | answer twice           | 200    | 1    |
      | non_idempotent | fail                   | 500    | 1    |
      | non_idempotent | refuse                 | 200    | 1    |
      | non_idempotent | lose the answer        | 502    | 1    |
      | non_idempotent | hang                   | 504    | 1    |
      | non_idempotent | cut the answer         | 502    | 1    |
      | non_idempotent | answer another request | 502    | 1    |
      | non_idempotent | answer twice           | 200    | 1    |

  # Guards against REFUSED and TWICE: a refusal that is another request's, or without the mark
  # of one, was taken for the word that this request has not run.
  Scenario Outline: A <kind> request whose first target would <behaviour> gets <status> and <runs> runs
    Given a platform with lookups in both zones
    And the target of the own zone would <behaviour>
    When a <kind> request is sent
    Then the response is <status> and <runs> targets ran the request

    Examples:
      | kind           | behaviour                            | status | runs |
      | idempotent     | run it and refuse another request    | 200    | 2    |
      | idempotent     | run it and answer 503 without a mark | 200    | 2    |
      | idempotent     | run it and answer 429 without a mark | 200    | 2    |
      | non_idempotent | run it and refuse another request    | 502    | 1    |
      | non_idempotent | run it and answer 503 without a mark | 502    | 1    |
      | non_idempotent | run it and answer 429 without a mark | 502    | 1    |

  Scenario: A request that every target refuses is refused at once with Retry-After
    Given a platform with lookups in both zones
    And every target would refuse
    When a non_idempotent request is sent
    Then the response is 503 and 0 targets ran the request
    And the response has a Retry-After header

  Scenario: A request that cannot connect to its target goes to another one
    Given a platform with lookups in both zones
    And the target of the own zone has stopped
    When a non_idempotent request is sent
    Then the response is 200 and 1 targets ran the request

  Scenario: A request is forwarded unchanged except for the headers that the router sets
    Given a platform with lookups in both zones
    When a request with an encoded path, a binary body and a forged workspace is sent
    Then the target received path, query, host and body unchanged
    And it received the workspace of the key and not the key
    And its deadline is shorter than the caller's

  Scenario Outline: <what> gets <status> and reaches no target
    Given a platform with lookups in both zones
    When <what> is sent
    Then the response is <status> and 0 targets ran the request

    Examples:
      | what                       | status |
      | a request without a route  | 404    |
      | a request with a wrong key | 401    |
      | a body over the limit      | 413    |
      | headers over the limit     | 431    |

  Scenario Outline: Targets receive the priority of a request
    Given a platform with lookups in both zones
    And a route of priority <route> and a workspace of priority <workspace>
    When a request is sent on that route
    Then the target received the priority <received>

    Examples:
      | route | workspace | received |
      | 3     | none      | 3        |
      | 3     | 1         | 1        |
      | 12    | none      | 9        |

  Scenario Outline: Bodies beyond the memory limit are refused, and the memory is freed again
    Given a platform with lookups in both zones
    And a router with memory for 6000 bytes of bodies
    And every target would hang
    When <count> requests with a <kind> body of 2000 bytes are sent at once
    Then <served> of them reach a target and the others are refused with Retry-After
    And all of the memory for bodies is free again

    Examples:
      | count | kind    | served |
      | 5     | whole   | 3      |
      | 5     | chunked | 1      |

  Scenario: A public route needs no key
    Given a platform with lookups in both zones
    When a request without a key is sent on a public route
    Then the response is 200 and 1 targets ran the request

  Scenario: A route's timeout ends a request that may have run
    Given a platform with lookups in both zones
    And every target would hang
    When a request is sent on a route with a timeout of 150 ms
    Then the response is 504 within 400 ms

  Scenario: A timeout after a very short deadline does not count against the target
    Given a platform with lookups in both zones
    And every target would hang
    When a request is sent on a route with a timeout of 150 ms
    Then no target is avoided
    When a non_idempotent request is sent
    Then a target is avoided

  Scenario: Without a configuration requests are refused, and the router is not ready
    Given a store that answers nobody
    When a router starts and a request is sent
    Then the response is 503 and 0 targets ran the request
    And the router is not ready

  Scenario: Requests that arrive while a router starts wait for the configuration
    Given a platform with lookups in both zones
    And a store that takes 100 ms to respond
    When a router starts and a request is sent
    Then the response is 200 and 1 targets ran the request

  Scenario: Requests after the startup wait are refused at once without a configuration
    Given a store that answers nobody
    When a router starts and a request is sent
    And another request is sent
    Then the response is 503 within 400 ms

  Scenario: A target at a reused address does not run a request for the previous one
    Given a platform with lookups in both zones
    And the target of the own zone was replaced by another at its address
    When a non_idempotent request is sent
    Then the response is 200 and 1 targets ran the request

  Scenario: A split route divides requests by weight, and always in the same way
    Then 2000 requests are divided 90 to 10 within 3 in 100, and always in the same way

  # Guards against DRAIN: requests reach a target long after it said that it leaves.
  Scenario: A target that says in an answer that it leaves gets no more requests
    Given a platform with lookups in both zones
    And the target of the own zone says in its answers that it leaves
    When 6 idempotent requests are sent one after the other
    Then the target of the own zone ran 1 of them
    And it gets none after it has written its entry again

  # Guards against a router that runs out of memory on bytes without end.
  Scenario Outline: A target that would <behaviour> is left after a bounded number of bytes
    Given a platform with lookups in both zones
    And the target of the own zone would <behaviour>
    And the bytes that the router reads are counted
    When a idempotent request is sent
    Then the response is 200 and 2 targets ran the request
    And it read less than <size> MB

    Examples:
      | behaviour               | size |
      | send a head without end | 1    |
      | send a body without end | 5    |

  # Guards against 500 for each caller of a router with 1,024 open files and more.
  Scenario: A router with many open files answers its callers
    Given a platform with lookups in both zones
    And 1100 more files are open in the router's process
    When a idempotent request is sent
    Then the response is 200 and 1 targets ran the request

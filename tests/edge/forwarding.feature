Feature: A request that another router brings to its targets keeps every promise

  Background:
    Given 4 routers with links of their own to targets of lookups and drafts
    And 1 of them are cut off from all targets, so that connections hang
    And it has noticed that

  # Guards against TWICE: another router is tried although the first one may have run it.
  Scenario: A request whose router is lost with it goes to no other router
    Given each target of lookups answers after 0.5 seconds
    When a hold is sent to the cut-off router, and the router that takes it is lost
    Then the response is 502 and its targets ran it once

  # Guards against GONE: targets work on for a caller that has left.
  Scenario: A caller that leaves ends its stream at the targets
    When a caller leaves a long draft at the cut-off router after its first events
    Then within 0.5 seconds the targets have stopped it

  # Guards against requests that travel in a circle.
  Scenario: A router that is cut off as well forwards nothing
    When a lookup comes to the cut-off router over its internal listener
    Then the response is 503 and says that the router is unable
    And no target ran anything

  # Guards against CONFIG: a request is served by an older version elsewhere.
  Scenario: A router that knows an older configuration only takes no forwarded request
    When a lookup of a later configuration comes to another router over its internal listener
    Then the response is 503 and says that the router is unable
    And no target ran anything

  # Guards against LOST: requests are given to a router that is shutting down.
  Scenario: A router that is shutting down makes way for another one
    Given one other router begins to shut down
    When 10 lookups are sent to the cut-off router
    Then each of them is served

  # Guards against BUDGET: two routers send one attempt to more targets than allowed.
  Scenario: A forwarded request reaches as many targets as are left for it
    Given each target of lookups loses its answers
    When a lookup with 1 attempt left comes to another router over its internal listener
    Then the response is 502 and its targets ran it once

  # Guards against REFUSED: "not run" is passed on though this router's own try may have run.
  Scenario: A refusal of another router is no promise for what this router sent before
    Given each target of lookups hangs for this router and refuses the others
    When a lookup is sent to the cut-off router as it loses its targets
    Then its response does not say that it has not run

  # Guards against RECOVER: a router that lacks a path refused for good what another could have served.
  Scenario: A router without a path over the targets that it reaches makes way for another one
    Given two other routers reach no target with the last layers
    When 12 drafts are sent to the cut-off router
    Then each of them is served

  # Guards against a router that one malformed message of another one ends or fills.
  Scenario: Malformed questions and reports harm no router
    When another router is asked malformed questions on its internal listener
    Then each is answered with 404
    When a router that is asked for 3 retries says that it lends 9007199254740992
    Then the cut-off router may use 3 of them

  # Guards against DRAIN: what a target says in an answer was taken up by the router before it only.
  Scenario Outline: A target that says in an answer over another router that it leaves is left
    Given each target says in its answers that it leaves
    When a <kind> of one target is served over <router>
    Then the cut-off router takes just that target for leaving
    And the caller isn't told which one it was

    Examples:
      | kind   | router                                      |
      | lookup | another router                              |
      | draft  | another router                              |
      | lookup | a router of an older version that names it  |

  # Guards against REFUSED: a router of an older version passes on a target's 408, 429 or 503 that is
  # not marked, though the target has run the request.
  Scenario Outline: A <kind> to which an older router returns <answer> gets <status>
    Given the other routers are of an older version and return <answer>
    When a <kind> is sent to the cut-off router and comes back
    Then the response is <status>

    Examples:
      | kind   | answer                             | status |
      | lookup | 503 of a target                    | 502    |
      | lookup | 429 of a target                    | 502    |
      | lookup | 408 of a target                    | 502    |
      | hold   | 503 of a target                    | 502    |
      | draft  | 503 of a target                    | 502    |
      | draft  | 429 of a target                    | 502    |
      | lookup | 503 without a signature            | 502    |
      | lookup | 503 with a router's unknown error  | 502    |
      | lookup | 503 with a router's refusal        | 503    |
      | draft  | 503 with a router's refusal        | 503    |
      | lookup | 503 of a target, marked as not run | 503    |

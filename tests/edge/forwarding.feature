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

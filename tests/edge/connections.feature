Feature: Requests that may be repeated reuse connections to targets

  # Guards against a new connection for each request, which costs a target time and counts
  # against its limit.
  Scenario Outline: <requests> requests in calm need few connections: <path>
    Given a platform whose routers keep connections
    When <requests> requests for <path> are sent one after the other
    Then each got its own answer
    And at most <connections> connections to targets were opened for them

    Examples:
      | path      | requests | connections |
      | /lookup/a | 30       | 9           |
      | /draft/x  | 20       | 6           |

  # Guards against TWICE: a request that may not be repeated over a connection that may fail.
  Scenario: A request that may not be repeated has a connection of its own
    Given a platform whose routers keep connections
    When 5 requests for /lookup/a are sent one after the other
    And 5 requests for /hold/a are sent one after the other
    And 5 requests for /lookup/a are sent one after the other
    Then each got its own answer
    And no connection carried /hold/a beside another request

  # Guards against reuse where the operator has switched it off.
  Scenario: Each request has a connection of its own while reuse isn't in force
    Given a platform whose routers keep no connections
    When 5 requests for /lookup/a are sent one after the other
    Then each got its own answer
    And 5 connections to targets were opened for them

  # Guards against MIXED: an answer to another request reaches a caller. And against a request
  # that is lost, or repeated from the budget, with a connection that was known to be unusable.
  Scenario Outline: A target that <fault> gets the next request over another connection
    Given a scripted target of lookups that <fault>
    When 2 requests for /lookup/a are sent to it
    Then each got its own answer
    And the requests reached the target once each, over 2 connections
    And no retry was used

    Examples:
      | fault                                           |
      | closes the idle connection                      |
      | resets the idle connection                      |
      | sends its answer again over the idle connection |
      | sends its answer twice at once                  |
      | answers with Connection: close                  |
      | answers with Keep-Alive: max=0                  |
      | answers with Keep-Alive: timeout=1              |
      | answers without a length                        |
      | answers in HTTP/1.0                             |
      | answers with an error                           |

  # Guards against connections that are closed although they are sound.
  Scenario Outline: A target that <fault> gets the next request over the same connection
    Given a scripted target of lookups that <fault>
    When 2 requests for /lookup/a are sent to it
    Then each got its own answer
    And the requests reached the target once each, over 1 connections

    Examples:
      | fault                                      |
      | does nothing wrong                         |
      | sends an interim answer before each answer |

  # Guards against a connection that timed out while idle and is taken for a late answer.
  Scenario Outline: A send that ends with <error> counts as <outcome>
    When a send over a connection ends with <error>
    Then it counts as <outcome>

    Examples:
      | error                | outcome      |
      | ETIMEDOUT            | nothing sent |
      | ECONNRESET           | nothing sent |
      | an exceeded deadline | timed out    |

  # Guards against a retry for a request of which nothing can have reached the target.
  Scenario: A kept connection that fails before anything is sent is replaced in the same attempt
    Given a scripted target of lookups that resets the idle connection
    And the check of idle connections misses what happens just after it
    When 2 requests for /lookup/a are sent to it
    Then each got its own answer
    And the requests reached the target once each, over 2 connections
    And no retry was used
    And 2 connections to targets were opened for them

  # Guards against MIXED and REFUSED: what comes over a kept connection where the answer is
  # expected belongs to an earlier request.
  Scenario Outline: A target that <fault> costs a retry and no wrong answer
    Given a scripted target of lookups that <fault>
    And another target of lookups in the other zone
    When 2 requests for /lookup/a are sent to it
    Then each got its own answer
    And the requests reached the target once each, over 1 connections
    And 1 retry was used

    Examples:
      | fault                                                  |
      | answers the earlier request as the next one comes      |
      | refuses without naming a request as the next one comes |
      | closes as the next request comes                       |
      | resets as the next request comes                       |
      | falls silent as the next request comes                 |

  # Guards against a request that is lost with a kept connection, as it has no other attempt.
  Scenario Outline: A request with one attempt isn't lost as a target <fault>
    Given a scripted target of lookups that <fault>
    And routes of lookups whose limit of attempts is 1
    When 2 requests for /lookup/a are sent to it
    Then each got its own answer
    And the requests reached the target once each, over 2 connections

    Examples:
      | fault                                  |
      | closes as the next request comes       |
      | falls silent as the next request comes |

  # Guards against callers that wait for one dead connection after the other.
  Scenario: After one kept connection has hung, no other one to its target is used
    Given a scripted target of lookups whose connections all fall silent at their next request
    And another target of lookups in the other zone
    When 2 requests for /lookup/a are sent to it at a time
    And 1 requests for /lookup/a are sent to it
    Then no idle connection to that target is left

  # Guards against the same, whatever else is known of the target.
  Scenario: A failure over one connection closes the idle ones to its target alone
    Given targets that accept 1238 connections from 6 routers
    And 3 idle connections to a target, and 2 to another one
    When a request over one of the 3 fails
    Then 2 connections are idle
    And the request takes no kept connection again

  # Guards against new connections to a target that is sound, or only slow.
  Scenario Outline: Over <kind> connection, <bytes>, "<why>" leaves <idle> idle ones
    Given targets that accept 1238 connections from 6 routers
    And 3 idle connections to a target, and 2 to another one
    When a request fails over <kind> connection, <bytes>, as <why>
    Then <idle> connections are idle

    Examples:
      | kind   | bytes          | why               | idle |
      | a new  | acknowledged   | stalled           | 5    |
      | a new  | acknowledged   | caller left       | 5    |
      | a new  | acknowledged   | malformed answer  | 5    |
      | a new  | acknowledged   | no answer in time | 5    |
      | a new  | unacknowledged | stalled           | 2    |
      | a kept | acknowledged   | caller left       | 5    |
      | a kept | acknowledged   | malformed answer  | 5    |
      | a kept | acknowledged   | no answer in time | 2    |
      | a kept | acknowledged   | connection closed | 2    |

  # Guards against a target whose links are lost, and one that is only slow, taken for the other.
  Scenario Outline: A request to a target that <reads> ends as "<why>" after <silence> s
    Given targets that accept 1238 connections from 6 routers
    When a request to a target that <reads> ends as <why> after <silence> s
    Then <idle> connections are idle

    Examples:
      | reads         | why               | silence | idle |
      | reads nothing | no answer in time | 0.3     | 0    |
      | reads nothing | stalled           | 0.3     | 0    |
      | reads nothing | no answer in time | 0.05    | 1    |
      | reads all     | no answer in time | 0.3     | 1    |
      | reads all     | stalled           | 0.3     | 1    |

  # Guards against a request that two targets fail in the same way.
  Scenario: A late answer over a kept connection leads to a new connection for the second attempt
    Given two scripted targets of lookups that answer late as the next request comes
    And routes of lookups whose limit of attempts is 3
    When 2 requests for /lookup/a reach both of them at a time
    And 1 requests for /lookup/a are sent to it
    Then each got its own answer
    And 1 retry was used

  # Guards against a sound target that gets less work after each connection that it closes.
  Scenario Outline: A plain target that <fault> isn't suspected
    Given a scripted target of lookups that <fault>
    And another target of lookups in the other zone
    When 2 requests for /lookup/a are sent to it
    Then each got its own answer
    And that target isn't suspected

    Examples:
      | fault                                             |
      | closes as the next request comes                  |
      | answers the earlier request as the next one comes |

  # Guards against REFUSED: the refusal is an earlier one, and the request has run.
  Scenario: A refusal over a kept connection that names no request isn't passed on
    Given a scripted target of lookups that refuses without naming a request as the next one comes
    When 2 requests for /lookup/a are sent to it
    Then the second one is not said to have not run
    And no kept connection is used for that target

  # Guards against a service without kept connections for a refusal by one of its targets.
  Scenario: A refusal that names no request counts for its target alone
    Given targets that accept 1238 connections from 6 routers
    And 1 idle connections to a target, and 1 to another one
    When the first of them refuses without naming the request
    Then a kept connection is used to the second one only

  # Guards against the same for a refusal from the time before connections are kept.
  Scenario: A refusal that names no request has no effect while no connections are kept
    Given targets that accept 1238 connections from 6 routers
    And 1 idle connections to a target, and 1 to another one
    When the first of them refuses without naming the request while reuse isn't in force
    Then a kept connection is used to both of them

  # Guards against connections that a router that stops leaves open at targets.
  Scenario: A router that drains keeps no connections
    Given a platform whose routers keep connections
    When 1 requests for /lookup/a are sent one after the other
    And the router begins to drain
    Then no connection is idle
    When 1 requests for /lookup/a are sent one after the other
    Then each got its own answer
    And no connection is idle
    And 2 connections to targets were opened for them

  # Guards against the same where nothing drains.
  Scenario: A router that is stopped at once closes its idle connections
    Given a platform whose routers keep connections
    When 1 requests for /lookup/a are sent one after the other
    And the router is stopped at once
    Then no connection is idle

  # Guards against a failure of the check of the links, as a request ends meanwhile.
  Scenario: A closed connection has no unacknowledged data
    Given a connection that was closed by its own side
    Then it has no unacknowledged data

  # Guards against streams that wait for a connection that brings nothing any more.
  Scenario: A stream over a kept connection that hangs goes on elsewhere
    Given a platform whose routers keep connections
    When 1 requests for /draft/x are sent one after the other
    And the first target of the own zone falls silent
    And 1 requests for /draft/x are sent one after the other
    Then each got its own answer
    And 1 retry was used

  # Guards against targets that go on working on a stream that nobody reads, and MIXED: the
  # rest of that stream reaches the next caller.
  Scenario: A stream that its caller leaves closes its kept connection
    Given a platform whose routers keep connections
    When 1 requests for /draft/x are sent one after the other
    And a caller disconnects from a draft of 200 events after the first
    Then the target stops working on it within 500 ms
    And no connection is idle
    When 1 requests for /draft/x are sent one after the other
    Then each got its own answer

  # Guards against a request that goes to whatever has its target's address by now.
  Scenario Outline: No kept connection is used to a target that <event>
    Given a scripted target of lookups that does nothing wrong
    When 1 requests for /lookup/a are sent to it
    And that scripted target <event>
    Then no idle connection to that target is used

    Examples:
      | event                      |
      | is suspected               |
      | drains                     |
      | has started again          |
      | has gone                   |
      | is in an unreachable zone  |
      | has moved to another port  |

  # Guards against MIXED: a second answer can't be told from the right one by an equal ID.
  Scenario: A connection doesn't carry a request ID twice
    Given a scripted target of lookups that does nothing wrong
    When 1 requests for /lookup/a are sent to it
    And the same request is sent again
    Then that scripted target saw 2 connections

  # Guards against refusals by a target whose connections are all held by routers.
  Scenario Outline: <routers> routers keep at most half of what a target accepts
    Given targets that accept 1238 connections from <routers> routers
    Then each router keeps at most <idle> connections to each

    Examples:
      | routers | idle |
      | 6       | 103  |
      | 77      | 8    |
      | 195     | 3    |
      | 2100    | 0    |

  # Guards against the same while requests also open connections of their own.
  Scenario: A new connection takes the place of an idle one at the bound
    Given targets that accept 1238 connections from 195 routers
    And 3 idle connections to a target, and 2 to another one
    When 1 requests to it open a connection of their own
    Then 4 connections are idle
    When 3 requests to it open a connection of their own
    Then 2 connections are idle

  # Guards against the same as more routers start.
  Scenario: Idle connections beyond the bound are closed as it becomes less
    Given targets that accept 1238 connections from 195 routers
    And 3 idle connections to a target, and 2 to another one
    When 1 requests over kept connections to it run
    And 300 routers share what targets accept
    Then 3 connections are idle

  # Guards against requests without a descriptor, as idle connections hold them.
  Scenario: Idle connections leave the descriptors to requests
    Given a router with 40 descriptors for connections to targets
    When 60 targets have answered a request each
    Then 10 connections are idle
    When 35 requests run
    Then 5 connections are idle

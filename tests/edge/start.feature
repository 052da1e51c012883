Feature: Callers wait only briefly while a router starts

  Scenario: Callers that connect while a router loads are served
    Given a platform with lookups in both zones
    And a listener that is bound before its router exists
    When a caller sends a request to it
    And the router of the listener starts
    Then the caller gets status 200

  # Guards against GONE: as 300 routers started anew, requests of callers that had left were sent on.
  Scenario: A request whose caller left before its router started runs nowhere
    Given a platform with lookups in both zones
    And a listener that is bound before its router exists
    When 10 callers send requests to it and leave
    And the router of the listener starts
    Then a later request is answered, and none of theirs ran

  Scenario: A starting router imports no modules that it does not need
    When the modules of the router are imported in a separate process
    Then none of "absl cappa numpy rich scipy zmq" is imported
    And the listener can be bound before "gevent" is imported

  Scenario: The router process serves requests concurrently and exits on SIGTERM
    Given a platform with lookups in both zones
    And the target of the own zone would hang
    And the router runs in a separate process
    When a request that hangs and an idempotent request are sent at once
    Then the first times out and another target serves the second
    And the process exits with code 0 on SIGTERM

  Scenario: A reload signal while the router loads does not end it
    Given a platform with lookups in both zones
    When a router process receives SIGHUP as soon as callers can connect
    Then the process becomes ready

  # Guards against a request that is never answered since it comes when the store has
  # just been read and a request that waits for this reaches its bound.
  Scenario: A request that comes as soon as a late router has read the store is answered
    Given a platform with lookups in both zones
    And a router that has not read the store
    When its event loop stands still while a request waits, it reads, a request comes
    Then each request to the router is answered with status 404

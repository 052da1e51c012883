Feature: A router that starts keeps its callers waiting for as short as it can

  Scenario: Callers that connect while a router loads are answered
    Given a platform with lookups in both zones
    And a listener that is bound before its router exists
    When a caller sends a request to it
    And the router of the listener starts
    Then the caller is answered with status 200

  Scenario: A starting router loads nothing that it does not need
    When the modules of the router are loaded in a process of their own
    Then none of "absl cappa numpy rich scipy zmq" is loaded
    And the listener can be bound before "gevent" is loaded

  Scenario: The program serves requests side by side and ends when told to
    Given a platform with lookups in both zones
    And the target of the own zone would hang
    And the router runs as a program of its own
    When a request that hangs and an idempotent request are sent at once
    Then both are answered, the second by another target
    And the program ends with code 0 when it is told to stop

  Scenario: A reload that is asked for while the router loads does not end it
    Given a platform with lookups in both zones
    When the router as a program is told to reload as soon as callers can connect
    Then the program becomes ready

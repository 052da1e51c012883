Feature: Draining and stopping a router, and draining a target

  Scenario: A shutdown under load completes every stream and hold
    Given a router and stand-in targets
    And the engines compute 400 layer tokens per second
    When the router is told to stop under 20 streams and 10 holds
    Then every stream and hold was answered in full
    And the router reports that nothing was cut off

  # Guards against LOST: requests are taken until the end of the drain, and cut there.
  Scenario: Requests that come after the drain wait are refused and have not run
    Given a router and stand-in targets
    And the engines compute 60 layer tokens per second
    When the router is told to stop under a stream, and streams come after its drain wait
    Then each of them was refused and has not run

  # Guards against LOST: what is read as the drain ends is closed without an answer.
  Scenario: A request that arrives as idle connections are closed is answered
    Given a router and stand-in targets
    When the router is told to stop and a request arrives as idle connections are closed
    Then that request gets a response

  # Guards against requests that wait to be accepted, and are reset with the listener.
  Scenario: A request on a connection that waits to be accepted is refused at the stop
    Given a router and stand-in targets
    When the router is told to stop and a new connection waits as its listener is closed
    Then that request gets a response

  Scenario: A second stop signal aborts and reports unfinished requests
    Given a router and stand-in targets
    And the engines compute 60 layer tokens per second
    When the router is told to stop twice under 3 streams
    Then the router reports that something was cut off

  Scenario: A target that is leaving gets no new requests
    Given a router and stand-in targets
    When the engine "low-1" announces that it leaves
    Then it is chosen for no request after 3 seconds

  Scenario: Changed certificates are reloaded
    Given a router with TLS and stand-in targets
    When the certificate is replaced
    Then new connections see the new certificate

  Scenario: The explanation names the route and the histograms count the request
    Given a router and stand-in targets
    When the caller streams 8 tokens from "assistant"
    Then the request's explanation names every stage
    And the histograms count the request

  Scenario: A stopped router no longer polls its targets
    Given a router and stand-in targets
    When the router has polled the engines' load and is stopped
    Then no engine is polled for its load in the next 0.5 seconds

  # Guards against a router that drains for drain_timeout_s since one caller says nothing.
  Scenario: A connection without a TLS handshake keeps no router from ending
    Given a router with TLS and stand-in targets
    When a caller connects, begins no TLS handshake, and the listener drains for 3 s
    Then the listener has become quiet

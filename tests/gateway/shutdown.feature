Feature: Leaving and shutting down cut off nothing

  Scenario: A shutdown under load finishes every stream and hold
    Given a marketplace
    And the engines compute 400 layer tokens per second
    When the router is told to stop under 20 streams and 10 holds
    Then every stream and hold was answered in full
    And the router reports that nothing was cut off

  Scenario: A second signal reports honestly what did not finish
    Given a marketplace
    And the engines compute 60 layer tokens per second
    When the router is told to stop twice under 3 streams
    Then the router reports that something was cut off

  Scenario: A leaving target gets no new work
    Given a marketplace
    When the engine "low-1" announces that it leaves
    Then it is chosen for no request after 3 seconds

  Scenario: Certificates are read again when they change
    Given a marketplace behind TLS
    When the certificate is replaced
    Then new connections see the new certificate

  Scenario: A workspace sees only its own pipelines and explanations name the route
    Given a marketplace
    When the caller streams 8 tokens from "assistant"
    Then the request's explanation names every stage
    And the histograms count the request

  Scenario: A stopped router asks its targets nothing more
    Given a marketplace
    When the router has read the engines' load and is stopped
    Then no engine is asked for its load in the next 0.5 seconds

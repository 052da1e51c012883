Feature: Log analysis finds the cause of a request's failure from its ID

  Scenario: A stream breaks and can't be resumed
    Given logs are captured
    And a platform with a model in parts in both zones
    And the first targets of the own zone would break the stream after 1 events
    And no other target holds the first stage
    When a draft of 10 events is asked for
    Then the cause is "send failed" with "connection closed"
    And the request's log lines include "stream broken off"

  Scenario: A lookup is refused before a configuration has been read
    Given logs are captured
    And a store that answers nobody
    When a router starts and a request is sent
    Then the cause is "refused" with "no configuration is known yet"
    And the timeline around the request includes "store lost"

  Scenario: A hold ends with an unknown outcome
    Given logs are captured
    And a platform with lookups in both zones
    And the target of the own zone would lose the answer
    When a non_idempotent request is sent
    Then the cause is "send failed" with "connection closed"
    And the request's log lines include "refused"

  Scenario: Foreign lines and prefixes of a log collector are ignored
    Then a log with foreign lines and prefixes yields its own lines in order

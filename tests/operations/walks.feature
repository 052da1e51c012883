Feature: An on-call engineer gets from a request's id to its cause

  Scenario: A stream that was cut and could not go on
    Given logs are kept
    And a platform with a model in parts in both zones
    And the first targets of the own zone would break the stream after 1 events
    And no other target holds the first part
    When a draft of 10 events is asked for
    Then explaining it names "send failed" with "connection closed"
    And the story tells "stream broken off"

  Scenario: A lookup refused while no configuration could be read
    Given logs are kept
    And a store that answers nobody
    When a router starts and a request is sent
    Then explaining it names "refused" with "no configuration is known yet"
    And the timeline around it tells "store lost"

  Scenario: A hold that was answered "unknown"
    Given logs are kept
    And a platform with lookups in both zones
    And the target of the own zone would lose the answer
    When a non_idempotent request is sent
    Then explaining it names "send failed" with "connection closed"
    And the story tells "refused"

  Scenario: Lines that are no log lines are skipped, a collector's prefix too
    Then a log with foreign lines and prefixes gives its own lines in order

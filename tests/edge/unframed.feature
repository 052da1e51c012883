Feature: Answers that end with their connection are passed on whole or not as whole

  # Guards against refusals: an answer without a length counts as broken off.
  Scenario Outline: An answer to a <kind> request with neither a length nor chunks is whole
    Given a platform with lookups in both zones
    And every target would answer without a length
    When a <kind> request is sent
    Then the response is 200 and 1 targets ran the request
    And the response has the length of its body

    Examples:
      | kind           |
      | idempotent     |
      | non_idempotent |

  # Guards against a lost end: the first part of an answer is passed on as the whole.
  Scenario Outline: An answer to a <kind> request that is reset is not passed on
    Given a platform with lookups in both zones
    And the target of the own zone would reset an answer without a length
    When a <kind> request is sent
    Then the response is <status> and <runs> targets ran the request

    Examples:
      | kind           | status | runs |
      | idempotent     | 200    | 2    |
      | non_idempotent | 502    | 1    |

  # Guards against a lost end: the router's own end of an exchange looks like the target's.
  Scenario Outline: An answer to a <kind> request that the router ends is not passed on
    Given a platform with lookups in both zones
    And targets whose answers pause without a length for 2 seconds
    When a <kind> request is sent and ended by the router during the pause
    Then the response has the status 504

    Examples:
      | kind           |
      | idempotent     |
      | non_idempotent |

  # Guards against a lost end: the router's own end of an exchange looks like the target's.
  Scenario Outline: An answer to a <kind> request that the router ends as more of it comes
    Given a platform with lookups in both zones
    And targets whose answers pause without a length for 2 seconds
    When a <kind> request is sent and ended by the router as more of its answer comes
    Then the response has the status 504

    Examples:
      | kind           |
      | idempotent     |
      | non_idempotent |

  # Guards against a lost end: what came until the router ended it is passed on as whole.
  Scenario: An answer that is no stream is not passed on after it was ended as stalled
    Given a platform with a model in parts in both zones
    And targets whose answers pause without a length and are no streams
    When a draft of 10 events is asked for and its exchange is ended as stalled
    Then the events 1 to 10 arrive once and in order
    And the request ran 2 times
    And the response is chunked

  # Guards against repeats: a stream without a length counts as broken off.
  Scenario: A stream with neither a length nor chunks is whole
    Given a platform with a model in parts in both zones
    And every target would answer without a length
    When a draft of 10 events is asked for
    Then the events 1 to 10 arrive once and in order
    And the request ran 1 times
    And the response is chunked

  # Guards against a lost end: a broken-off stream is passed on as whole.
  Scenario Outline: A stream whose target would <behaviour> after <events> events goes on
    Given a platform with a model in parts in both zones
    And every target would answer without a length
    And the first targets of the own zone would <behaviour> after <events> events
    When a draft of 10 events is asked for
    Then the events 1 to 10 arrive once and in order
    And the request ran 2 times
    And the response is chunked

    Examples:
      | behaviour                                        | events |
      | close an answer without a length                 | 0      |
      | reset an answer without a length                 | 0      |
      | close an answer without a length inside an event | 0      |
      | reset an answer without a length                 | 1      |
      | reset an answer without a length                 | 5      |
      | close an answer without a length inside an event | 1      |
      | close an answer without a length inside an event | 9      |

  # Guards against BUDGET: a stream without anything left is sent until it is broken off.
  Scenario: A stream that is reset after its last event ends with a target that ends it
    Given a platform with a model in parts in both zones
    And the first targets of the own zone would reset an answer without a length after 10 events
    When a draft of 10 events is asked for
    Then the events 1 to 10 arrive once and in order
    And the request ran 2 times
    And the response is chunked

  # Guards against a lost end: a broken-off stream looks whole to its caller.
  Scenario Outline: A stream that is not resumable ends early where its target would <behaviour>
    Given a platform whose drafts are not resumable
    And every target would answer without a length
    And the first targets of the own zone would <behaviour> after 3 events
    When a draft of 10 events is asked for
    Then the response is cut off after event 3

    Examples:
      | behaviour                                        |
      | reset an answer without a length                 |
      | close an answer without a length inside an event |

  # Guards against BUDGET: a crash that ends a stream before its first event isn't known.
  Scenario Outline: A target that crashes inside <place> is known to have crashed
    Given a platform with a model in parts in both zones
    And the first targets of the own zone would crash inside <place> of an answer without a length after 0 events
    When a draft of 10 events that shares parts is asked for
    Then the crash of the first target of the own zone is reported

    Examples:
      | place    |
      | an event |
      | the head |

  # Guards against a body that an old caller cannot read.
  Scenario: A caller of HTTP/1.0 gets a whole stream without chunks
    Given a platform whose drafts are not resumable
    When a caller of HTTP/1.0 asks for a draft of 10 events
    Then its connection is closed after event 10

  # Guards against a lost end: a broken-off stream looks whole to its caller.
  Scenario Outline: A caller whose stream has no chunks sees that it ends early: <behaviour>
    Given a platform whose drafts are not resumable
    And the first targets of the own zone would <behaviour> after 3 events
    When a caller of HTTP/1.0 asks for a draft of 10 events
    Then its connection is reset after event 3

    Examples:
      | behaviour                                        |
      | break the stream                                 |
      | reset an answer without a length                 |
      | close an answer without a length inside an event |

  # Guards against a lost end: a stream that a stop interrupts looks whole to its caller.
  Scenario: A caller whose stream has no chunks sees that a stop interrupts it
    Given a platform whose drafts are not resumable
    And the first targets of the own zone would pause in an answer without a length after 3 events
    When a caller of HTTP/1.0 asks for a draft of 10 events and the router stops after 3
    Then its connection is reset after event 3

Feature: Streams are whole and in order over any paths

  Scenario: Every layer runs once and in order
    Given a platform with a model in parts in both zones
    When a draft of 10 events is asked for
    Then the events 1 to 10 arrive once and in order
    And the path covered every layer once and in order within one zone

  Scenario Outline: A stream that would <behaviour> goes on in the same answer
    Given a platform with a model in parts in both zones
    And the first targets of the own zone would <behaviour> after <events> events
    When a draft of 10 events is asked for
    Then the events 1 to 10 arrive once and in order

    Examples:
      | behaviour        | events |
      | break the stream | 0      |
      | break the stream | 1      |
      | break the stream | 5      |
      | break the stream | 9      |

  Scenario: A stalled stream is led around the target at fault
    Given a platform with a model in parts in both zones
    And a second copy of the last part in the own zone
    And the first target stalls on the last part after 4 events
    When a draft of 10 events is asked for
    Then the events 1 to 10 arrive once and in order
    And the first target was told another path

  Scenario Outline: A stalled stream of <prompt> prompt tokens goes on <how>
    Given a platform with a model in parts in both zones
    And the first target stalls on the last part after 4 events
    When a draft of 10 events and <prompt> prompt tokens is asked for
    Then the events 1 to 10 arrive once and in order
    And the first target was told <orders> other paths

    Examples: the only other holder of the last part is in the other zone
      | prompt | how                                          | orders |
      | 100    | over the other zone from its first target    | 1      |
      | 6000   | all in the other zone, not over a full pipe  | 0      |

  Scenario Outline: A stream <moves> a target that <changes> while it passes
    Given a platform with a model in parts in both zones
    And a second copy of the last part in the own zone
    When a draft of 100 events is asked for and a part of its path <changes>
    Then the events 1 to 100 arrive once and in order
    And the stream <moves> that target

    Examples:
      | changes                 | moves        |
      | gives up a layer of it  | stays on     |
      | leaves                  | is led around |

  Scenario: A first target that names itself as the one at fault is still used
    Given a platform with a model in parts in both zones
    And the first target stalls on itself after 4 events
    When a draft of 10 events is asked for
    Then the events 1 to 10 arrive once and in order
    And the first target is not suspected

  Scenario: The metrics tell the wait before, the first event and the pauses of streams
    Given a platform with a model in parts in both zones
    When a draft of 10 events is asked for
    Then the metrics count 1 request by queue, first_event, gap and whole

  Scenario: A silent stream is not ended while no repeat is left for it
    Given a platform with a model in parts in both zones
    And no repeats are left
    When a draft of 10 events stands still for 2 seconds after 4 events
    Then the events 1 to 10 arrive once and in order

  Scenario: A request that waits in a queue keeps its place there
    Given a platform with a model in parts in both zones
    And the first target of the own zone is full and lets a draft wait for 2 seconds
    When a draft of 10 events is asked for
    Then the events 1 to 10 arrive once and in order
    And targets ran it 1 times
    And new requests rather avoid the target that is full

  Scenario: A first target that hangs while it says it is well is avoided by all
    Given a platform with a model in parts in both zones
    And the first target of the own zone begins no draft
    When a draft of 10 events is asked for
    Then the events 1 to 10 arrive once and in order
    And targets ran it 2 times
    And the hanging target is avoided

  Scenario: A stream leaves a first target that gives no answer to others
    Given a platform with a model in parts in both zones
    And no stream is moved for its silence alone
    And the first target of the own zone stops sending and is found to be silent
    When a draft of 10 events is asked for
    Then the events 1 to 10 arrive once and in order

  Scenario: A silent draft that has not begun is not ended while no repeat is left
    Given a platform with a model in parts in both zones
    And no repeats are left
    When a draft of 10 events stands still for 2 seconds after 0 events
    Then the events 1 to 10 arrive once and in order

  Scenario: A silent stream that may not be repeated is not ended
    Given a platform whose drafts may not be resumed
    When a draft of 10 events stands still for 2 seconds after 4 events
    Then the events 1 to 10 arrive once and in order

  Scenario: A draft at a first target that is lost is answered at once without a repeat
    Given a platform with a model in parts in both zones
    And no repeats are left
    And the first target of the own zone goes dark as it gets a draft
    When a draft of 10 events is asked for
    Then the answer is 502 and 1 targets ran the request

  Scenario: A zone of which no target answers is avoided until one does
    Given a platform with a model in parts in both zones
    When the other zone goes dark and one of its targets is doubted
    Then the whole zone is avoided
    When the other zone answers again
    Then the whole zone is used

  Scenario: A single silent target costs its zone nothing
    Given a platform with a model in parts in both zones
    When one target of the other zone goes dark and is doubted
    Then only that target is avoided a second later

  Scenario: Streams that run through a zone that goes dark go on elsewhere
    Given a platform with a model in parts in both zones
    And the own zone's targets refuse work for a moment
    When the other zone goes dark under a draft of 200 events
    Then the events 1 to 200 arrive once and in order

  Scenario: A model with a missing part is refused at once
    Given a platform with a model in parts in both zones
    And nobody holds the last part
    When a draft of 10 events is asked for
    Then the answer is 503 and 0 targets ran the request
    And the answer says when to come back

  Scenario: A caller that leaves ends its work at the target
    Given a platform with a model in parts in both zones
    When a caller leaves a draft of 500 events after the first
    Then its work at the target ends within 500 ms

  Scenario: A stream that may not be resumed is broken off, not joined
    Given a platform whose drafts may not be resumed
    And the first targets of the own zone would break the stream after 3 events
    When a draft of 10 events is asked for
    Then the answer is incomplete after event 3

  Scenario: Targets that refuse do not use up the attempts of a stream
    Given a platform with a model in parts in both zones
    And two more first parts in the other zone that would refuse
    And the first targets of the own zone would break the stream after 1 events
    When a draft of 10 events is asked for
    Then the events 1 to 10 arrive once and in order
    And targets ran it 2 times

  Scenario: A target that hangs uses up an attempt of a stream
    Given a platform with a model in parts in both zones
    And a second copy of the first part in the other zone
    And the first targets of the own zone would break the stream after 1 events
    And the first targets of the other zone begin no draft
    When a draft of 10 events is asked for
    Then no more than 2 different targets ran it

  Scenario: A stream waits for a missing part as long as its caller does
    Given a platform with a model in parts in both zones
    And only the own zone holds the first part, and it would break the stream after 3 events
    And the first part moves to another target 2.3 seconds later
    When a draft of 10 events is asked for
    Then the events 1 to 10 arrive once and in order

  Scenario: A stream waits a moment for a missing part to be loaded again
    Given a platform with a model in parts in both zones
    And only the own zone holds the first part, and it would break the stream after 3 events
    And the first part moves to another target 1.0 seconds later
    When a draft of 10 events is asked for
    Then the events 1 to 10 arrive once and in order

Feature: Streams are complete and in order over any path

  Scenario: Every layer runs once and in order
    Given a platform with a model in parts in both zones
    When a draft of 10 events is asked for
    Then the events 1 to 10 arrive once and in order
    And the path covered every layer once and in order within one zone

  Scenario Outline: A stream whose target would <behaviour> is resumed in the same response
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

  # Guards against ORDER and MIXED: what is no event of the stream reached its caller.
  Scenario Outline: A stream whose targets <fault> holds nothing else and is resumed
    Given a platform with a model in parts in both zones
    And the first targets of the own zone would <fault> after <events> events
    When a draft of 10 events is asked for
    Then the events 1 to 10 arrive once and in order
    And nothing but events arrives

    Examples:
      | fault                                                  | events |
      | write an error's text into the stream                  | 0      |
      | write an error's text into the stream                  | 4      |
      | write an error's head into the stream                  | 0      |
      | write an error's head into the stream                  | 4      |
      | write an error into the stream as an event without an id | 4    |

  # Guards against a stream that counts as alive until its deadline while it gets no further.
  Scenario Outline: A stream whose targets repeat an event without end is resumed
    Given a platform with a model in parts in both zones
    And the first targets of the own zone would repeat an event without end after <events> events
    When a draft of 10 events is asked for
    Then the events 1 to 10 arrive once and in order
    And it came sooner than its caller leaves, which is after a gap of 2 seconds

    Examples:
      | events |
      | 1      |
      | 4      |
      | 9      |

  # Guards against the same from the next target, once the stream has begun.
  Scenario Outline: A stream that broke off gets nothing from a next target that would <fault>
    Given a platform with a model in parts in both zones
    And the first targets of the own zone would break the stream after 3 events
    And the first target of the other zone would <fault>
    When a draft of 10 events is asked for
    Then the events that arrive are in order, and fewer than 10 don't look complete
    And nothing but events arrives

    Examples:
      | fault                      |
      | refuse                     |
      | fail                       |
      | stream without a signature |
      | stream for another request |

  Scenario: A stalled stream is rerouted around the faulty target
    Given a platform with a model in parts in both zones
    And a second copy of the last part in the own zone
    And the first target stalls on the last part after 4 events
    When a draft of 10 events is asked for
    Then the events 1 to 10 arrive once and in order
    And the first target was given another path

  Scenario Outline: A stalled stream of <prompt> prompt tokens continues <how>
    Given a platform with a model in parts in both zones
    And the first target stalls on the last part after 4 events
    When a draft of 10 events and <prompt> prompt tokens is asked for
    Then the events 1 to 10 arrive once and in order
    And the first target was given <orders> other paths

    Examples: the only other holder of the last part is in the other zone
      | prompt | how                                              | orders |
      | 100    | in the other zone behind its own first target    | 1      |
      | 6000   | entirely in the other zone, avoiding a full link | 0      |

  Scenario Outline: A stream <moves> a target that <changes> during the stream
    Given a platform with a model in parts in both zones
    And a second copy of the last part in the own zone
    When a draft of 100 events is asked for and a part of its path <changes>
    Then the events 1 to 100 arrive once and in order
    And the stream <moves> that target

    Examples:
      | changes       | moves              |
      | drops a layer | stays on           |
      | leaves        | is rerouted around |

  Scenario: A first target that reports itself as faulty is still used
    Given a platform with a model in parts in both zones
    And the first target stalls on itself after 4 events
    When a draft of 10 events is asked for
    Then the events 1 to 10 arrive once and in order
    And the first target is not suspected

  Scenario: Metrics cover queue time, time to first event, gaps and total time of streams
    Given a platform with a model in parts in both zones
    When a draft of 10 events is asked for
    Then the metrics count 1 request by queue, first_event, gap and whole

  Scenario: A silent stream is not ended when the retry budget is used up
    Given a platform with a model in parts in both zones
    And the retry budget is used up
    When a draft of 10 events pauses for 2 seconds after 4 events
    Then the events 1 to 10 arrive once and in order

  Scenario: A request that is queued at a target keeps its place there
    Given a platform with a model in parts in both zones
    And the first target of the own zone is full and queues a draft for 2 seconds
    When a draft of 10 events is asked for
    Then the events 1 to 10 arrive once and in order
    And the request ran 1 times
    And new requests prefer other targets to the full one

  Scenario: A first target that hangs but reports that it is well is avoided
    Given a platform with a model in parts in both zones
    And the first target of the own zone hangs before the first event
    When a draft of 10 events is asked for
    Then the events 1 to 10 arrive once and in order
    And the request ran 2 times
    And the hanging target is avoided

  Scenario: A stream is resumed elsewhere once its first target is found unresponsive
    Given a platform with a model in parts in both zones
    And no stream is ended for its silence alone
    And the first target of the own zone stops sending and is suspected as unresponsive
    When a draft of 10 events is asked for
    Then the events 1 to 10 arrive once and in order

  Scenario: A silent stream without an event is not ended when the retry budget is used up
    Given a platform with a model in parts in both zones
    And the retry budget is used up
    When a draft of 10 events pauses for 2 seconds after 0 events
    Then the events 1 to 10 arrive once and in order

  Scenario: A silent stream that is not resumable is not ended
    Given a platform whose drafts are not resumable
    When a draft of 10 events pauses for 2 seconds after 4 events
    Then the events 1 to 10 arrive once and in order

  Scenario: A request at a lost first target gets its response at once without a retry
    Given a platform with a model in parts in both zones
    And the retry budget is used up
    And the first target of the own zone stops responding when it gets a draft
    When a draft of 10 events is asked for
    Then the response is 502 and 1 targets ran the request

  Scenario: A zone in which no target responds is avoided until one does
    Given a platform with a model in parts in both zones
    When the other zone stops responding and one of its targets is suspected
    Then the whole zone is avoided
    When the other zone responds again
    Then the whole zone is used

  Scenario: A single unresponsive target does not affect the rest of its zone
    Given a platform with a model in parts in both zones
    When one target of the other zone stops responding and is suspected
    Then only that target is avoided a second later

  Scenario: Streams through a zone that stops responding are resumed elsewhere
    Given a platform with a model in parts in both zones
    And the own zone's targets are suspected for a moment
    When the other zone stops responding during a draft of 100 events
    Then the events 1 to 100 arrive once and in order
    And the targets of the own zone have gone on with it

  Scenario: A request for a model with a missing part is refused at once
    Given a platform with a model in parts in both zones
    And no target holds the last part
    When a draft of 10 events is asked for
    Then the response is 503 and 0 targets ran the request
    And the response has a Retry-After header

  Scenario: The target stops work on a request when its caller disconnects
    Given a platform with a model in parts in both zones
    When a caller disconnects from a draft of 500 events after the first
    Then the target stops working on it within 500 ms

  Scenario: A stream that is not resumable is cut off after a failure
    Given a platform whose drafts are not resumable
    And the first targets of the own zone would break the stream after 3 events
    When a draft of 10 events is asked for
    Then the response is cut off after event 3

  Scenario: Targets that refuse do not count as attempts of a stream
    Given a platform with a model in parts in both zones
    And two more first targets in the other zone that would refuse
    And the first targets of the own zone would break the stream after 1 events
    When a draft of 10 events is asked for
    Then the events 1 to 10 arrive once and in order
    And the request ran 2 times

  Scenario: A target that hangs counts as an attempt of a stream
    Given a platform with a model in parts in both zones
    And a second copy of the first part in the other zone
    And the first targets of the own zone would break the stream after 1 events
    And the first targets of the other zone hang before the first event
    When a draft of 10 events is asked for
    Then at most 2 different targets ran the request

  # Guards against BUDGET: a request ran on more targets than its route allows.
  Scenario: Targets that fall silent and go on count as attempts of a stream
    Given a platform with a model in parts in both zones
    And a second copy of the first part in the other zone
    And every first target falls silent for 1.5 seconds when it gets a draft
    When a draft of 10 events is asked for
    Then at most 2 different targets ran the request

  # Guards against BUDGET: a request ran on more targets than its route allows.
  Scenario: A target whose entry is missing counts as an attempt of a stream
    Given a platform with a model in parts in both zones
    And a second copy of the first part in the other zone
    And the first targets would break the stream after 3 events and lose their entries
    When a draft of 20 events is asked for
    Then at most 2 different targets ran the request

  Scenario: A stream waits for a missing part for as long as its caller waits
    Given a platform with a model in parts in both zones
    And only the own zone holds the first part, and it would break the stream after 3 events
    And the first part moves to another target 2.3 seconds later
    When a draft of 10 events is asked for
    Then the events 1 to 10 arrive once and in order

  Scenario: A stream waits for a missing part that is soon loaded again
    Given a platform with a model in parts in both zones
    And only the own zone holds the first part, and it would break the stream after 3 events
    And the first part moves to another target 1.0 seconds later
    When a draft of 10 events is asked for
    Then the events 1 to 10 arrive once and in order

  # Guards against DRAIN: requests reach a target long after it said that it leaves.
  Scenario: A first target that says in an answer that it leaves gets no more drafts
    Given a platform with a model in parts in both zones
    And the first target of the own zone says in its answers that it leaves
    When drafts of 3 events are asked for during 3 seconds
    Then that target got none later than half the drain bound after its first answer

  # Guards against a router that runs out of memory on bytes without end.
  Scenario Outline: A first target that would <behaviour> is left after a bounded number of bytes
    Given a platform with a model in parts in both zones
    And the first target of the own zone would <behaviour>
    And the bytes that the router reads are counted
    When a draft of 10 events is asked for
    Then the events 1 to 10 arrive once and in order
    And it read less than 1 MB

    Examples:
      | behaviour                                          |
      | send a head without end                            |
      | send a body without end                            |
      | send header lines behind the last chunk without end |

Feature: What a target said holds for its incarnation, whatever becomes of its entry

  # Guards against DRAIN: a target that leaves got requests again 4 s later, as its entry had
  # expired and came back, or came from an older copy of the store.
  Scenario Outline: A target that leaves by its <source> gets no work after <event>
    Given a fleet view with a target
    And the target says in its <source> that it leaves
    When <event>
    Then the target gets no work

    Examples:
      | source | event                                                |
      | answer | its entry expires and comes back 4 s later            |
      | entry  | its entry expires and comes back 4 s later            |
      | answer | its entry expires and the store returns from a copy   |
      | entry  | its entry expires and the store returns from a copy   |
      | entry  | its entry is ready again in a copy of an unknown era  |
      | answer | its entry expires 500 times and comes back each time  |
      | answer | 7299 other entries expire with its own and come back |
      | entry  | 7299 other entries expire with its own and come back |

  # Guards against DRAIN: more statements of any kind than were kept pushed out that a target leaves.
  Scenario Outline: A target that leaves by its <source> gets no work after <count> that name limits expired with it
    Given a fleet view with a target
    And the target says in its <source> that it leaves
    When <count> other entries of targets that name limits expire with its own and come back
    Then the target gets no work

    Examples:
      | source | count |
      | answer | 2100  |
      | answer | 7299  |
      | entry  | 7299  |

  # Guards against DRAIN on ways that were not tried before (review, case 5).
  Scenario Outline: A target that leaves by its answer gets no work after <event>
    Given a fleet view with a target
    When <event>
    Then the target gets no work

    Examples:
      | event                                                                        |
      | its answer comes just before its entry expires and is ready again            |
      | its answer comes just after its entry expired and it is ready again          |
      | its answer comes over another router after its entry expired and came back   |
      | its answer comes over another router between its expiry and its return       |
      | its entry comes back ready and then draining                                 |
      | its entry comes back while all entries are read anew                         |
      | its entry comes back with the revision that it had                           |
      | its entry changes and names no start any more                                |
      | its entry comes back and names no start any more                             |

  # Guards against an answer that is not taken up because the entry expired before it came.
  Scenario: An answer that says so after the entry has expired counts
    Given a fleet view with a target
    When the target's entry is deleted
    And the target says in its answer that it leaves
    And its entry expires and comes back 4 s later
    Then the target gets no work

  # Guards against a target that is never used again.
  Scenario: A target that has started again under its id gets work
    Given a fleet view with a target
    And the target says in its answer that it leaves
    When the target starts again under the same id
    Then the target gets work

  # Guards against an entry of an earlier start that hides the present one.
  Scenario: An older start of a target in a copy of the store doesn't replace the present one
    Given a fleet view with a target
    And the target starts again under the same id
    When the store returns from a copy with the entry of the earlier start
    Then the target gets work

  # Guards against requests to a target whose removal the store has acknowledged.
  Scenario: A target that was gone is not used because a copy of the store still has its entry
    Given a fleet view with a target
    And the target's entry has counted 7 heartbeats
    When the target's entry is deleted
    And the store returns from a copy that holds the entry
    Then the target is not used
    When the target writes its entry again
    Then the target gets work

  # Guards against LIMIT: a limit or a pause was forgotten as the target's entry expired.
  Scenario: A limit and a pause outlast the target's entry
    Given a fleet view with a target
    And the target has named a limit of 0.1 a second and a pause of 60 s
    When the target's entry is deleted
    And the state of departed targets is dropped
    And its entry expires and comes back 4 s later
    Then the limit and the pause still hold
    When the target starts again under the same id
    Then neither holds

  # Guards against memory that grows with every target that ever left.
  Scenario: What is kept of 7300 targets that are replaced 10 times stays within its bound
    When each of 7300 targets names a limit, wants a pause, leaves and is replaced 10 times
    Then at most 36236 statements are kept, in at most 10 MB

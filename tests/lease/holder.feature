Feature: A lease holder never acts after its lease may have expired

  Scenario Outline: The lease is <state> after <event>
    Given a lease of 6 seconds held with a margin of 1 second
    When <event>
    Then the state of the lease is <state>

    Examples:
      | event                                                       | state     |
      | 4 seconds pass                                              | held      |
      | 5 seconds pass                                              | free      |
      | 4 seconds pass with renewals                                | held      |
      | the holder is paused for 8 seconds                          | free      |
      | the answer to a renewal is lost                             | held      |
      | renewals fail for 5 seconds                                 | free      |
      | a renewal is answered after 6 seconds                       | free      |
      | another holder acquires the lease during a 7 second pause   | elsewhere |

  Scenario: The epoch grows each time the lease is acquired again
    Given a lease of 6 seconds held with a margin of 1 second
    When the lease expires and is acquired again
    Then the epoch is higher and the loss was counted

  Scenario: At most one holder acts in any sequence of pauses and failures
    Then the lease state machine holds for every generated sequence

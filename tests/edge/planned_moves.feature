Feature: Streams leave draining targets one after the other

  # Guards against streams that all leave at once and wait for each other's prompts.
  Scenario Outline: A release of six targets at once pauses no stream of <routers> routers beyond 250 ms
    Given <routers> routers with 60 streams each s that last 6 s, on paths over 30 targets
    When six targets drain at once, and streams leave them as the schedule decides
    Then no stream pauses for longer than 250 ms
    And every stream has left 0.8 of the drain bound after the targets began to drain

    Examples:
      | routers |
      | 6       |
      | 60      |
      | 300     |

  # The load of the scenario above is one that does harm without the schedule.
  Scenario: The same release pauses one stream in ten beyond 250 ms if all leave at once
    Given 60 routers with 60 streams each s that last 6 s, on paths over 30 targets
    When six targets drain at once, and streams leave them at once
    Then more than one stream in ten pauses for longer than 250 ms

  # Guards against pauses of streams that would have ended where they are.
  Scenario: A stream that ends before its target may isn't moved
    Given a target that drains for 0.4 s of 3 s
    When a stream is expected to end after 1.5 s
    Then the decision is to wait

  # Guards against a stream that is lost with its target as it waited for a better moment.
  Scenario: A stream that was expected to end is moved at the latest moment
    Given a target that drains for 2.5 s of 3 s
    When a stream is expected to end after 0 s
    Then the decision is to move

  # Guards against moves into a queue of prompts while there is still time.
  Scenario: A move that would pause a stream for too long is put off
    Given a target that drains for 0.4 s of 3 s
    When a stream's move would pause it for 400 ms
    Then the decision is to wait until the latest moment, and to move then

  # Guards against a stream that stays on a draining target until it is cut, as one order failed.
  Scenario Outline: A stream whose first <failing> orders fail is moved by a later one, or stays
    Given a stream over a target that began to drain 0.1 s ago
    When its moves are decided for 3 s, and the first <failing> orders fail
    Then <orders> orders were sent, and the stream left the target: <left>

    Examples: three failed orders are enough
      | failing | orders | left |
      | 0       | 1      | yes  |
      | 1       | 2      | yes  |
      | 9       | 3      | no   |

  # Guards against a stream that stays on a target that began to drain while it was moved there.
  Scenario: A stream that leaves a lost target as its new one begins to drain is moved again
    Given a stream over a target that is lost
    When it is led around that target as the new one begins to drain, and 3 s pass
    Then 2 orders were sent, and the stream left the target: yes

  # Guards against load that stays counted for a stream that ended during its order.
  Scenario: The load of a stream that ends during its order is removed once
    Given a stream over a target that began to drain 0.1 s ago
    When its moves are decided for 3 s, and it ends during the first order
    Then no target has load

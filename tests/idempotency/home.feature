Feature: The home of a slot lets each idempotency key run at most once

  Scenario Outline: Claims are answered correctly after <event>
    Given the home of a slot with a finished key and an unfinished key
    When <event>
    Then a retry of the finished key is answered "<finished>"
    And a retry of the unfinished key is answered "<unfinished>"
    And a first attempt of a new key is answered "<first>"
    And a later attempt of an unknown key is answered "<later>"

    Examples:
      | event                                      | finished | unfinished | first       | later       |
      | nothing happens                            | Repeated | InDoubt    | Claimed     | Claimed     |
      | a new home takes over a closed log         | Repeated | InDoubt    | Claimed     | Claimed     |
      | a new home takes over an unclosed log      | Repeated | InDoubt    | Claimed     | InDoubt     |
      | the store loses its next answers           | Repeated | InDoubt    | Claimed     | Claimed     |
      | the store becomes unreachable              | Repeated | InDoubt    | Claimed     | Unavailable |
      | a new home takes over during stale reads   | Repeated | InDoubt    | Claimed     | InDoubt     |

  Scenario: A home that was taken over grants no further claims
    Given the home of a slot with a finished key and an unfinished key
    When a new home takes over an unclosed log
    Then the old home answers a new key "Unavailable"

  Scenario: A key with a different body is refused, and a freed key can be claimed
    Given the home of a slot with a finished key and an unfinished key
    Then the finished key with a different body is answered "Mismatched"
    And the unfinished key can be claimed after its request is reported not run

  Scenario: The rate of store writes hardly grows when the rate of claims grows tenfold
    Given a home that commits every 50 milliseconds
    When 30 and then 300 claims per second run for 1 second each
    Then the two numbers of writes per interval differ by less than half
    And in neither time it writes more often than it commits

  Scenario: Old segments are deleted
    Given a home with a retention of 1 second
    When claims are made more than 2 seconds apart and the log is cleaned
    Then only recent segments remain in the store

  Scenario: No key runs twice in any sequence of claims, take-overs and lost answers
    Then the claim state machine holds for every generated sequence

  # Guards against claims that wait past their bound after the event loop stood still.
  Scenario Outline: Claims keep their bound after a stall of <stall_s> s
    Given the home of a slot with a finished key and an unfinished key
    When its event loop stands still for <stall_s> s while claims come
    Then each claim is answered within 1.0 s

    Examples:
      | stall_s |
      | 0.15    |
      | 0.25    |
      | 0.35    |

  # Guards against a repeat that is never answered since it comes when the outcome has
  # just become known and an earlier repeat reaches its bound.
  Scenario: A repeat that comes together with the outcome is answered
    Given the home of a slot with a finished key and an unfinished key
    When its event loop stands still while a repeat waits, the outcome and a repeat come
    Then each claim is answered within 1.0 s

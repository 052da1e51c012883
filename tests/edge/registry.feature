Feature: All running routers are counted, whatever becomes of their leases

  # Guards against BUDGET: leases that ran out in an outage left each router alone in its count, with
  # the whole budget for itself, until the next renewal 20 s later.
  Scenario Outline: <count> routers that <how> share the budget after all leases ended
    Given <count> registered routers that know each other
    When all leases end while the store is away, and routers <how>
    Then their shares never add up to more than the whole
    And all are registered, and know each other

    Examples:
      | count | how                       |
      | 6     | hear of it                |
      | 6     | read the store as a whole |
      | 77    | hear of it                |
      | 77    | read the store as a whole |
      | 195   | hear of it                |
      | 195   | read the store as a whole |

  Scenario: Routers that ended are not counted for good
    Given 77 registered routers that know each other
    When a third of them end, and their leases with them
    Then all are registered, and know each other

  # Guards against START: routers that read the store just before they were registered took their
  # entries for lost, and registered twice.
  Scenario Outline: Each of <count> routers that read the store as they start registers once
    Given <count> routers that start and read the store
    When some read it before they are registered, and some after
    Then all are registered, and know each other
    And each has registered once

    Examples:
      | count |
      | 1     |
      | 12    |
      | 195   |

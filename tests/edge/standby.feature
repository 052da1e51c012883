Feature: A free lease is acquired by one router, and few call the store for it

  # Guards against a herd at the planner's lease: all routers called the store as it became free.
  Scenario: The routers of a large fleet try to acquire a free lease one after the other
    Given 195 routers that stand by for a lease
    When the lease becomes free, and is held again 0.3 s after the first attempt
    Then at most 3 of them called the store

  # Guards against the same herd after a store came back from an earlier copy without its leases.
  Scenario: The routers of a large fleet don't all call a store that has lost its leases
    Given 195 routers that stand by for a lease
    When the lease becomes free, and is held again 0.3 s after the first attempt
    And the store loses its leases
    Then at most 1 of them called the store since

Feature: The store may come back from a copy that is some seconds old

  # Guards against CONFIG and DRAIN: entries of a store that went back were ignored.
  Scenario: A router follows a store that came back from a copy
    Given a platform with lookups in both zones
    And a copy of the store is taken
    And configuration 2 follows, the target of the other zone drains, and 40 more changes
    When the store comes back from the copy
    And the target of the own zone registers as draining
    Then the router takes both targets for draining
    And configuration 2 is still in force

  # Guards against BUDGET: a router that the store has forgotten isn't counted.
  Scenario: Routers register again at once and are counted all the while
    Given a platform with lookups in both zones
    And a copy of the store is taken
    And 2 more routers that start after that
    When the store comes back from the copy
    Then all 3 routers are registered again within 3 seconds
    And no router ever counted fewer than 3

  # Guards against two planners, and against fencing tokens that are given out again.
  Scenario: The planner acquires its lease again, with a later fencing token
    Given a platform with lookups in both zones
    And a copy of the store is taken
    And the router plans
    When the store comes back from the copy
    Then the router doesn't plan on the lease of before
    And within 5 seconds a router plans with a later fencing token

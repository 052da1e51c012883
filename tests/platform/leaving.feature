Feature: News of targets that leave come in time, whatever else the store has to tell

  # Guards against DRAIN: routers heard of a target that had left 2.6 to 6.8 s later, after a
  # configuration of 1 MB had come twice over a link of 10 Mbit/s.
  Scenario Outline: Of <routers> routers none uses a target longer than the drain bound of <drain_s> s allows while <news>
    Given <routers> routers with links of <link_mbps> Mbit/s that follow the model of a store
    When targets leave one after the other while <news>
    Then no target is used until less than a connect is left of <drain_s> s
    And no change of a target is applied twice unless all were read anew

    Examples:
      | routers | link_mbps | drain_s | news                                             |
      | 6       | 1000      | 2       | the largest configuration changes three times    |
      | 77      | 10        | 3       | the largest configuration changes three times    |
      | 2100    | 10        | 3       | the largest configuration changes three times    |
      | 6       | 1000      | 2       | the watches hear nothing and the history is lost |
      | 77      | 10        | 3       | the watches hear nothing and the history is lost |
      | 2100    | 10        | 3       | the watches hear nothing and the history is lost |

  # Guards against DRAIN on a real connection: the store's probe ended the transfer of the
  # configuration again and again, and what was missing in it was taken for lost in an outage.
  Scenario: A target that left while a large configuration arrives gets nothing after the drain bound
    Given a platform with lookups in both zones whose store has a link of 4 Mbit/s
    When the target of the own zone leaves just after a configuration of 1 MB was written
    And lookups are sent for 4 s
    Then no lookup reached it later than the drain bound
    And the router never took the store for lost

  # Guards against the same on every way to a target: the first and the later stages of a path,
  # and streams that break off and are resumed.
  Scenario: No path leads over targets that left while a large configuration arrives
    Given a platform with a model in two copies in each zone whose store has a link of 4 Mbit/s
    When a copy of each part leaves in the own zone just after a configuration of 1 MB was written
    And drafts that break off and are resumed are sent for 4 s
    Then no path leads over those that left later than the drain bound
    And the router never took the store for lost

  # Guards against a router that never follows the store again: each answer to its probe ended
  # the reading of the configuration that had begun after an outage.
  Scenario Outline: <routers> routers follow the store again within <within_s> s of an outage
    Given <routers> routers with links of <link_mbps> Mbit/s that follow the model of a store
    When the store is away for 3 s while it holds the largest configuration
    Then every router follows it again within <within_s> s

    Examples:
      | routers | link_mbps | within_s |
      | 6       | 1000      | 2        |
      | 77      | 5         | 4        |

  # Guards against CONFIG: a version written just after the one before was read was never heard of.
  Scenario Outline: <routers> routers hear of a configuration that is written as another is read
    Given <routers> routers with links of <link_mbps> Mbit/s that follow the model of a store
    When large configurations are written just before, as and after another is read
    Then the latest configuration was read each time

    Examples:
      | routers | link_mbps |
      | 6       | 1000      |
      | 77      | 10        |

Feature: Streams are admitted by the room at their targets, by priority and workspace

  # Guards against throughput that falls as load rises, and urgent streams served last.
  Scenario Outline: <routers> routers at <load> times the capacity, <reports> reports
    Given <routers> routers <reports> reports of each other's load
    When streams of three priorities come at <load> times the capacity
    Then at least <throughput> of what the targets can run is served in time
    And at least <urgent> of the most urgent streams are served in time
    And no priority is served 0.05 less often than a less urgent one

    Examples: Reports
      | routers | reports | load | throughput | urgent |
      | 6       | with    | 0.5  | 0.45       | 0.99   |
      | 6       | with    | 2    | 0.95       | 0.99   |
      | 6       | with    | 4    | 0.95       | 0.6    |
      | 60      | with    | 0.5  | 0.45       | 0.99   |
      | 60      | with    | 1.5  | 0.95       | 0.99   |
      | 60      | with    | 2.6  | 0.95       | 0.99   |
      | 60      | with    | 4    | 0.95       | 0.6    |
      | 300     | with    | 2    | 0.95       | 0.99   |

    Examples: No reports
      | routers | reports | load | throughput | urgent |
      | 6       | without | 0.5  | 0.45       | 0.99   |
      | 60      | without | 0.5  | 0.45       | 0.99   |
      | 60      | without | 2    | 0.95       | 0.99   |

  # Guards against refusals while there is plenty of room for all.
  Scenario Outline: Nothing is refused at half the capacity, <reports> reports
    Given 60 routers <reports> reports, some with three times the demand of others
    When streams of three priorities come at 0.5 times the capacity
    Then at least 0.99 of the streams of every priority are served in time

    Examples:
      | reports |
      | with    |
      | without |

  # Guards against a workspace that displaces others by asking for more.
  Scenario Outline: Workspaces get their fair share at <routers> routers
    Given <routers> routers with reports of each other's load
    When one workspace asks for twice the capacity and two for a quarter each
    Then each workspace gets at least 0.9 of its fair share

    Examples:
      | routers |
      | 6       |
      | 60      |

  # Guards against routers that fill and empty the targets in turn.
  Scenario Outline: After a step the targets stay full at <routers> routers
    Given <routers> routers with reports of each other's load
    When the demand of three priorities rises from 0.5 to 2 times the capacity
    Then from 2 s after the step the targets are full and little waits there

    Examples:
      | routers |
      | 6       |
      | 60      |

  # Guards against a share that stays small after a wave of demand.
  Scenario: Waves of demand are followed
    Given 60 routers with reports of each other's load
    When the demand of three priorities rises and falls by half every 13 s
    Then at least 0.99 of the most urgent streams are served in time

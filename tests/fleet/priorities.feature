Feature: The order of requests that compete for the same targets

  # Guards against a workspace's priority that makes all of its streams equally urgent.
  Scenario Outline: A request has the rank of its workspace's priority, then of its route's
    Given streams of priority <routes> and workspaces of priority <workspaces>
    Then a stream of priority <route> of a workspace of priority <workspace> has rank <rank>

    Examples: ranked by the route
      | routes | workspaces | route | workspace | rank |
      | 0,1,2  | 1          | 0     | 1         | 1    |
      | 0,1,2  | 1          | 1     | 1         | 2    |
      | 0,1,2  | 1          | 2     | 1         | 3    |
      | 0,1,2  | none       | 2     | none      | 2    |

    Examples: the workspace takes precedence
      | routes | workspaces | route | workspace | rank |
      | 0,2    | 0,1        | 2     | 0         | 1    |
      | 0,2    | 0,1        | 0     | 1         | 2    |

    Examples: not ranked, so that the priority is passed on as it is
      | routes | workspaces | route | workspace | rank |
      | 1,1    | 1          | 1     | 1         | 1    |
      | 3      | none       | 3     | none      | 3    |

  # Guards against features that come into force where streams don't compete by priority.
  Scenario Outline: Streams count as ranked where two of them differ in urgency
    Given streams of priority <routes> and workspaces of priority <workspaces>
    Then the streams <are> ranked

    Examples:
      | routes | workspaces | are     |
      | 0,1,2  | 1          | are     |
      | 1,1,1  | 1          | are not |
      | 1,1,1  | 0,1        | are     |
      | 1      | none       | are not |

  # Guards against shorter pauses by default where no streams are ranked, whatever their events hold.
  Scenario Outline: Pauses are shortened by default only where streams are ranked
    Given streams of priority <routes> whose events hold <tokens> tokens
    Then pauses <are> shortened by default

    Examples:
      | routes | tokens | are     |
      | 1,1    | 5      | are not |
      | 1,1    | 3      | are not |
      | 0,1    | 3      | are     |

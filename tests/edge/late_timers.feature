Feature: A router whose own timers ran late takes no target for silent

  # Guards against targets, links and zones that are avoided because this process stood still as
  # their responses came.
  Scenario Outline: No target is blamed where the loop is held for <hold_s> s during <decision>
    Given a platform with a model in parts in both zones
    And the router plans from now on
    When the loop is held for <hold_s> s during <decision>
    Then nothing is taken for silent

    Examples:
      | hold_s | decision                  |
      | 0.1    | a probe of links          |
      | 0.4    | a probe of links          |
      | 2.0    | a probe of links          |
      | 0.1    | a probe of another zone   |
      | 0.5    | a probe of another zone   |
      | 2.0    | a probe of another zone   |
      | 0.1    | a planner's probe         |
      | 0.6    | a planner's probe         |
      | 2.0    | a planner's probe         |
      | 0.6    | a query of a first target |
      | 2.0    | a query of a first target |

  Scenario Outline: No target is blamed where the loop is held for <hold_s> s as a lookup is sent
    Given a platform with lookups in both zones
    When the loop is held for <hold_s> s as a lookup is sent
    Then nothing is taken for silent

    Examples:
      | hold_s |
      | 0.1    |
      | 0.7    |
      | 2.0    |

  # Guards against a target that is never found silent by a process whose timers often run late.
  Scenario: A silent target is found although the loop is held for 0.2 s again and again
    Given a platform with a model in parts in both zones
    And the router plans from now on
    When the first target of the own zone falls silent, and the loop is held for 0.2 s four times
    Then the planner takes it for dead within 3 s

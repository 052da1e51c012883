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

  # Guards against a clock that takes ordinary turns of the loop for lost time, or misses a loss.
  Scenario Outline: Of <elapsed_s> s with a pulse each <turn_s> s, <heard_s> s count as heard
    Given a clock that is pulsed each <turn_s> s
    When <elapsed_s> s have passed
    Then <heard_s> s count as heard, and it was deaf: <deaf>

    Examples:
      | turn_s | elapsed_s | heard_s | deaf |
      | 0.05   | 1.0       | 1.0     | no   |
      | 0.07   | 0.7       | 0.7     | no   |
      | 0.16   | 0.8       | 0.4     | no   |
      | 0.4    | 0.4       | 0.08    | yes  |
      | 2.0    | 2.0       | 0.08    | yes  |
      | 1.0    | 3.0       | 0.24    | no   |
      | 5.0    | 1.0       | 0.08    | yes  |

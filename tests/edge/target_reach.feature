Feature: A router tells the loss of all its links from that of some

  # Guards against a router that gave up all targets as six drawn ones lay in zones without links, 15 of 50 times.
  Scenario Outline: A router that reaches <which> of <zones> zones doesn't take all targets for lost
    Given targets of a service in each of <zones> zones, 20 in each
    And a router that reaches <which> of them
    When it examines its links 50 times, as often anew
    Then it never takes the targets for out of reach

    Examples:
      | which              | zones |
      | its own zone only  | 3     |
      | its own zone only  | 7     |
      | one other zone only | 3    |
      | one other zone only | 7    |

  # Guards against a router that stays without targets although its own zone is within reach again.
  Scenario: A router that reaches its own zone again serves by itself within a second
    Given targets of a service in each of 7 zones, 20 in each
    And a router that reaches none of them
    When it examines its links
    And its own zone is within reach again
    Then within 1 second it takes the targets for within reach

  # Guards against a router that tries the same few targets without links again and again, 0 of 12 served.
  Scenario Outline: A router that reaches <reached> of <targets> targets finds one, however rarely it is asked
    Given a router that reaches <reached> of <targets> targets of a plain service
    When it is sent 0.2, 1 and 5 requests a second, whose callers wait 1.2 seconds
    Then it serves 19 in 20 of them, or another router does

    Examples:
      | targets | reached |
      | 4       | 1       |
      | 4       | 2       |
      | 20      | 1       |
      | 20      | 5       |
      | 20      | 10      |
      | 98      | 1       |
      | 98      | 10      |
      | 98      | 49      |
      | 98      | 88      |

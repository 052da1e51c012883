Feature: A router tells the loss of all its links from that of some

  # Guards against a router that gave up all targets as six drawn ones lay in zones without links, 15 of 50 times.
  Scenario Outline: A router that reaches <which> of <zones> zones doesn't take all targets for lost
    Given targets of a service in each of <zones> zones, 20 in each
    And a router that reaches <which> of them
    When it examines its links 50 times, as often anew
    Then it never takes the targets for out of reach

    Examples:
      | which               | zones |
      | its own zone only   | 3     |
      | its own zone only   | 7     |
      | one other zone only | 3     |
      | one other zone only | 7     |

  # Guards against a router that stays without targets although its own zone is within reach again.
  Scenario: A router that reaches its own zone again serves by itself within a second
    Given targets of a service in each of 7 zones, 20 in each
    And a router that reaches none of them
    When it examines its links
    And its own zone is within reach again
    Then within 1 second it takes the targets for within reach

  # Guards against RECOVER: a target that responded just before the cut vouched for links that were lost
  # since, and the caller was refused instead of sent on to another router.
  Scenario: A response before a failure says nothing of the links after it
    Given targets of a service in each of 4 zones, 20 in each
    And a router that reaches none of them
    When a target has responded, and then one fails
    Then the router knows that it reaches none

  # Guards against a router that plans without links, and takes the targets for dead one by one.
  Scenario Outline: A router that plans examines its links as a target <fails>
    Given targets of a service in each of 4 zones, 20 in each
    And a router that reaches none of them
    When it plans, and a target <fails>
    Then the router knows that it reaches none

    Examples:
      | fails                             |
      | returns no report before an order |
      | that others suspect is silent     |

  # Guards against a first request that waits for a connect of 0.6 s before the links are examined.
  Scenario: The links are examined while a connect is slow, not after it has failed
    Given targets of a service in each of 4 zones, 20 in each
    And a router that reaches none of them
    When a request's connect hangs
    Then the router knows that it reaches none before the connect has failed

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

  # Guards against a stream refused after six connects that reached no target, though another router could bring it to one.
  Scenario: A stream whose first six targets are without links goes on over another router
    Given a router that reaches 49 of 98 targets of a pipeline, and has 3 retries in 10 seconds
    And the first 6 sends of each stream go to targets without links
    When it is sent 0.2, 1 and 5 streams a second
    Then it serves 19 in 20 of them, or another router does

  # Guards against streams refused for want of retries, all used up by connects that reached no target.
  Scenario Outline: Streams of a router that reaches <reached> of <targets> targets begin, however few retries are left
    Given a router that reaches <reached> of <targets> targets of a pipeline, and has 3 retries in 10 seconds
    When it is sent 0.2, 1 and 5 streams a second
    Then it serves 19 in 20 of them, or another router does

    Examples:
      | targets | reached |
      | 4       | 1       |
      | 20      | 1       |
      | 20      | 5       |
      | 20      | 10      |
      | 98      | 10      |
      | 98      | 49      |
      | 98      | 88      |

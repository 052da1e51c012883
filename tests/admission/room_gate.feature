Feature: The gate starts, queues or refuses a stream before it is sent

  # Guards against a refusal after a long wait, or one that says to return at once.
  Scenario: A stream without expected room is refused at once, with Retry-After
    Given a gate whose router's share is two streams, which both run
    When another stream comes
    Then it is refused as "overloaded" without a wait
    And it is to return after 0.25 s to a third of its time

  # Guards against a free place that nobody takes.
  Scenario: A stream starts when room frees while it waits
    Given a gate whose router's share is two streams, which both run
    And streams end after a tenth of a second on average
    When another stream comes and one ends
    Then the waiting stream starts

  # Guards against room that is lost with a caller that leaves.
  Scenario: A caller that leaves the queue takes no room
    Given a gate whose router's share is two streams, which both run
    And streams end after a tenth of a second on average
    When another stream comes and its caller leaves
    Then nothing waits and two streams hold room

  # Guards against false refusals, and against a second decision on one stream.
  Scenario Outline: A stream passes a full gate where <case>
    Given a gate whose router's share is two streams, which both run
    When <case>
    Then another stream passes

    Examples:
      | case                                   |
      | admission is not in force              |
      | another router forwarded the stream    |
      | the stream resumes                     |
      | the router reaches no target           |
      | no target is known                     |
      | a layer is held by no target           |

  # Guards against streams in progress that are cut, or refusals that never end.
  Scenario: Streams in progress stay when capacity drops
    Given a gate whose router's share is two streams, which both run
    When half of the targets are gone
    Then two streams hold room
    And a stream starts after both have ended

  Scenario: The room is that of the layer with the least memory
    Given targets that hold the first half twice and the second half once
    Then the capacity is that of the target with the second half
    And the reported tokens are those at its layer

  # Guards against the figures of routers that are dead or cut off.
  Scenario: Reports older than two seconds are not used
    Given targets that hold the first half twice and the second half once
    When the reports of other routers are 2.1 s old
    Then no router counts as reporting

  # Guards against callers that lose their place by returning as they were told.
  Scenario: A workspace that was refused keeps its turn for ten seconds
    Then a refused workspace that returns within 10 s goes before a new one
    And one that returns after 10 s does not

  # Guards against a share that shrinks through faults, or never recovers.
  Scenario: The factor of the share shrinks with refusals under load only
    Then refusals shrink the factor of a router that uses its share, down to its bound
    And refusals leave the factor of a router that uses little of its share
    And the factor grows again when targets answer as usual

Feature: A fleet that loses a part of its targets at once comes back

  # Guards against a planner that gives loading targets other layers each second: after a quarter of
  # the targets had crashed and come back empty, no path covered the model for 12 s and more.
  Scenario: Every copy is whole again once the layers that were lost can be loaded
    Given fleets of 41 targets in five zones that share three loads at full speed
    When a quarter of the targets crash at once and come back empty
    Then every copy is whole again in the time of loading what was lost, and 1 s

  # Guards against the same where the next loss comes before the first one is repaired.
  Scenario: Every copy is whole again after two losses in series
    Given fleets of 41 targets in five zones that share three loads at full speed
    When a quarter of the targets crash at once and come back empty, twice in 6 s
    Then every copy is whole again in the time of loading what was lost, and 1 s

  # Guards against orders to targets that carry out another one, which they refuse.
  Scenario: No target that loads gets another order
    Given fleets of 41 targets in five zones that share three loads at full speed
    When a quarter of the targets crash at once and come back empty
    Then no target refuses an order

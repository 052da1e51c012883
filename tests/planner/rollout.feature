Feature: Rollouts keep every layer of a pipeline served

  Scenario: A rollout keeps all layers served after every step
    Given a marketplace with spare engines and a planner
    When a pipeline's next version is written
    Then the planner serves it without ever breaking a cover

  Scenario: A planner that resumes after losing its lease cannot undo its successor
    Given a marketplace with spare engines and a planner
    When the planner is paused, another takes over, and the first goes on
    Then targets that check fencing refuse the old fence
    And the first planner gives no order

  Scenario: A new planner waits out its predecessor's orders for targets that ignore fencing
    Given a marketplace with spare engines and a planner
    When another planner takes over and a target ignores fencing
    Then it gives that target no order until old orders have ended

Feature: Rollouts keep every layer of a pipeline served

  Scenario: A rollout keeps all layers served after every step
    Given stand-in targets with spare engines and a planner
    When a pipeline's next version is written
    Then the planner makes it current, and no layer is ever unserved

  Scenario: A planner that resumes after losing its lease cannot undo its successor
    Given stand-in targets with spare engines and a planner
    When the planner is paused, another takes over, and the first resumes
    Then targets that check fencing refuse the old fencing token
    And the first planner sends no order

  Scenario: A new planner waits out its predecessor's orders for targets that ignore fencing
    Given stand-in targets with spare engines and a planner
    When another planner takes over and a target ignores fencing
    Then it sends that target no order until old orders have expired

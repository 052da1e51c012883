Feature: Accepted settings reach every agent despite failures of relays, agents and store

  Scenario: A change is in force in every zone
    Given a fleet of 7 agents with the test tree
    When a change is accepted
    Then every agent applies it and every zone confirms it

  Scenario: All relays are killed
    Given a fleet of 7 agents with the test tree
    When every relay is killed and a change is accepted
    Then every agent applies it and every zone confirms it

  Scenario: The store is unreachable while an agent starts
    Given a fleet of 7 agents with the test tree
    When the store becomes unreachable and an agent starts with a seed
    Then the new agent gets its tree from a peer

  Scenario: A node that does not report keeps the watermark from rising and is listed
    Given a fleet of 7 agents with the test tree
    When an agent stops applying settings and a change is accepted
    Then its zone does not confirm the change and lists the agent as unconfirmed

  Scenario: A rolling replacement of all agents loses no role and no setting
    Given a fleet of 7 agents with the test tree
    When every agent is replaced in turn while changes are accepted
    Then every agent applies the last change and every slot has a home

  Scenario: A workspace's token can only write that workspace's settings
    Given a fleet of 7 agents with the test tree
    Then the operators' listener lets each token write only what it owns

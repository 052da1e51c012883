Feature: Members agree on who is alive, through restarts and network partitions

  Scenario Outline: After <updates>, the member is <state>
    Given a member table in which vm-1 is alive
    When it receives <updates>
    Then vm-1 is <state>

    Examples:
      | updates                                      | state   |
      | a suspicion                                  | suspect |
      | a suspicion, a refutation                    | alive   |
      | a refutation, a suspicion                    | alive   |
      | a suspicion, a death                         | dead    |
      | a death, an older alive                      | dead    |
      | a death, a direct answer                     | alive   |
      | a death, a new instance                      | alive   |
      | a new instance, the old instance alive       | alive   |
      | a leave, a suspicion                         | left    |
      | a suspicion, no refutation in time           | dead    |

  Scenario: A member refutes a suspicion of itself
    Given a member table in which vm-1 is alive
    Then a suspicion of itself raises its own incarnation

  Scenario: A suspected member learns of it from any member it contacts, and refutes it
    Given a member table in which vm-1 is alive
    When it receives a suspicion, a death
    Then its answer to vm-1 contains the death, and vm-1 refutes it for every member

  Scenario: The number of updates in a message does not depend on the size of the fleet
    Then a table of 2,100 members sends at most 8 updates at once

  Scenario: An unreachable zone is marked dead, and alive again after the partition heals
    Given agents in three zones, targets and a router
    When a zone is cut off from the others and reconnected
    Then every agent considers every other agent alive

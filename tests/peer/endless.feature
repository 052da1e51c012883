Feature: A peer that sends without end holds no process

  # Guards against a task that finds a message at each read, so that no timeout expires and no
  # other task runs for as long as a peer sends.
  Scenario Outline: <messages> without end let other tasks run
    Given a peer that sends <messages> without end
    When they are read for 0.3 seconds
    Then no other task waits longer than 0.05 s of computing for its turn
    And the timeout ends the reading

    Examples:
      | messages           |
      | requests           |
      | replies            |
      | malformed requests |
      | malformed replies  |

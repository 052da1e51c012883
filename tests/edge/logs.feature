Feature: Logs and metrics are bounded, and logging never blocks

  Scenario: A log reader that stops reading blocks nothing and only loses lines
    Given logs into a pipe that nobody reads
    When 20000 routine lines and 10 warnings are logged
    Then logging took less than 2 seconds and lines were dropped
    When the reader reads on
    Then the count of dropped lines is told

  Scenario: Routine lines are sampled, and all warnings are kept
    Given logs into a pipe that is read
    When 1000 routine lines and 10 warnings are logged
    Then at most 80 routine lines and all 10 warnings arrive

  # Guards against callers that fill the memory with lines that hold long ids.
  Scenario: Long texts in lines are cut
    Given logs into a pipe that nobody reads
    When 4000 warnings with an id of 16000 characters are logged
    Then the lines take at most 8 MB

  Scenario: Metrics have a bounded number of series and include quantiles
    Then 5000 workspaces make at most 2001 series and quantiles are given

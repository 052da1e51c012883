Feature: Targets name the rate of requests that they take from all routers together

  # Guards against LIMIT: each router went on sending as if no limit had been named.
  Scenario Outline: Routers together keep to the limit that a target names
    Given 3 routers before <what>
    And the first target of the own zone names a limit of 1.5 a second after 2 seconds
    When <what> are asked for at 6 a second for 10 seconds
    Then that target gets no more than its limit allows from routers that were told
    And the other requests are served elsewhere

    Examples:
      | what    |
      | lookups |
      | drafts  |

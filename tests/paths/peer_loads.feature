Feature: Routers count what others of their zone report, as long as it is fresh

  # Guards against routers that know each other's load no better than by guessing.
  Scenario Outline: With reports, <routers> routers err at most half as much as by guessing
    Given the model of one zone of a fleet of <routers> routers
    When it has played for 12 s
    Then in 5 samples the error of the estimated tokens is at most half of the guess's

    Examples:
      | routers |
      | 6       |
      | 77      |
      | 195     |
      | 2100    |

  # Guards against all routers sending to the target that their figures say is empty.
  Scenario Outline: A target that comes back attracts no thundering herd of <routers> routers
    Given the model of one zone of a fleet of <routers> routers, with <seeds> seeds
    When a target is away for 2 s and comes back
    Then no target gets more than 1.5 times its steady share in any of 9 seconds

    Examples:
      | routers | seeds |
      | 6       | 16    |
      | 77      | 8     |
      | 195     | 4     |
      | 2100    | 2     |

  # Guards against fast targets that all routers overfill while slow ones are empty.
  Scenario: Fast targets are not overfilled while slow ones have room
    Given the model of a zone of 20 routers, half of whose targets are slow
    Then the fast targets are in use by at most 1.0 over 24 s, and the slow ones by 0.3

  # Guards against load that stays counted after its router is gone, and load that is lost.
  Scenario Outline: The figures of a router that <fault> are used for 2 s at most
    Given two routers that report to each other
    When one of them <fault>
    Then the other one uses its figures no longer than 2 s
    And it reports none until the first one reports again

    Examples:
      | fault                              |
      | dies                               |
      | is cut off                         |
      | is cut off and messages pile up    |
      | stands still with messages waiting |

  # Guards against figures of two runs being added up.
  Scenario: The figures of a router that restarts replace those of its former run
    Given two routers that report to each other
    When one of them restarts and reports
    Then the other one uses only the figures of the new run

  # Guards against changes that are applied to figures which miss earlier changes.
  Scenario: After a lost message, a router's figures are used again from its next full copy
    Given two routers that report to each other
    When a message is lost
    Then its figures aren't used until the next full copy

  # Guards against a router whose loop stood still taking old figures for new ones.
  Scenario: A router whose loop stood still counts the time that messages waited
    Given two routers that report to each other
    When the loop of one stands still for 1 s and messages wait
    Then the figures that it used next are at least 0.7 s old

  # Guards against load of routers of an older version that nobody counts.
  Scenario: Routers that don't report are covered by the mean of those that do
    Given two routers of five that report to each other
    Then the load on a target is estimated as five halves of what is known

  Scenario: The prompts that others queued count until the target has prefilled them
    Given a router that reports 0.4 s of queued prefill
    Then it counts as 0.3 s after 0.1 s, and as nothing after 0.5 s

  # Guards against sums that drift away from the figures that they add up.
  Scenario: Sums of figures are exact after any sequence of reports
    Then after 2,000 random reports the sums are those of the reports in use

  # Guards against room that other zones' routers have taken and nobody here knows of.
  Scenario: The load of another zone's routers counts once, for 2 s at most
    Given a router that listens to one of 4 routers of another zone
    When these have 3 requests each at a target and report to each other
    Then the router counts 12 requests there, of 4 routers
    And it counts none 2 s after the last sums

  # Guards against load that is counted twice as a router and its zone report it.
  Scenario: What a zone has told comes back to none of its routers
    Given a router that listens to one of 4 routers of another zone
    When these have 3 requests each at a target and report to each other
    Then none of the 4 counts more than the 9 requests of the others

  # Guards against zones that all listen to one router, and that a dead one keeps silent.
  Scenario: The routers of two zones are paired evenly, and a silent one is passed over
    Given zones of 20, 30 and 10 routers
    Then no router is listened to by more than 3 routers of another zone
    And a router that hears nothing for 3 s listens to another one

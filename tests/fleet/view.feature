Feature: The fleet view follows the store and never goes back to older data

  Scenario: A configuration with a lower version is ignored
    Given a fleet view with configuration 7
    When configuration 5 arrives
    Then configuration 7 is in force

  Scenario: A target whose entry expired in a store outage is kept for a while
    Given a fleet view with a target
    When the target's entry expires during a store outage
    Then the target is still used
    And it is removed once its entry has stayed away

  Scenario: A target whose entry is deleted a second after an outage is removed at once
    Given a fleet view with a target
    When the target's entry is deleted a second after a store outage
    Then the target is not used

  Scenario: A target whose entry expired is used no longer than a draining one
    Given a fleet view with a target
    When the target's entry expires during a store outage
    And the drain bound has passed
    Then the target is not used

  # Guards against DRAIN: a draining target was used for half of the bound from the moment
  # at which the router heard of it, however late that was.
  Scenario Outline: A target found draining <age_s> s after the view was complete is used: <used>
    Given a fleet view with a target
    When the target is found draining <age_s> s after the view was complete
    Then the target may begin a path: <used>

    Examples:
      | age_s | used |
      | 0.0   | yes  |
      | 0.999 | yes  |
      | 1.0   | no   |
      | 1.001 | no   |
      | 20.0  | no   |

  Scenario: A target found draining by the first reading is not used
    Given a fleet view with a target
    When the target is found draining
    Then the target may begin a path: no

  Scenario: A target whose entry is deleted without an outage is removed at once
    Given a fleet view with a target
    When the target's entry is deleted
    Then the target is not used

  Scenario: Suspicions last longer each time until the target proves to be alive
    Given a fleet view with a target
    Then it is avoided for 4, 8 and 16 seconds in turn, and for 4 again once cleared

  Scenario Outline: A report in a store outage ends a suspicion of kind <kind>: <ends>
    Given a fleet view with a target
    When the target is suspected as <kind> during a store outage
    And the target gives a report
    Then the suspicion has ended: <ends>

    Examples:
      | kind     | ends |
      | silent   | yes  |
      | refusing | no   |
      | stalling | no   |

  Scenario: A target that restarts under the same id is not suspected
    Given a fleet view with a target
    When the target is suspected and restarts under the same id
    Then it is not suspected

  # Guards against routers that end, or stop following the store, at one odd entry (LOST).
  Scenario Outline: An entry with <fault> is ignored
    Given a fleet view that follows a store with one valid target
    When an entry with <fault> is written
    Then the valid target is known and the other is not
    And the store is still followed by the same watch

    Examples:
      | fault                     |
      | an invalid text encoding  |
      | a missing address         |
      | a numeric zone            |
      | an unknown state          |
      | an address without a port |
      | no content                |
      | a field nested 100,000 deep       |
      | a start of 400 digits             |
      | a layer of 400 digits             |
      | a layer below 0                   |
      | port 0                            |
      | port 65536                        |
      | a port of 5,000 digits            |
      | a host that is no IP address      |
      | an address with a line break      |
      | a lone surrogate                  |
      | a service that is a list          |
      | a megabyte in one field           |

  # Guards against the same at any entry that a router reads.
  Scenario: No content of any entry ends a router's watch or hides a valid target
    Given a router that is not started
    Then for any entries that it is told of, a valid target told next is known
    And every such entry may be followed by a choice of targets and by a log line

  # Guards against headers that an ID breaks in two.
  Scenario: A target whose ID can't stand in a header is ignored
    Given a fleet view that follows a store with one valid target
    When a valid entry is written for the IDs "a b", "a,b", "ä" and one with a line break
    Then the valid target is known and the other is not

  Scenario: After the store has dropped its history a deleted entry is noticed
    Given a fleet view that follows a store with one valid target
    When the target leaves and the store drops its history
    Then the target is not known

  Scenario Outline: A change is noticed although <trouble>
    Given a platform with one router and one target
    When <trouble>
    And a configuration and a target are written
    Then the router knows both

    Examples:
      | trouble                                     |
      | the responses to pending watches are lost   |
      | the store is silent while watches are pending |

  Scenario: An invalid configuration leaves the current one in force
    Given a fleet view that follows a store with one valid target
    When an invalid configuration is written
    Then the earlier configuration is in force

  Scenario: The last of many configurations is in force within the bound
    Given a fleet view that follows a store with one valid target
    When 20 configurations are written in quick succession
    Then the last one is in force within 1 second

  Scenario: All errors in a settings file are reported together
    Then a settings file with three errors is refused with all three named
    And a settings file with unknown fields is read

  Scenario Outline: Of many versions of a large configuration only a few are read
    Given a fleet view that follows a store with one valid target
    When 20 large configurations are written <when>
    Then the last of them comes into force and fewer than 15 were read

    Examples:
      | when                  |
      | during a store outage |
      | one every 50 ms       |

Feature: Beliefs follow the store and never go back

  Scenario: A lower version of the configuration is never taken
    Given beliefs with configuration 7
    When configuration 5 arrives
    Then configuration 7 is in force

  Scenario: Entries that lapsed during an outage are kept until they stay away
    Given beliefs with a target
    When the store was away and the target's entry is gone
    Then the target is still used
    And it is dropped once it stays away

  Scenario: An entry that goes a second after an outage is dropped at once
    Given beliefs with a target
    When the store has been back for a second and the target's entry is gone
    Then the target is not used

  Scenario: A target whose entry lapsed is used no longer than one that leaves
    Given beliefs with a target
    When the store was away and the target's entry is gone
    And the drain bound has passed
    Then the target is not used

  Scenario: An entry that goes while the store is well is dropped at once
    Given beliefs with a target
    When the target's entry is gone
    Then the target is not used

  Scenario: Each doubt without a sign of life lasts longer
    Given beliefs with a target
    Then it is avoided for 4, 8 and 16 seconds in turn, and for 4 again once trusted

  Scenario Outline: A report while the store is away ends a doubt of <doubt>: <ends>
    Given beliefs with a target
    When the store is away and the target is doubted as <doubt>
    And the target gives a report
    Then the doubt has ended: <ends>

    Examples:
      | doubt    | ends |
      | silent   | yes  |
      | refusing | no   |
      | stalling | no   |

  Scenario: A restart under the same identity begins without suspicion
    Given beliefs with a target
    When the target is suspected and starts again under the same identity
    Then it is not suspected

  Scenario Outline: An entry with <fault> names no target
    Given a followed store with one good target
    When an entry with <fault> is written
    Then the good target is known and the other is not

    Examples:
      | fault              |
      | bytes that are no text |
      | a missing address  |
      | a number as zone   |
      | an unknown state   |
      | an address without port |
      | nothing in it      |

  Scenario: History that is gone is read again, with what vanished
    Given a followed store with one good target
    When the target leaves while the history is forgotten
    Then the target is not known

  Scenario Outline: A change is noticed though <trouble>
    Given a platform with one router and one target
    When <trouble>
    And a configuration and a target are written
    Then the router believes in both

    Examples:
      | trouble                                       |
      | the answers of waiting watches are lost       |
      | the store is silent while watches wait        |

  Scenario: An unreadable configuration leaves the present one in force
    Given a followed store with one good target
    When an unreadable configuration is written
    Then the earlier configuration is in force

  Scenario: Changes are in force on every router within the bound
    Given a followed store with one good target
    When 20 configurations are written in quick succession
    Then the last one is in force within 1 second

  Scenario: Settings with mistakes are refused with all of them
    Then a settings file with three mistakes names all three
    And a settings file with unknown fields is read

  Scenario Outline: Of many versions of a large configuration only few are read
    Given a followed store with one good target
    When 20 large configurations are written <when>
    Then the last of them comes into force and fewer than 15 were read

    Examples:
      | when                         |
      | while the store is away      |
      | one every 50 ms              |

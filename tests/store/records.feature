Feature: One odd record of the store stops nobody, and large values arrive over slow links

  # Guards against agents that stop following the list of VMs at one odd record.
  Scenario Outline: A VM record with <fault> is left out of the platform's list
    Given a list of VMs in which one record has <fault>
    When an agent reads the list
    Then it knows the two other VMs

    Examples:
      | fault                |
      | port 0               |
      | port 65536           |
      | a port of 400 digits |
      | no zone              |
      | another type         |
      | an unknown state     |

  # Guards against zones whose settings are never confirmed again.
  Scenario Outline: A zone's watermark that holds <content> is left out and written anew
    Given a store in which one zone's watermark holds <content>
    When the watermarks are read
    Then those of the other zones are known
    And the zone's relay writes its own in its place

    Examples:
      | content                     |
      | nothing                     |
      | no UTF-8                    |
      | another type                |
      | a field nested 100,000 deep |

  Scenario Outline: Settings that hold <content> count as unreadable, and are asked for again
    Then a head and a snapshot that hold <content> fail as a call of the store does

    Examples:
      | content                     |
      | nothing                     |
      | no UTF-8                    |
      | another type                |
      | a field nested 100,000 deep |

  # Guards against a home that never opens its slot, and against one that opens it without
  # what a segment records, so that a request runs again.
  Scenario: A key that is no segment is left out, and a malformed segment isn't
    Given the log of a slot with two segments
    When a key that is no segment is written beside them
    Then the log is read with both
    When the second segment is overwritten with something else
    Then reading the log fails as a call of the store does

  # Guards against values that never arrive because they take longer than one call may wait.
  Scenario: A value that takes three times as long as a call may wait is read
    Given a store over a link on which 200 kB take 1.6 s
    When a value of 150 kB is read by its key, listed and watched, with a time limit of 0.5 s
    Then it arrives each time

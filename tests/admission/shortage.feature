Feature: Streams are held back only while targets are short of room

  # Guards against refusals by an estimate of the room that is too low, while targets take all.
  Scenario Outline: <refusals> refusals among <requests> requests <are> a shortage
    Given targets that refused <refusals> of <requests> requests within the last second
    Then there <is> a shortage

    Examples:
      | refusals | requests | are     | is    |
      | 3        | 100      | are not | isn't |
      | 4        | 8        | are not | isn't |
      | 30       | 100      | are     | is    |
      | 10       | 0        | are     | is    |

  # Guards against a gate that opens as soon as it works, so that the targets fill again.
  Scenario: A shortage lasts while requests are held back
    Given targets that refused 30 of 100 requests within the last second
    When targets refuse nothing for 12 s while requests are held back
    Then there is a shortage
    When targets refuse nothing for 12 s while requests are held back
    Then there isn't a shortage

  # Guards against requests that are held back long after a shortage.
  Scenario: A shortage ends as nothing is refused
    Given targets that refused 30 of 100 requests within the last second
    When targets refuse nothing for 6 s
    Then there isn't a shortage

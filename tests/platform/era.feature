Feature: The first return of the store from a copy is noticed, wherever its eras begin

  # Guards against DRAIN and CONFIG: entries of a store that came back were taken for older ones,
  # since a rise of the era from 0 was taken for the first header.
  Scenario Outline: Responses with the eras <eras> tell of <returns> returns
    Given a client of a store whose responses carry the eras <eras>
    When it makes one call for each
    Then it has noticed <returns> returns, and failed as many calls

    Examples:
      | eras            | returns |
      | 0 1             | 1       |
      | 0 0 1 1         | 1       |
      | 1 2             | 1       |
      | 7 8             | 1       |
      | none 0 1        | 1       |
      | none none 5 6 7 | 2       |
      | none 0          | 0       |
      | 5 none 5        | 0       |
      | 0 1 none 1 2    | 2       |

  # Guards against a router that one malformed header ends.
  Scenario: An era that is no number of a sensible length is ignored
    Given a client of a store whose responses carry the eras 0 -1 x 9999-digits 1
    When it makes one call for each
    Then it has noticed 1 returns, and failed as many calls

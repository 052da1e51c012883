Feature: Callers of routers without targets fare as others do, whatever share of a fleet is cut off

  # Guards against RECOVER: a router only asked the first four of its zone, all cut off as well, 0.000 served.
  Scenario Outline: Of <zones> zones of <in_zone> routers, <cut> cut off: a router that reaches targets is found
    Given drawn fleets of <zones> zones of <in_zone> routers, of which <cut> are cut off from all targets
    When each cut-off router is sent 1 and 10 requests a second
    Then from 1 second after the cut 9 in 10 requests find a router that reaches targets

    Examples:
      | zones | in_zone | cut                |
      | 3     | 2       | 0.5                |
      | 3     | 2       | 0.85               |
      | 3     | 2       | one zone           |
      | 3     | 2       | all but one router |
      | 4     | 15      | 0.5                |
      | 4     | 15      | 0.85               |
      | 4     | 15      | one zone           |
      | 4     | 15      | all zones but one  |
      | 4     | 15      | all but one router |
      | 11    | 7       | 0.85               |
      | 11    | 7       | one zone           |
      | 11    | 7       | all but one router |
      | 5     | 39      | 0.85               |
      | 5     | 39      | one zone           |
      | 5     | 39      | all zones but one  |
      | 5     | 39      | all but one router |
      | 7     | 300     | 0.5                |
      | 7     | 300     | 0.95               |
      | 21    | 100     | one zone           |
      | 1050  | 2       | all but one router |
      | 7     | 300     | one zone           |
      | 7     | 300     | all zones but one  |
      | 7     | 300     | all but one router |

  # Guards against RECOVER: a router that others took for one that reaches targets, or that asked others itself,
  # before it had noticed its own cut.
  Scenario Outline: Of <zones> zones of <in_zone> routers, <cut> cut off without a notice: a router that reaches targets is found
    Given drawn fleets of <zones> zones of <in_zone> routers, of which <cut> are cut off from all targets
    And each learns of its cut only by a request or a question
    When each cut-off router is sent 0.3 and 1 requests a second
    Then from 1 second after the cut 9 in 10 requests find a router that reaches targets

    Examples:
      | zones | in_zone | cut                |
      | 3     | 2       | all but one router |
      | 4     | 15      | 0.5                |
      | 4     | 15      | one zone           |
      | 11    | 7       | 0.85               |
      | 5     | 39      | all zones but one  |
      | 5     | 39      | all but one router |
      | 21    | 100     | 0.95               |
      | 21    | 100     | one zone           |

  # Guards against callers held back, and routers kept busy, by questions that nobody can answer.
  Scenario Outline: Of <zones> zones of <in_zone> routers, all cut off: requests are refused at once
    Given drawn fleets of <zones> zones of <in_zone> routers, of which all are cut off from all targets
    When each cut-off router is sent 1 and 10 requests a second
    Then from 1 second after the cut each is refused within 0.2 seconds
    And each router asks others at most 64 times a second

    Examples:
      | zones | in_zone |
      | 3     | 2       |
      | 5     | 39      |
      | 7     | 300     |

  # Guards against the load of all on the router that was found first.
  Scenario Outline: Of 4 zones of 15 routers, <cut> cut off: the others share what is forwarded
    Given drawn fleets of 4 zones of 15 routers, of which <cut> are cut off from all targets
    When each cut-off router is sent 10 and 20 requests a second
    Then no router takes more than 4 times its even share

    Examples:
      | cut               |
      | 0.5               |
      | 0.85              |
      | one zone          |
      | all zones but one |

  # Guards against requests that wait for routers which have ended and are still registered.
  Scenario: Routers that ended without a word are passed over
    Given drawn fleets of 4 zones of 15 routers, of which one zone are cut off from all targets
    And 20 of the others have ended without a word
    When each cut-off router is sent 1 and 10 requests a second
    Then from 1 second after the cut 9 in 10 requests find a router that reaches targets

  # Guards against requests that go from one known router to the next, all of which have lost their links since.
  Scenario Outline: Of 4 zones of 15 routers, <cut> cut off, then others: a router that reaches targets is found
    Given drawn fleets of 4 zones of 15 routers, of which <cut> are cut off from all targets
    And halfway the links of others are cut in their place
    When each cut-off router is sent 1 and 10 requests a second
    Then from 1 second after the cut 9 in 10 requests find a router that reaches targets

    Examples:
      | cut  |
      | 0.5  |
      | 0.85 |

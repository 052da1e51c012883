Feature: A target that sends without end holds no router, and not its memory

  # Guards against header lines behind the last chunk that were kept without bound: a router
  # passed 8 GB and answered nobody (review, case 8).
  Scenario Outline: A response with <bytes> without end is given up
    Given a connection on which <bytes> come without end
    When a response is read from it to its end
    Then the reading fails after at most 200000 bytes
    And the response has kept at most 100000 bytes

    Examples:
      | bytes                                |
      | header lines behind the last chunk   |
      | one header line behind the last chunk |
      | the extension of a chunk             |
      | digits of a chunk's size             |
      | header lines                         |
      | interim answers                      |

  # Guards against fields behind the last chunk that replace those of the head.
  Scenario: Fields behind the last chunk are no headers
    Given a connection on which a chunked answer with fields behind it comes
    When a response is read from it to its end
    Then its body is whole, and it has no field from behind it

  # Guards against a task whose socket always has bytes, so that no timeout expires and no
  # other task runs for as long as a target sends (review, cases 7 and 8).
  Scenario Outline: A timeout ends the reading of <bytes> without end, and others run meanwhile
    Given a connection on which <bytes> come without end
    When a response is read from it for 0.3 seconds
    Then the timeout ends the reading
    And no other task waits longer than 0.05 s of computing for its turn

    Examples:
      | bytes                   |
      | chunks of one byte      |
      | the same event          |
      | a body without a length |

  # Guards against answers that are held whole, however long, before their size is checked,
  # and against events without an end. The bound on a body is passed by what both sockets hold.
  Scenario Outline: <what> without an end, <framing>, is given up
    Given a process whose answer has no end, <framing>
    When <what> is asked for without an end
    Then it fails, and the process could send at most <size_mb> MB

    Examples:
      | what                                        | framing          | size_mb |
      | a repeatable call                           | without a length | 30      |
      | a call sent once                            | without a length | 30      |
      | an event of a stream                        | without a length | 5       |
      | a response, from a target or another router | without a length | 14      |
      | a response, from a target or another router | in chunks        | 14      |
      | a target's report                           | without a length | 10      |
      | a target's report                           | in chunks        | 10      |
      | the response to an order                    | in chunks        | 10      |
      | another router's report                     | in chunks        | 10      |
      | a list of the store                         | without a length | 75      |
      | a list of the store                         | in chunks        | 75      |
      | an entry of the store                       | in chunks        | 75      |
      | changes of 1 MB                             | in chunks        | 10      |
      | a key of the store                          | in chunks        | 75      |
      | a key of the agents' store                  | in chunks        | 75      |

  # Guards against a list that is read page by page for as long as its store names another one.
  Scenario Outline: A list of the store with <pages> without end is given up
    Given a store whose list has <pages> without end
    When a list of the store is asked for without an end
    Then it fails, and the process could send at most <size_mb> MB

    Examples:
      | pages         | size_mb |
      | the same page | 3       |
      | new pages     | 66      |

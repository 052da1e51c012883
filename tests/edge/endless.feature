Feature: A client that sends without end holds no listener

  # Guards against a task whose socket always has bytes, which never gives the event loop back
  # (review, case 9, and the trial with refused requests one behind the other).
  Scenario Outline: A client that sends <bytes> lets other connections be served
    Given a listener with a client that sends <bytes> all the time
    When other requests are sent to the listener
    Then no other task waits longer than 0.05 s of computing for its turn
    And each of them is answered

    Examples:
      | bytes                                            |
      | requests one behind the other                    |
      | a body in chunks of one byte                     |
      | header lines behind the last chunk of a body     |

  # Guards against header lines behind the last chunk of a body that are read without a bound:
  # 100 lines of 16 bytes are allowed, and what the listener's buffer takes ahead.
  Scenario: Header lines without end behind the last chunk of a body end the request
    Given a listener with a client that sends header lines behind the last chunk of a body all the time
    When the client has sent for its 2 seconds or was closed
    Then its connection was closed before that
    And the listener has read at most 16384 bytes of it

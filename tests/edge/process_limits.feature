Feature: No client ends a router process by memory or descriptors

  Background:
    Given a platform with targets for a crowd

  # Guards against heads that are checked only after all of their lines were read: 60
  # clients with 95 lines of 60,000 bytes raised a process from 27 to 363 MB.
  Scenario Outline: Heads over the limit don't exhaust the memory of a router
    Given a router process on a VM with 110 MB
    When 40 clients send <crowd> to its <listener> listener
    Then an ordinary request is answered
    And the process lives, within 110 MB

    Examples:
      | crowd                      | listener  |
      | long header lines          | callers   |
      | a request line without end | callers   |
      | empty lines without end    | callers   |
      | long header lines          | peers     |
      | long header lines          | metrics   |
      | long header lines          | readiness |

  # Guards against limits that hold only at the end of a head, which may never come.
  Scenario Outline: A head that is refused is refused before its end
    Given a router process on a VM with 110 MB
    When a client sends <head> and leaves the head open
    Then it gets status <status>
    And an ordinary request is answered

    Examples:
      | head                   | status |
      | 18900 bytes of headers | 431    |
      | 101 header lines       | 431    |
      | a long request line    | 431    |
      | 5 empty lines          | 400    |
      | half a request line    | 408    |
      | 1 empty line           | 408    |

  # Guards against a sum of bodies that ignores the memory of the VM, against a chunked body that
  # reserves its maximum at once, and against bodies that stop short and keep their memory.
  Scenario Outline: Large bodies that stop short leave memory for ordinary requests
    Given a router process on a VM with 110 MB
    When 40 clients send <crowd> to its <listener> listener
    Then an ordinary request is answered
    And an ordinary request with a chunked body is answered
    And the process lives, within 110 MB

    Examples:
      | crowd                                | listener |
      | bodies with a length that stop short | callers  |
      | chunked bodies that stop short       | callers  |

  # Guards against more connections than the VM has descriptors: 10,000 were allowed.
  Scenario: More connections than descriptors close silent ones and stop no listener
    Given a router process on a VM with 110 MB and 320 descriptors
    When 400 clients send nothing to its callers listener
    Then an ordinary request is answered
    And the process has at most 320 descriptors
    And the process is ready
    And the process lives, within 110 MB

  # Guards against requests that stop before their end and keep all connections until
  # their timeouts.
  Scenario: Small bodies that stop short don't keep all connections
    Given a router process on a VM with 110 MB and 320 descriptors
    When 120 clients send small bodies that stop short to its callers listener
    Then an ordinary request is answered
    And the process has at most 320 descriptors
    And the process lives, within 110 MB

  # Guards against a listener that ends when descriptors run out.
  Scenario: A listener accepts again once there are descriptors
    Given a listener whose next 3 accepts fail for lack of descriptors
    When a client connects to the listener and sends a request
    Then the listener answers it, and has counted 3 failures

  # Guards against connections that are closed although they run a request, or before others
  # that wait longer for less.
  Scenario: Connections that run no request are closed in order
    Then refused connections are closed before silent, idle and half-open ones
    And of two addresses the one with more connections is closed first

  # Guards against long answers that are held whole, twice, for each caller that reads slowly.
  Scenario Outline: Answers that many callers read slowly don't exhaust the memory
    Given a router process on a VM with 110 MB
    When <count> clients request <path> and read slowly
    Then an ordinary request is answered
    And the process lives, within 110 MB
    And no answer that was cut looks complete

    Examples:
      | count | path         |
      | 40    | /long/answer |
      | 40    | /draft/a     |
      | 150   | /draft/a     |

  # Guards against answers without a length or an end, which are read up to 4 MB each, and
  # against header lines behind the last chunk that were all kept (review, case 8).
  Scenario Outline: Answers of targets without end don't exhaust the memory
    Given a router process on a VM with 110 MB
    When 40 clients request <path> and read slowly
    Then an ordinary request is answered
    And the process lives, within 110 MB

    Examples:
      | path        |
      | /endless/a  |
      | /trailers/a |

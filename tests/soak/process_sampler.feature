Feature: The soak tells a router that waits for a CPU from one that is busy or blocked

  Scenario: The report has the longest wait for a CPU and its moment
    Given the kernel counts for process vm-1
      | waited_s | cpu_s | sleeping_in   |
      | 0.0      | 0.0   | do_epoll_wait |
      | 0.1      | 0.02  | do_epoll_wait |
      | 1.3      | 0.04  | 0             |
      | 1.3      | 0.24  | do_epoll_wait |
    Then its longest wait for a CPU is 1.2 s, in the window 2
    And its most CPU time is 0.2 s, in the window 3

  Scenario Outline: A process that <does> is <verdict>
    When a process that <does> is sampled
    Then its samples show that it is <verdict>

    Examples:
      | does                    | verdict |
      | computes                | busy    |
      | waits in its event loop | idle    |
      | sleeps in a system call | blocked |

  Scenario: A process that has ended keeps its windows
    Given the kernel counts for process vm-1
      | waited_s | cpu_s | sleeping_in   |
      | 0.0      | 0.0   | do_epoll_wait |
      | 0.1      | 0.02  | do_epoll_wait |
    When it has ended
    Then its longest wait for a CPU is 0.1 s, in the window 1

  Scenario: What a process did is told for the time of a request
    Given the kernel counts for process vm-1
      | waited_s | cpu_s | sleeping_in         |
      | 0.0      | 0.0   | do_epoll_wait       |
      | 0.5      | 0.02  | do_epoll_wait       |
      | 0.6      | 0.04  | balance_dirty_pages |
      | 0.6      | 0.24  | do_epoll_wait       |
    Then during the window 2 it waited 0.1 s, used 0.02 s and was blocked at 1 polls

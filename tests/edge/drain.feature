Feature: A router that is told to stop cuts no request that it need not have taken

  # Guards against LOST: streams that arrive 3 s after SIGTERM are taken and cut at the end.
  Scenario: Streams sent later than 3 seconds after the stop signal are not cut
    Given a router before drafts that last longer than its grace period
    And its event loop is busy
    When it is told to stop and drafts arrive every 2 ms around 3 seconds later
    Then none of those sent later than 3 seconds after the signal is cut
    And those that were refused have not run

  # Guards against LOST: moments that count from the handling of the signal.
  Scenario: Streams sent later than 3 seconds after a signal that is handled late are not cut
    Given a router before drafts that last longer than its grace period
    When it stands still for 1 s as it is told to stop
    And drafts arrive every 2 ms around 3 seconds after the signal
    Then none of those sent later than 3 seconds after the signal is cut

  # Guards against LOST: streams are admitted before their body, which may come late.
  Scenario: A stream whose body ends after the stop signal by more than 3 seconds is not cut
    Given a router before drafts that last longer than its grace period
    When it is told to stop and the body of a draft ends 3.2 seconds later
    Then that draft is refused and has not run

  # Guards against LOST: a body that still arrives as the router ends gets no answer.
  Scenario: A request whose body does not end is refused before the stop
    Given a router before lookups that are served
    When it is told to stop during the body of a hold that does not end
    Then that draft is refused and has not run

  # Guards against requests that end as an internal error when the router stops.
  Scenario Outline: A <kind> request that no target answers gets its answer before the stop
    Given a router before lookups that hang
    When it is told to stop and a <kind> request arrives <after_s> seconds later
    Then that request gets a complete answer

    Examples:
      | kind           | after_s |
      | idempotent     | 1.5     |
      | non_idempotent | 1.5     |
      | non_idempotent | 2.8     |

  # Guards against holds that a slow target leaves with an unknown outcome at the end.
  Scenario Outline: A <kind> request that leaves no time for a slow target is refused
    Given a router before lookups that hang
    When it is told to stop and a <kind> request comes 3.1 seconds later, 0.3 after its connection
    Then that request is refused and has not run

    Examples:
      | kind           |
      | idempotent     |
      | non_idempotent |

  # Guards against streams that end as an internal error when the router stops.
  Scenario: A stream that no target begins gets its answer before the stop
    Given a router before drafts that do not begin
    When it is told to stop and a draft arrives 1.0 seconds later
    Then that request gets a complete answer

  # Guards against LOST: a stream that cannot end before the stop is taken and cut.
  Scenario: A stream that would outlast the stop is refused at once, and a short one served
    Given a router that has served a draft of 50 events that was not resumable
    When it is told to stop and a draft of 2000 events arrives 0.5 seconds later
    Then that draft is refused and has not run
    When a draft of 50 events arrives 1.0 seconds after the signal
    Then that request is served

  # Guards against LOST: the same, where a refused caller comes to another router.
  Scenario: A resumable stream that would outlast the stop is refused after 2 seconds
    Given a router with a longer grace that has served a draft of 50 events
    When it is told to stop and a draft of 5000 events arrives 2.1 seconds later
    Then that draft is refused and has not run
    When a draft of 50 events arrives 2.2 seconds after the signal
    Then that request is served

  # Guards against refusals: a caller comes back to the same router until it gives up.
  Scenario: A resumable stream is taken while callers come back, and resumed elsewhere
    Given a router with a longer grace that has served a draft of 50 events
    When a draft is sent 1.5 seconds after it is told to stop and read to its end
    Then its events come in order until the last sixth of the grace period
    And another router goes on with the event after the last

  # Guards against LOST: a delay of the router that equals a bound for it, to a millisecond.
  Scenario Outline: A <kind> that arrives <after_s> s after the signal is <verdict>
    Given a shutdown with a grace period of 8 seconds
    Then a <kind> that may last <lasts_s> s and arrives <after_s> s after the signal is <verdict>

    Examples:
      | kind             | lasts_s | after_s | verdict |
      | stream           | 0.0     | 0.0     | taken   |
      | stream           | 0.0     | 2.499   | taken   |
      | stream           | 0.0     | 2.5     | refused |
      | stream           | 0.0     | 2.999   | refused |
      | stream           | 0.0     | 3.001   | refused |
      | stream           | 7.119   | 0.0     | taken   |
      | stream           | 7.121   | 0.0     | refused |
      | stream           | 4.7     | 2.4     | taken   |
      | stream           | 4.8     | 2.4     | refused |
      | resumable stream | 7.121   | 0.0     | taken   |
      | resumable stream | 7.121   | 1.999   | taken   |
      | resumable stream | 7.121   | 2.0     | refused |
      | resumable stream | 4.7     | 2.4     | taken   |
      | resumable stream | 4.8     | 2.4     | refused |
      | resumable stream | 0.0     | 2.5     | refused |
      | lookup           | 0.4     | 3.001   | taken   |
      | lookup           | 0.4     | 6.719   | taken   |
      | lookup           | 0.4     | 6.721   | refused |

  # Guards against LOST: a router that gets its signal late outlasts its grace period.
  Scenario Outline: A signal after <paused_s> s without CPU and <busy_s> s of work begins a schedule <late_s> s late
    Given a shutdown with a grace period of 8 seconds
    When the router gets its signal after <paused_s> s in which it was not run and <busy_s> s of its own work
    Then its schedule began <late_s> s before the signal was handled

    Examples:
      | paused_s | busy_s | late_s |
      | 0.0      | 0.0    | 0.0    |
      | 0.05     | 0.0    | 0.0    |
      | 0.3      | 0.0    | 0.0    |
      | 0.5      | 0.0    | 0.18   |
      | 1.5      | 0.0    | 1.18   |
      | 5.4      | 0.0    | 5.08   |
      | 0.0      | 1.5    | 0.0    |
      | 1.5      | 0.5    | 1.18   |

  # Guards against streams that are cut early by a stop that came after a pause, not in it.
  Scenario Outline: A signal that comes <after_s> s after a pause of 2 s begins a schedule at once
    Given a shutdown with a grace period of 8 seconds
    When the router runs for <after_s> s after 2 s in which it was not run and gets its signal then
    Then its schedule began 0.0 s before the signal was handled

    Examples:
      | after_s |
      | 0.06    |
      | 0.099   |
      | 0.11    |

  # Guards against LOST: the same, with a router that does not run as its signal comes.
  Scenario: A router that stands still as it is told to stop ends within its grace period
    Given a router before drafts that last longer than its grace period
    When it stands still for 1.5 s as it is told to stop, with a draft in progress
    Then it ends within its grace period

  # Guards against LOST: what ends with the router is excused in the last sixth only.
  Scenario Outline: With a grace of <grace_s> s requests are ended in its last sixth
    Given a shutdown with a grace period of <grace_s> seconds
    Then its last answers are given in the last sixth of the grace period, before its end

    Examples:
      | grace_s |
      | 2       |
      | 8       |
      | 30      |

  # Guards against requests that a router reads as it ends and leaves without an answer.
  Scenario: A request that arrives as idle connections are closed is answered
    Given a router before lookups that are served
    And an open connection to it
    When it is told to stop and a request arrives as idle connections are closed
    Then that request is answered in full

  # Guards against LOST: the listener is closed while connections wait to be accepted.
  Scenario Outline: Requests that come while a stopping router stands still <over> are refused
    Given a router before lookups that hang
    When it is told to stop, stands still until <until_s> s and requests arrive meanwhile
    Then each of them is refused and has not run

    Examples:
      | over                      | until_s |
      | as it stops to listen     | 3.1     |
      | as the last answers begin | 3.6     |
      | to the end                | 3.8     |

  # Guards against LOST: what a router has not read yet counts as no request.
  Scenario: A request on an open connection is answered as a router stands still at its end
    Given a router before lookups that are served
    When it is told to stop and stands still after its last answers, while a request arrives on an open connection
    Then that request is answered in full or refused

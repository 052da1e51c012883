Feature: Signals are handled in tasks of their own

  # Guards against LOST: moments that count from the handling of a late signal.
  Scenario: A stop signal that comes while the event loop is busy tells when it came
    Given a handler of timed stop signals
    When SIGTERM and SIGINT come and the event loop is busy for 0.3 s
    Then the handler is told of 2 signals that came at least 0.3 s before
    When SIGTERM and SIGINT come and the event loop is busy for 0.0 s
    Then the handler is told of 2 signals that came at least 0.0 s before

Feature: Reports and health checks reuse connections

  # Guards against a new connection for each report, which counts against the target's limit.
  Scenario: Calls in a row use one connection
    Given a target that answers each call on a connection
    When it is called 3 times
    Then each call is answered
    And the target saw 1 connection

  # Guards against a call that is lost, or answered wrongly, because a kept connection has gone bad.
  Scenario Outline: A call is answered although the target <fault> after the first one
    Given a target that <fault> after the first answer on a connection
    When it is called 2 times
    Then each call is answered
    And the target saw 2 connections

    Examples:
      | fault                             |
      | closes                            |
      | falls silent                      |
      | sends bytes that nobody asked for |
      | answers with a close              |

  # Guards against reuse in deployments that don't ask for it.
  Scenario: Each call opens a connection while reuse isn't in force
    Given a target that answers each call on a connection
    And connections aren't to be kept
    When it is called 2 times
    Then each call is answered
    And the target saw 2 connections

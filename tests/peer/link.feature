Feature: Processes of a fleet reach each other, and clients without its keys are refused

  Scenario Outline: A client with <keys> is <result>
    Given a peer server with the fleet's keys
    When a client sends a request with <keys>
    Then the client is <result>

    Examples:
      | keys             | result   |
      | the fleet's keys | answered |
      | other keys       | refused  |
      | no keys          | refused  |

  Scenario: Malformed and unexpected messages do not stop the server
    Given a peer server with the fleet's keys
    Then it survives malformed messages and refuses messages that are not requests

  Scenario: A connection that stopped delivering is replaced
    Given a peer server with the fleet's keys
    When it does not answer one call in time
    Then the next call is answered over a new connection

  # Guards against a probe that times out and loses a claim's reply in flight.
  Scenario: The timeout of a short call does not lose the reply to a longer one
    Given a peer server with the fleet's keys
    When a call times out while the reply to a longer one is on its way
    Then the longer call is answered, and the next one over a new connection
    And connections without calls are closed

  # Guards against calls that wait for their whole timeout as their peer stops.
  Scenario: A call in progress is refused when its peer stops
    Given a peer server with the fleet's keys
    When it stops while it answers a call that may take 5 seconds
    Then the call was refused within 1 second

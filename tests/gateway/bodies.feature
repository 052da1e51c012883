Feature: Bodies of the gateway's callers share a bounded memory

  # Guards against many bodies that stop just short of their end, without a limit on their sum.
  Scenario: Bodies that stop short make room for an ordinary request
    Given a gateway with memory for 100000 bytes of bodies
    When 30 callers send 19900 of 20000 bytes and stop
    Then at least 25 of them get 503, and at most 100000 bytes are held
    When the OpenAI client asks "assistant" for 5 tokens
    Then the response is the model's text of 5 tokens
    And the gateway's memory for bodies is free again

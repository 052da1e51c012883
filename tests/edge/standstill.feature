Feature: A router that did not run for a while does not blame others for it

  # Guards against streams that use up their attempts because their router stood still.
  Scenario Outline: A stream is not ended for silence while its router stood still <when>
    Given a platform with a model in parts in both zones
    And its targets begin a draft 0.25 s after they get it
    When a draft of <events> events is asked for and the router stands still for 1.4 s after <after_s> s
    Then the events 1 to <events> arrive once and in order
    And the request ran 1 times
    And no target is suspected

    Examples:
      | when                   | events | after_s |
      | before the first event | 50     | 0.1     |
      | between two events     | 50     | 0.4     |

  # Guards against callers that leave a silent stream before a slow router looks at it.
  Scenario Outline: A silent stream is noticed within 2 s where each turn of the loop takes <turn_s> s
    Given a monitor of a stream of which no event comes
    When each turn of the event loop takes <turn_s> s of work for 4 s
    Then the monitor noticed the silence within 2 s

    Examples:
      | turn_s |
      | 0.01   |
      | 0.15   |
      | 0.2    |

  # Guards against a sound target that is avoided by all since its router stood still.
  Scenario: A target that began a request after a stream was sent is not suspected after a standstill
    Given a monitor of a stream of which no event comes
    When its target begins another request, the router stands still for 1.4 s and 1.25 s pass
    Then the monitor suspects no target

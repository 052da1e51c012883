Feature: An answer whose status is none of HTTP is no answer

  # Guards against MIXED: callers got such an answer as their own, with 600 and 999, or waited
  # until their timeout as for the answer behind an interim one, with 000 and 099.
  Scenario Outline: An idempotent request that is answered with status <status> is run elsewhere
    Given a platform with lookups in both zones
    And the target of the own zone answers with status <status>
    When a idempotent request is sent, and timed
    Then the response is 200 and 1 targets ran the request
    And it came within 1 s

    Examples:
      | status |
      | 000    |
      | 099    |
      | 0      |
      | 20     |
      | 600    |
      | 999    |
      | 2000   |

  Scenario Outline: A non-idempotent request that is answered with status <status> may have run
    Given a platform with lookups in both zones
    And the target of the own zone answers with status <status>
    When a non_idempotent request is sent, and timed
    Then the response has the status 502
    And it came within 1 s

    Examples:
      | status |
      | 000    |
      | 099    |
      | 600    |
      | 999    |

  # Guards against the same for streams.
  Scenario Outline: A draft whose first target answers with status <status> is served elsewhere
    Given a platform with a model in parts in both zones
    And the first target of the own zone answers with status <status>
    When a draft of 10 events is asked for
    Then the events 1 to 10 arrive once and in order

    Examples:
      | status |
      | 000    |
      | 600    |
      | 999    |

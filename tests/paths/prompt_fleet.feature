Feature: Long prompts and short ones at targets that prefill and decode, in a model

  # Guards against requests of one size that are served worse as prompts are weighed.
  Scenario Outline: The thirds by prompt size at <routers> routers
    Given the model of one of three zones of a fleet of <routers> routers
    When it plays 200 requests each s, a tenth of them long, as before and with prompts weighed
    Then the times to the first event are printed by third of the prompt size
    And no third is more than a quarter later than before at the 95th percentile
    And the largest tenth is served as often as all, within the objective and without it

    Examples:
      | routers |
      | 6       |
      | 60      |
      | 300     |

  # Guards against short prompts that queue behind groups of long ones.
  Scenario: Short prompts begin no later where groups of long prompts are spread over time
    Given the model of one of three zones of a fleet of 6 routers
    When it plays 120 requests each s, a tenth of them long in groups of 8, without the wait and with it
    Then some long prompts wait
    And with the wait, the short thirds begin no later at the 99th percentile
    And at the 95th at most 5 % later

  # Guards against long prompts that starve where targets can't prefill all in time.
  Scenario: Long prompts are served like others where some first events are late
    Given the model of one of three zones of a fleet of 6 routers
    When it plays 400 requests each s, 4 of 10 of them long in groups of 8, with the wait
    Then some first events are late
    And the largest tenth is served as often as all, within the objective and without it

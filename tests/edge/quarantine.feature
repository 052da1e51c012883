Feature: Parts of prompts that crash targets are kept away from them

  # Guards against BUDGET: requests with one part of a prompt crashed target after target.
  Scenario: A part that crashes targets soon reaches no more of them
    Given 3 routers and 6 first targets a zone for drafts that share parts
    And each first target crashes on one of these parts and is back after 1 second
    When drafts come at 24 a second for 10 seconds, 1 in 6 of them with that part
    Then at most 3 requests with it arrive later than 3 seconds after the fifth crash
    And at least 90 in 100 of the sound drafts after that are served whole

  # Guards against BUDGET: the first event of another target counts as an answer begun.
  # Guards against BUDGET: two events of an answer clear its parts for good (review, case 1).
  Scenario Outline: A part that crashes targets after <events> of their events is found, too
    Given 3 routers and 6 first targets a zone for drafts that share parts
    And each first target crashes on one of these parts and is back after 1 second
    And each first target sends <events> events before it crashes
    When drafts come at 24 a second for 10 seconds, 1 in 6 of them with that part
    Then at most 3 requests with it arrive later than 3 seconds after the fifth crash
    And at least 90 in 100 of the sound drafts after that are served whole

    Examples:
      | events |
      | 1      |
      | 2      |
      | 4      |

  # Guards against BUDGET: the check before a send comes before the crash just seen counts.
  Scenario: A request that two targets crashed on is not sent to a third
    Given 1 routers and 6 first targets a zone for drafts that share parts
    And each first target crashes on one of these parts and is back after 30 second
    And a draft may be sent to 4 targets
    When a draft with that part is asked for
    Then it reached at most 2 targets

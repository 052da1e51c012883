Feature: A change is accepted exactly once, in one total order, and never reverted

  Scenario: Two operators change the same path concurrently
    Given a store with the test tree accepted
    When two operators change one path based on the same revision
    Then the second change is rejected with the author of the first

  Scenario: Concurrent changes of different paths are both accepted
    Given a store with the test tree accepted
    When two operators change different paths based on the same revision
    Then both are accepted with consecutive revisions

  Scenario Outline: A change is accepted exactly once despite <fault>
    Given a store with the test tree accepted
    When a change is proposed despite <fault>
    Then the history contains the change exactly once

    Examples:
      | fault                |
      | a lost answer        |
      | stale reads          |
      | a short outage       |
      | a rate limit         |

  Scenario Outline: A change that violates the rule on <rule> is rejected and changes nothing
    Given a store with the test tree accepted
    When an operator writes <path> with <text>
    Then the change is rejected with "<message>"
    And the contents of the store are unchanged

    Examples:
      | rule       | path                              | text                                         | message                    |
      | references | workspaces/desks/pipelines/plans  | model = smal ; version = v1                  | nearest known name: small  |
      | grants     | workspaces/desks/pipelines/plans  | model = small ; version = v1 ; request_class = urgent | not granted       |
      | limits     | workspaces/desks/pipelines/plans  | model = small ; version = v1 ; requests_per_s = 200000 | at most 100000   |
      | coverage   | workspaces/desks/pipelines/plans  | model = small ; version = v2                 | no target holds layer 0    |
      | options    | workspaces/desks/pipelines/plans  | modle = small ; version = v1                 | nearest known name: model  |
      | bounds     | targets/low-1                     | kind = engine ; zone = z ; address = x:1 ; concurrency = 0 | at least 1   |
      | paths      | workspaces/x                      | a = 1                                        | allowed: models/*          |

  Scenario: All errors in a tree are reported at once
    Then a tree with four errors reports all four

  Scenario: Old changes are compacted into snapshots, and a new reader gets the same tree
    Given a store with the test tree accepted
    When 150 changes are accepted from two concurrent writers
    Then a new reader gets the last text and the whole history
    And no value in the store exceeds its size limit

  Scenario: The revision of a replica never decreases, whatever it receives
    Then the replica state machine holds for every generated sequence

  Scenario: The watermark is never too high and never decreases
    Then the watermark property holds for all generated reports

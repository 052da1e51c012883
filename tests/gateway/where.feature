Feature: chervilstall-router says where a request would go now, and does nothing else

  Background:
    Given a router and stand-in targets

  # Guards against a question that takes a request's place: a reserved place at a target,
  # a probing request, a unit of a limit, a sample of the spill-over.
  Scenario Outline: A question changes no state of chervilstall-router
    Given the router <state>
    When chervilstall-router is asked for <question>
    Then the router's state is as before
    And a reservation for it changes the state

    Examples:
      | state                                       | question     |
      | has served nothing                          | a completion |
      | has served requests                         | a completion |
      | has served requests                         | a service    |
      | has an engine whose ejection has just ended | a completion |
      | has requests in its queue                   | a completion |

  # Guards against a description that drifts from the costs by which chains are chosen.
  Scenario: The first chain is the best that the router may draw
    Given the router has served requests
    When chervilstall-router is asked for a completion
    Then no chain drawn by the router is better than the first one, and some are as good
    And the components of each chain's cost add up to it

  Scenario: Engines that are not used are named with their reasons
    Given engines that are full, ejected and leaving
    When chervilstall-router is asked for a completion
    Then these engines are named with "full", "suspected" and "leaving"

  Scenario Outline: What becomes of a completion before it is sent
    Given the router <state>
    When chervilstall-router is asked for a completion
    Then the completion is <outcome>

    Examples:
      | state                     | outcome                        |
      | has served requests       | admitted                       |
      | has used up a limit       | refused with 429               |
      | has a full queue          | refused with 503               |
      | has requests in its queue | waits                          |
      | is stopping               | refused with 503               |

  Scenario Outline: The operators' tool asks chervilstall-router
    When the operators' tool asks "<arguments>"
    Then it ends with <code> and prints "<text>"

    Examples:
      | arguments                                                      | code | text                           |
      | /v1/completions --model drafts --workspace counters            | 0    | admitted: it is sent at once   |
      | /services/lookup/x --workspace counters                        | 0    | chosen path:                   |
      | /v1/completions --model none --workspace counters              | 6    | workspace counters has no model |
      | /services/none --workspace counters                            | 6    | has no service none            |
      | /none --workspace counters                                     | 6    | no request is routed           |
      | /v1/completions --model drafts                                 | 2    | path and workspace are needed  |
      | /v1/completions --workspace counters                           | 2    | model is needed                |
      | /v1/completions --model drafts --workspace counters --priority 1 | 2  | chervilstall-edge only         |

Feature: One router sends orders, and each order takes effect at most once

  Scenario: Empty targets get layers
    Given a platform with four empty model targets in a zone
    When a router starts
    Then the targets hold every layer

  Scenario: Only one of several routers plans
    Given a platform with four empty model targets in a zone
    When two routers start
    Then the targets hold every layer
    And each target began one order

  Scenario: An order that was carried out late is not sent twice
    Given a platform with four empty model targets in a zone
    And one target already began orders that no entry shows
    When a router starts
    Then every order named the count that its target had begun

  Scenario Outline: Planning goes on while the store <trouble>
    Given a platform with four empty model targets in a zone
    When a router starts
    Then the targets hold every layer
    When the store <trouble> and a target dies
    Then the remaining targets hold every layer again
    And requests are still served

    Examples:
      | trouble        |
      | returns errors |
      | is silent      |

  Scenario: A target that leaves while the store is silent is found by asking it
    Given a platform with four empty model targets in a zone
    When a router starts
    Then the targets hold every layer
    When the store is silent and a target leaves
    Then the router avoids it before any request
    And requests are still served

  Scenario: A planner that was paused sends no orders under a lost lease
    Given a planner that was paused while another router took its lease
    Then it sends no order

  Scenario: A planner goes on while the renewal of its lease is unanswered
    Given a planner whose lease expires while its renewal is pending
    Then it may send orders

  Scenario: A suspicion by a router of another zone causes no orders
    Given a platform with four empty model targets in a zone
    When a router starts
    Then the targets hold every layer
    When a router of another zone suspects a healthy target
    Then no further order is sent

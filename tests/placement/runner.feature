Feature: One router gives orders, and each takes effect at most once

  Scenario: An empty fleet is placed
    Given a platform with four empty model targets in a zone
    When a router starts
    Then the targets cover every layer

  Scenario: Of several routers one plans
    Given a platform with four empty model targets in a zone
    When two routers start
    Then the targets cover every layer
    And each target began one order

  Scenario: An order that was carried out late is not given twice
    Given a platform with four empty model targets in a zone
    And one target already began an order that no entry shows
    When a router starts
    Then every order named the count that its target had begun

  Scenario Outline: Planning goes on while the store <trouble>
    Given a platform with four empty model targets in a zone
    When a router starts
    Then the targets cover every layer
    When the store <trouble> and a target dies
    Then the remaining targets cover every layer again
    And requests are still served

    Examples:
      | trouble        |
      | answers nobody |
      | is silent      |

  Scenario: A target that leaves while the store is silent is found by asking it
    Given a platform with four empty model targets in a zone
    When a router starts
    Then the targets cover every layer
    When the store is silent and a target leaves
    Then the router avoids it before any request
    And requests are still served

  Scenario: A paused holder does not act when it wakes
    Given a planner whose lease another router has taken meanwhile
    Then it gives no order

  Scenario: A holder whose renewal still waits for an answer goes on
    Given a planner whose renewal waits while its lease runs out
    Then it may give orders

  Scenario: A suspicion from another zone alone moves nothing
    Given a platform with four empty model targets in a zone
    When a router starts
    Then the targets cover every layer
    When a router of another zone suspects a healthy target
    Then no further order is given

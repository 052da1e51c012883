Feature: What is meant for a target reaches that target or none

  # Guards against ROUTE and LIMIT: an order for a target that had crashed was carried out by
  # another one that had its address by then.
  Scenario: An order is not carried out by another target at the same address
    Given a platform with four empty model targets in a zone
    And the address of "m2" belongs to another target by now
    When a router starts
    Then the remaining targets hold every layer without "m2"
    And the other target was ordered nothing

  Scenario Outline: Every <path> call that is made as <event> names its target
    Given a platform with a model in parts in both zones
    When <event>
    Then <path> calls are made, and each names the target that it is meant for

    Examples:
      | event                             | path                 |
      | the store is silent for a while   | /chervilstall/report |
      | the store is silent for a while   | /healthz             |
      | the router examines its links     | /chervilstall/report |
      | the other zone is probed          | /chervilstall/report |
      | a target is suspected             | /chervilstall/report |
      | the pace of a target is asked for | /chervilstall/report |

  Scenario: An order that gives a stream another path names its target
    Given a platform with a model in parts in both zones
    And a second copy of the last part in the own zone
    And the first target stalls on the last part after 4 events
    When a draft of 10 events is asked for
    Then /chervilstall/order calls are made, and each names the target that it is meant for
    And /chervilstall/report calls are made, and each names the target that it is meant for

  # Guards against a target that is planned with although another one has its address.
  Scenario: A suspected target whose address belongs to another one counts as dead, not as silent
    Given a platform with a model in parts in both zones
    And the router plans from now on
    And the address of the first target of the own zone belongs to another target by now
    When that target is suspected
    Then the planner takes it for dead
    And no link was examined because of silence

  # Guards against links that are taken for lost, as no target has its address any more.
  Scenario: Links to addresses that belong to other targets work
    Given a platform with a model in parts in both zones
    And the addresses of all targets belong to other targets by now
    When the router examines its links
    Then the model is within reach

  # Guards against UNASKED and TWICE: a target ran a request that was meant for another router.
  Scenario: A request for a router whose address belongs to a target by now runs nowhere
    Given 4 routers with links of their own to targets of lookups and drafts
    And 1 of them are cut off from all targets, so that connections hang
    And it has noticed that
    And the addresses of the other routers belong to targets of lookups by now
    When 1 lookup is sent to the cut-off router, and is not served
    Then no target ran anything

  # Guards against DRAIN: without the store, what a target says in its report was not taken up.
  Scenario: A target that says in its report that it leaves is left while the store is silent
    Given a platform with a model in parts in both zones
    And the first target of the own zone says in its answers that it leaves
    When the store is silent for a while
    Then the router takes that target for leaving

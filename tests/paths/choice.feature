Feature: Paths run every layer once, over the targets with the lowest cost

  Scenario: Paths in random fleets run every layer exactly once
    Then in 200 random fleets a path runs every layer once or none exists

  Scenario: A path stays in the router's zone
    Given a copy of the model in each of two zones
    Then the path stays in the router's zone

  Scenario Outline: A target that <state> is avoided
    Given a copy of the model in each of two zones and a spare target
    When the target "b" <state>
    Then the path uses "c" instead

    Examples:
      | state                 |
      | is suspected          |
      | prefills 100 prompts  |
      | had no room           |
      | is slow               |
      | is draining           |
      | is excluded           |

  Scenario: Without a complete copy in the router's zone the path uses another zone
    Given a copy of the model in each of two zones
    When the target "b" is suspected
    Then the path stays in the other zone

  Scenario: A draining target begins paths only for a share of the drain bound
    Given a copy of the model in the router's zone only
    When the target "a" is draining
    Then a path exists now and none after the bound

  Scenario: A draining target is not used for a later stage, which it would refuse
    Given a copy of the model in the router's zone only
    When the target "b" is draining
    Then no path exists

  Scenario: The path search in a large fleet is bounded
    Then a path over 98 targets takes fewer than 30,000 search nodes

  Scenario: The routers of a zone do not together overfill its fastest target
    Given a fast target and a slow copy of the model, and 60 routers in 4 zones
    When this router begins its share of twice the requests that the fast target holds
    Then no more than its share of what the fast target holds goes there

  # Guards against a search of each zone by itself that misses a cheaper path over zones.
  Scenario: The cheapest path is found although each zone is searched by itself
    Given 60 fleets over three zones, drawn at random
    When half of the targets of the router's zone are avoided
    Then each path costs as much as the cheapest one over all targets

  # Guards against a search over all zones for each request that its own zone can't take.
  Scenario: No search is over all zones while a path inside one is cheap enough
    Given 60 fleets over three zones, drawn at random
    When half of the targets of the router's zone are avoided
    Then only paths that cost more than a change of zones needed a search over all targets

Feature: The description of a choice agrees with the choice

  # Guards against an explanation that drifts from the costs by which paths are chosen.
  Scenario: The parts of a path's cost add up to the cost that the search found
    Then in 200 random fleets the parts add up to the cost of the search

  Scenario: No path is cheaper than the named ones
    Then in 100 random fleets the named paths are the cheapest of all sets of targets

  Scenario: The number of searches is bounded
    Then 8 targets for each of 8 layers take at most 25 searches

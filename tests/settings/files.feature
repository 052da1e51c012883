Feature: Settings files, program help and generated documents

  Scenario: All errors of a file are reported, each with place and allowed values
    Then a router file with five mistakes reports all five

  Scenario Outline: <program> validates its settings file and shows complete help
    Then <program> exits 0 for --help and names its exit codes
    And <program> exits 3 for a bad file

    Examples:
      | program |
      | router  |
      | agent   |
      | planner |
      | standin |

  Scenario: Every error kind has a response that states whether the request ran
    Then the table of answers is complete

  Scenario: The reference page and the fault matrix are up to date
    Then the committed reference page is the generated one
    And the committed matrix is the one that the table gives

  Scenario: All doctests pass
    Then every doctest passes

  Scenario: The stores in memory and over HTTP meet the store contract
    Then the store contract holds for each implementation

  Scenario: Separate processes serve requests end to end
    Given a store, three agents and a router as processes
    When a tree is loaded with the operators' tool
    Then a hold and a streamed draft are answered, and a change is in force

  # Guards against LOST: SIGHUP ended the product's programs at once, with their requests.
  Scenario: SIGHUP does not end the product's programs
    Given a store, three agents and a router as processes
    When each agent and the router receive SIGHUP
    Then all of them are still running

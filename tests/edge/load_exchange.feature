Feature: The routers of a zone tell each other their load on real connections

  Scenario: Each router knows the load that the others put on a target
    Given a platform with 3 routers that exchange load
    When a router has 4 requests in flight at a target
    Then the others count 4 requests there within 3 s
    And none of them reports load of its own
    And the metrics of the routers name 2 reporting routers

  Scenario: Each router knows what the callers of the others ask for
    Given a platform with 2 routers that exchange load
    When callers ask one router for 10 streams a second
    Then the other one knows of 5 to 15 requests of that priority and workspace

  Scenario: Each router knows the load that the routers of another zone put on a target
    Given a platform with 2 routers in each of two zones that exchange load
    When a router has 4 requests in flight at a target
    Then the others count 4 requests there within 5 s
    And none of them reports load of its own

  # Guards against an exchange in deployments that don't rank their routes.
  Scenario: Routers whose configuration ranks no routes exchange nothing
    Given a platform with 2 routers whose options are the defaults
    Then they neither bind a port for load nor load the transport for it within 1.5 s

  # Guards against an exchange that begins or ends only with a restart.
  Scenario: The exchange follows the configuration
    Given a platform with 2 routers that exchange load while routes are ranked
    When the configuration ranks the routes of a model
    Then 1 router reports to each within 5 s
    When the configuration ranks no routes
    Then 0 routers report to each within 5 s

  # Guards against load that stays counted after its router is gone.
  Scenario: The load of a router that ends is not counted any more
    Given a platform with 3 routers that exchange load
    And a router has 4 requests in flight at a target
    And the others count 4 requests there within 3 s
    When the router that has the requests ends
    Then the others count 0 requests there within 2.5 s

  # Guards against one odd message, or many, that end the exchange.
  Scenario: Routers go on exchanging load after odd messages
    Given a platform with 3 routers that exchange load
    When odd messages come from the address of a neighbour
    Then these messages are counted as dropped, with a line in the log
    And a router's 4 requests in flight are counted by the others within 3 s

  # Guards against a router that doesn't start because one port is taken.
  Scenario: A router whose port for load is taken serves without the exchange
    Given a platform with a router whose port for load is taken
    Then it is ready and exchanges nothing

Feature: Fault matrix, part 3

  Scenario Outline: <fault> at <step>
    Given agents in three zones, targets and a router
    When <fault> at step <step>
    Then the guarantees hold for the request and its retry
    And a later request succeeds

    Examples:
      | fault | step |
      | a stage is killed | connect |
      | a stage is killed | mid-stream |
      | links are slow | admit |
      | links are slow | accepted |
      | links are slow | outcome write |
      | a connection is closed | connect |
      | a connection is closed | mid-stream |
      | the store is down | admit |
      | the store is down | accepted |
      | the store is down | outcome write |
      | the store is slow | connect |
      | the store is slow | mid-stream |
      | the store limits the call rate | admit |
      | the store limits the call rate | accepted |
      | the store limits the call rate | outcome write |
      | store responses are lost | connect |
      | store responses are lost | mid-stream |
      | store reads are stale | admit |
      | store reads are stale | accepted |
      | store reads are stale | outcome write |
      | leases expire | connect |
      | leases expire | mid-stream |
      | the router is killed | admit |
      | the router is killed | accepted |
      | the router is killed | outcome write |
      | the agent is killed | connect |
      | the agent is killed | mid-stream |
      | a slot home is killed | admit |
      | a slot home is killed | accepted |
      | a slot home is killed | outcome write |
      | a connection is silent | connect |
      | a connection is silent | mid-stream |
      | the zone is partitioned from the platform | admit |
      | the zone is partitioned from the platform | accepted |
      | the zone is partitioned from the platform | outcome write |
      | the zone is partitioned from other zones | connect |
      | the zone is partitioned from other zones | mid-stream |
      | the zone is partitioned from both | admit |
      | the zone is partitioned from both | accepted |
      | the zone is partitioned from both | outcome write |
      | the VM list is stale | connect |
      | the VM list is stale | mid-stream |
      | a target drains | admit |
      | a target drains | accepted |
      | a target drains | outcome write |
      | the caller disconnects | connect |
      | the caller disconnects | mid-stream |

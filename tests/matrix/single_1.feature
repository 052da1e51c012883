Feature: Fault matrix, part 1

  Scenario Outline: <fault> at <step>
    Given agents in three zones, targets and a router
    When <fault> at step <step>
    Then the guarantees hold for the request and its retry
    And a later request succeeds

    Examples:
      | fault | step |
      | a stage is killed | admit |
      | a stage is killed | accepted |
      | a stage is killed | outcome write |
      | links are slow | connect |
      | links are slow | mid-stream |
      | a connection is closed | admit |
      | a connection is closed | accepted |
      | a connection is closed | outcome write |
      | the store is down | connect |
      | the store is down | mid-stream |
      | the store is slow | admit |
      | the store is slow | accepted |
      | the store is slow | outcome write |
      | the store limits the call rate | connect |
      | the store limits the call rate | mid-stream |
      | store responses are lost | admit |
      | store responses are lost | accepted |
      | store responses are lost | outcome write |
      | store reads are stale | connect |
      | store reads are stale | mid-stream |
      | leases expire | admit |
      | leases expire | accepted |
      | leases expire | outcome write |
      | the router is killed | connect |
      | the router is killed | mid-stream |
      | the agent is killed | admit |
      | the agent is killed | accepted |
      | the agent is killed | outcome write |
      | a slot home is killed | connect |
      | a slot home is killed | mid-stream |
      | a connection is silent | admit |
      | a connection is silent | accepted |
      | a connection is silent | outcome write |
      | the zone is partitioned from the platform | connect |
      | the zone is partitioned from the platform | mid-stream |
      | the zone is partitioned from other zones | admit |
      | the zone is partitioned from other zones | accepted |
      | the zone is partitioned from other zones | outcome write |
      | the zone is partitioned from both | connect |
      | the zone is partitioned from both | mid-stream |
      | the VM list is stale | admit |
      | the VM list is stale | accepted |
      | the VM list is stale | outcome write |
      | a target drains | connect |
      | a target drains | mid-stream |
      | the caller disconnects | admit |
      | the caller disconnects | accepted |
      | the caller disconnects | outcome write |

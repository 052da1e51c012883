Feature: Fault matrix, pairs

  Scenario Outline: <fault> at <step>
    Given agents in three zones, targets and a router
    When <fault> at step <step>
    Then the guarantees hold for the request and its retry
    And a later request succeeds

    Examples:
      | fault | step |
      | the store is slow and links are slow | connect |
      | the router is killed and leases expire | accepted |
      | a connection is closed and a target drains | first token |
      | the store is slow and a connection is closed | outcome write |
      | the zone is partitioned from the platform and the zone is partitioned from other zones | connect |
      | the zone is partitioned from the platform and the router is killed | connect |
      | a target drains and leases expire | outcome write |
      | the zone is partitioned from other zones and the VM list is stale | connect |
      | a connection is silent and links are slow | mid-stream |
      | the VM list is stale and the zone is partitioned from other zones | admit |
      | the zone is partitioned from other zones and a stage is killed | response |
      | the zone is partitioned from other zones and the store limits the call rate | accepted |
      | the router is killed and leases expire | accepted |
      | the agent is killed and leases expire | mid-stream |
      | a connection is closed and the store is down | mid-stream |
      | the store limits the call rate and the store is down | accepted |
      | a connection is closed and the agent is killed | connect |
      | the router is killed and the caller disconnects | response |
      | the zone is partitioned from other zones and links are slow | claim |
      | the caller disconnects and a stage is killed | last token |
      | the zone is partitioned from the platform and the store is down | claim |
      | a stage is killed and store reads are stale | response |
      | a connection is silent and the zone is partitioned from both | connect |
      | store reads are stale and the zone is partitioned from the platform | mid-stream |

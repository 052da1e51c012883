Feature: Fault matrix, part 4

  Scenario Outline: <fault> at <step>
    Given agents in three zones, targets and a router
    When <fault> at step <step>
    Then the guarantees hold for the request and its retry
    And a later request succeeds

    Examples:
      | fault | step |
      | a stage is killed | send |
      | a stage is killed | last token |
      | links are slow | claim |
      | links are slow | first token |
      | links are slow | response |
      | a connection is closed | send |
      | a connection is closed | last token |
      | the store is down | claim |
      | the store is down | first token |
      | the store is down | response |
      | the store is slow | send |
      | the store is slow | last token |
      | the store limits the call rate | claim |
      | the store limits the call rate | first token |
      | the store limits the call rate | response |
      | store responses are lost | send |
      | store responses are lost | last token |
      | store reads are stale | claim |
      | store reads are stale | first token |
      | store reads are stale | response |
      | leases expire | send |
      | leases expire | last token |
      | the router is killed | claim |
      | the router is killed | first token |
      | the router is killed | response |
      | the agent is killed | send |
      | the agent is killed | last token |
      | a slot home is killed | claim |
      | a slot home is killed | first token |
      | a slot home is killed | response |
      | a connection is silent | send |
      | a connection is silent | last token |
      | the zone is partitioned from the platform | claim |
      | the zone is partitioned from the platform | first token |
      | the zone is partitioned from the platform | response |
      | the zone is partitioned from other zones | send |
      | the zone is partitioned from other zones | last token |
      | the zone is partitioned from both | claim |
      | the zone is partitioned from both | first token |
      | the zone is partitioned from both | response |
      | the VM list is stale | send |
      | the VM list is stale | last token |
      | a target drains | claim |
      | a target drains | first token |
      | a target drains | response |
      | the caller disconnects | send |
      | the caller disconnects | last token |

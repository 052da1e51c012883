Feature: Fault matrix, part 2

  Scenario Outline: <fault> at <step>
    Given agents in three zones, targets and a router
    When <fault> at step <step>
    Then the guarantees hold for the request and its retry
    And a later request succeeds

    Examples:
      | fault | step |
      | a stage is killed | claim |
      | a stage is killed | first token |
      | a stage is killed | response |
      | links are slow | send |
      | links are slow | last token |
      | a connection is closed | claim |
      | a connection is closed | first token |
      | a connection is closed | response |
      | the store is down | send |
      | the store is down | last token |
      | the store is slow | claim |
      | the store is slow | first token |
      | the store is slow | response |
      | the store limits the call rate | send |
      | the store limits the call rate | last token |
      | store responses are lost | claim |
      | store responses are lost | first token |
      | store responses are lost | response |
      | store reads are stale | send |
      | store reads are stale | last token |
      | leases expire | claim |
      | leases expire | first token |
      | leases expire | response |
      | the router is killed | send |
      | the router is killed | last token |
      | the agent is killed | claim |
      | the agent is killed | first token |
      | the agent is killed | response |
      | a slot home is killed | send |
      | a slot home is killed | last token |
      | a connection is silent | claim |
      | a connection is silent | first token |
      | a connection is silent | response |
      | the zone is partitioned from the platform | send |
      | the zone is partitioned from the platform | last token |
      | the zone is partitioned from other zones | claim |
      | the zone is partitioned from other zones | first token |
      | the zone is partitioned from other zones | response |
      | the zone is partitioned from both | send |
      | the zone is partitioned from both | last token |
      | the VM list is stale | claim |
      | the VM list is stale | first token |
      | the VM list is stale | response |
      | a target drains | send |
      | a target drains | last token |
      | the caller disconnects | claim |
      | the caller disconnects | first token |
      | the caller disconnects | response |

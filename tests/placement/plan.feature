Feature: Layers are placed so that a zone survives the loss of any target

  Scenario: Each zone that has the memory covers the model by itself
    Given three zones of mixed targets
    When the plan is carried out
    Then each zone covers every layer
    And no target holds more than its memory

  Scenario: The loss of any one target is made good within its zone
    Given three zones of mixed targets
    When the plan is carried out
    Then after the loss of any one target its zone covers every layer again

  Scenario: A zone with ample memory covers the model twice
    Given a zone with the memory for two covers
    When the plan is carried out
    Then after the loss of any one target every layer is still held
    And every target has room for 48 requests

  Scenario: Nothing moves without a cause
    Given three zones of mixed targets
    When the plan is carried out
    Then another plan changes nothing

  Scenario: A new empty target becomes a second copy and moves no other
    Given three zones of mixed targets
    When the plan is carried out
    And an empty target joins
    Then only the new target gets an order

  Scenario: Zones that cannot cover the model join
    Given two zones with half of the memory that the model needs
    When the plan is carried out
    Then both zones together cover every layer

  Scenario: A cover that repairs left tight is laid out anew without a missing layer
    Given a zone whose targets are filled unevenly
    When plans are carried out until nothing changes
    Then no layer was ever missing
    And every target has the planned room for requests

  Scenario: Any fleet and any losses keep within memory
    Then for 60 drawn fleets and losses no order exceeds a target's memory

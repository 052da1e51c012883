Feature: Selected chains tile the model, and selection is bounded and stable

  Scenario Outline: Property of routing: <property>
    Then the routing property "<property>" holds

    Examples:
      | property                                            |
      | every planned chain tiles the layers exactly        |
      | no class or link is planned above its capacity      |
      | every selected chain tiles the layers exactly       |
      | subsets are stable when a target is removed         |
      | ejection never exceeds its share                    |
      | the affinity index stays bounded and detects gaps   |
      | spill-over does not switch on small fluctuations    |

  Scenario: The subsets of many routers spread over the targets evenly
    Then 300 routers with subsets of 20 of 87 targets load none above 1.3 of the mean

  Scenario: Bounded classes keep a choice well under 100 microseconds with 7,300 targets
    Then a plan over 7,300 targets is solved from a bounded number of classes

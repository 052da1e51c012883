Feature: Admission enforces fleet-wide limits and retry budgets, without starvation

  Scenario Outline: Property of admission: <property>
    Then the admission property "<property>" holds

    Examples:
      | property                                               |
      | shares never exceed the limit, even if grants are lost |
      | retries never exceed the budget                        |
      | a rate share never admits more than its amount         |
      | max-min shares are fair and within capacity            |

  Scenario: One large workspace does not starve nine small ones
    When one workspace queues 200 requests and nine queue 10 each
    Then the first 30 requests started serve every workspace 3 times

  Scenario: Urgent requests overtake drafts, and drafts keep their reserved part
    Then urgent requests start before waiting drafts, and a draft starts under load

  Scenario Outline: A request that cannot be admitted fails immediately: <case>
    Then the queue refuses a request with <case> as "<kind>" without waiting

    Examples:
      | case                        | kind             |
      | a full queue                | overloaded       |
      | a wait beyond its deadline  | deadline_not_run |

  Scenario: The loss of all engines causes no retry storm
    Given a router and stand-in targets
    When every engine dies and 100 requests are sent
    Then retries stay within the budget, and every answer says that nothing ran

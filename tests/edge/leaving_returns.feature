Feature: A target that has said that it leaves gets nothing more, whatever becomes of its entry

  # Guards against DRAIN (review, case 5): over sockets, the orders in which the entry of a target
  # may expire and come back around its answer. `tests/fleet/statements` has the decision alone.
  Scenario Outline: No <kind> reaches a target that leaves, although <event>
    Given a platform on which a target of <kind>s says in its answers that it leaves
    When <kind>s are sent all the time and <event>
    Then no <kind> reached it later than the drain bound after the first answer that said so

    Examples:
      | kind   | event                                                                |
      | lookup | its entry expires, comes back and then drains                        |
      | lookup | its entry expires and comes back for good                            |
      | lookup | its entry expires just before its answer ends and comes back         |
      | lookup | its entry expires just after its answer ends and comes back          |
      | lookup | its answers break off, and its entry expires and comes back          |
      | lookup | its entry expires and comes back while all entries are read anew     |
      | lookup | its entry expires and comes back while the store is silent           |
      | lookup | its entry expires and the store comes back from a copy that has it   |
      | lookup | its entry comes back without its start                               |
      | draft  | its entry expires, comes back and then drains                        |
      | draft  | its entry expires and comes back for good                            |
      | draft  | its entry expires just before its answer ends and comes back         |
      | draft  | its answers break off, and its entry expires and comes back          |
      | draft  | its entry expires and comes back while all entries are read anew     |
      | draft  | its entry expires and the store comes back from a copy that has it   |
      | draft  | its entry comes back without its start                               |

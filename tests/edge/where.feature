Feature: A router says where a request would go now, and does nothing else

  Background:
    Given a router that knows two copies of a model in its zone and one in another
    And a plain service with three targets

  # Guards against a question that takes a request's place: a draw of the random
  # generator, a count, a place in a queue, a dropped report or a rate limit's token.
  Scenario Outline: A question changes no state of the router
    Given <state>
    When it is asked for <question>
    Then its state is as before
    And the real decision for the same request changes it

    Examples:
      | state                                              | question            |
      | nothing else                                       | a stream            |
      | nothing else                                       | a plain request     |
      | reports of other routers, one of them overdue      | a stream            |
      | a pause that has ended and a limit with old sends  | a stream            |
      | a pause that has ended and a limit with old sends  | a plain request     |
      | streams that fill the room                         | a stream            |
      | streams that fill the room and one that waits      | a stream            |
      | streams that fill the room and targets that refuse others | a stream     |

  # Guards against an answer that isn't what a request would get.
  Scenario: The first path is the one that a request without a random part would take
    Given reports of other routers, one of them overdue
    When it is asked for a stream
    Then 4 paths are named, the first one as the real choice makes it
    And the parts of each cost add up to it, and the paths after the first are in order

  Scenario: Targets that are not used are named with their reasons
    Given targets of the model that can't be used, one for each reason
    When it is asked for a stream
    Then the excluded targets are
      | target    | reason      | scope        |
      | cut       | unreachable | all          |
      | draining  | leaving     | later stages |
      | empty     | no layers   | all          |
      | gone      | leaving     | all          |
      | limited   | rate limit  | first stage  |
      | paused    | rate limit  | first stage  |
      | refusing  | full        | costs more   |
      | silent    | suspected   | all          |

  Scenario: An answer is bounded
    Given 70 more targets that are suspected
    When it is asked for a stream
    Then 50 excluded targets are named and 20 are counted

  Scenario Outline: What becomes of a request before it is sent
    Given <state>
    When it is asked for a stream
    Then the request is <outcome>, as the real one is

    Examples:
      | state                                        | outcome                  |
      | nothing else                                 | admitted                 |
      | streams that fill the room                   | refused with OVERLOADED  |
      | streams that fill the room and end soon      | waits                    |
      | a model without its last layers              | refused with NO_TARGET   |

  Scenario Outline: A request that is refused without a look at targets
    Given <state>
    When it is asked for a stream
    Then the request is refused with status 503 because of "<reason>"

    Examples:
      | state                       | reason             |
      | a part under quarantine     | quarantine         |
      | a stop in progress          | the router is stopping |
      | no free descriptor          | descriptor         |

  Scenario: The layers that are missing are named
    Given a model without its last layers
    When it is asked for a stream
    Then a note says "No usable target holds these layers: 4..8."

  Scenario Outline: A question that can't be answered gets a clear error
    When it is asked "<query>"
    Then the status is <status> and the error says "<error>"

    Examples:
      | query                                                   | status | error                     |
      | host=counter.example&path=/none/                        | 404    | no route matches          |
      | host=counter.example&path=/draft/x&workspace=nobody     | 404    | there is no workspace     |
      | host=counter.example&path=/draft/x&prompt_tokens=-1     | 400    | prompt_tokens             |
      | host=counter.example&path=/draft/x&prompt_tokens=1e9    | 400    | prompt_tokens             |
      | host=counter.example&path=/draft/x&answer_tokens=99999999 | 400  | answer_tokens             |
      | host=counter.example&path=/draft/x&priority=high        | 400    | priority                  |
      | host=counter.example&path=/draft/x&size=3               | 400    | there is no field         |
      | host=counter.example&host=other&path=/draft/x           | 400    | given twice               |
      | host=counter.example                                    | 400    | host and path are needed  |
      | &&&                                                     | 400    | malformed                 |

  Scenario: A question of a megabyte is refused
    When it is asked a question of 1 MB
    Then the status is 400 and the error says "more than 4096 bytes"

  Scenario: Without a configuration there is no answer
    When a router without a configuration is asked for a stream
    Then the status is 503 and the error says "no configuration is known yet"

  Scenario: The operators' tool asks a running router
    Given a running router with a model of two parts
    When the tool asks it on its metrics address for a stream
    Then it prints the chosen path, on which the next stream goes
    And with --json it prints the same answer as JSON
    And the tool ends with these exit codes
      | arguments                                       | code |
      | /draft/x --host counter.example                 | 0    |
      | /none/ --host counter.example                   | 6    |
      | /draft/x --host counter.example --prompt-tokens 100000000 | 2 |
    And it ends with exit code 7 where no router answers

  # Guards against questions that together hold up requests: each takes as long as up to
  # 25 choices of a path.
  Scenario: One question is answered at a time
    When two questions come at the same time
    Then one of the two answers is a refusal with status 429
    And the next question is answered

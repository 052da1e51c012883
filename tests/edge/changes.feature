Feature: Few routers watch the store, and all hear of its changes in time

  # Guards against calls of the store that grow with routers x changes: 195 routers called it
  # 19,000 times on a day of one minute.
  Scenario: A router that asks a relay hears of a release without calls of the store
    Given a router of a zone of 39 routers in a fleet of 195, and its relays
    When targets of its zone leave in turn while nothing else happens
    Then the router has not called the store, and its relays have
    And none is used until less than a connect is left of the drain bound

  # Guards against DRAIN: news that come through a router that died, stands still, hears nothing
  # itself or is cut off.
  Scenario Outline: A router of a fleet of <routers> hears of targets that leave in time while <fault>
    Given a router of a zone of 39 routers in a fleet of <routers>, and its relays
    When targets of its zone leave in turn while <fault>
    Then none is used until less than a connect is left of the drain bound
    And the router follows the store and its relays again

    Examples:
      | routers | fault                                         |
      | 77      | its relay dies                                |
      | 77      | its relay stands still for 3 s                |
      | 77      | the relays hear nothing and history is lost   |
      | 195     | its relay dies                                |
      | 195     | all relays die                                |
      | 195     | its relay stands still for 3 s                |
      | 195     | the relays hear nothing and history is lost   |
      | 195     | the relays are cut off from the store         |
      | 195     | the router is cut off from the store          |
      | 195     | the largest configuration changes three times |
      | 2100    | its relay dies                                |
      | 2100    | the relays hear nothing and history is lost   |

  # Guards against a router that takes the store for lost, and asks every target each second, as
  # the store turns it away and the configuration can't be read.
  Scenario: A router that the store turns away goes on with its relay
    Given a router of a zone of 39 routers in a fleet of 195, and its relays
    When targets of its zone leave in turn while the store turns the router away and the configuration changes
    Then none is used until less than a connect is left of the drain bound
    And the router never took the store for lost on the way
    And the router follows the store and its relays again

  # Guards against CONFIG and DENIED: routers whose relays had lost their watches watched the store
  # at once, from the moment at which it dropped its history, and heard nothing for 6 s.
  Scenario Outline: A router of a fleet of <routers> isn't deaf when its relays lose their watches
    Given a router of a zone of 39 routers in a fleet of <routers>, and its relays
    When targets of its zone leave in turn while watches that begin as history is lost hear nothing
    Then none is used until less than a connect is left of the drain bound
    And the router follows the store and its relays again

    Examples:
      | routers |
      | 77      |
      | 195     |
      | 2100    |

  # Guards against the same with the relays' own watches, which no cut ends: all of a zone are deaf.
  Scenario Outline: Routers of a fleet of <routers> aren't deaf when all watches begin deaf
    Given a router of a zone of 39 routers in a fleet of <routers>, and its relays
    When targets of its zone leave in turn while all watches that begin then hear nothing, also its relays'
    Then none is used until less than a connect is left of the drain bound
    And the router follows the store and its relays again

    Examples:
      | routers |
      | 77      |
      | 195     |

  # Guards against CONFIG: a relay that has started since doesn't name a version that the store kept
  # from the router, and of which an earlier relay had told.
  Scenario: A router reads a configuration that was kept from it after its relays restarted
    Given a router of a zone of 39 routers in a fleet of 195, and its relays
    When its relays restart in calm while the store keeps a configuration from it
    Then the router follows the store and its relays again

  # Guards against CONFIG: a version written while the one before is read isn't read any more.
  Scenario: A router reads the last of configurations in quick succession
    Given a router of a zone of 39 routers in a fleet of 195, and its relays
    When targets of its zone leave in turn while small configurations change in quick succession
    Then the router follows the store and its relays again

  # Guards against CONFIG and DENIED: the probe of a store that was back interrupted a router each
  # second as it asked a dead relay, before it gave that relay up; it never followed the store again.
  Scenario: A router follows the store again although it asks dead relays
    Given a router of a zone of 39 routers in a fleet of 195, and its relays
    When targets of its zone leave in turn while it loses the store and asks dead relays
    Then the router follows the store and its relays again

  # Guards against a view that counts as complete up to a time at which a relay knew less.
  Scenario: A relay that stood still doesn't make a view complete
    Given a router of a zone of 39 routers in a fleet of 195, and its relays
    When targets of its zone leave in turn while its relay stands still for 3 s
    Then the view of the router was never complete beyond what its relays knew

  # Guards against a router that goes on asking a relay that can't tell.
  Scenario Outline: A router whose relays reply with <reply> watches the store itself
    Given a router of a zone of 39 routers in a fleet of 195, and its relays
    When its relays reply with <reply>
    Then the router hears of a target that leaves within 1 s

    Examples:
      | reply                        |
      | a refusal                    |
      | a message of another kind    |
      | changes that it doesn't hold |
      | nothing                      |

  # Guards against a probe that stays silent for good after it failed once, with a relay since.
  Scenario: A router notices again that it lost the store after a relay told it the news
    Given a router that lost the store and hears of it through a relay since
    When it watches the store itself again, which is still silent
    Then its probe interrupts the watch again

  # Guards against all routers of a zone that call the store as often as few relays do.
  Scenario: A router of 195 that reaches no relay pauses as if all of them watched the store
    Given a router of a zone of 39 routers in a fleet of 195, and its relays
    Then its relays pause less after a change than it would

  # Guards against a relay's odd reply that takes back what is known, or dates it too late.
  Scenario: A router ignores changes of before its request, and times in the future
    Given a router of a zone of 39 routers in a fleet of 195, and its relays
    When its relays reply with old changes after a wait of an hour
    Then the router knows all targets, and its view is not complete beyond now

Feature: A router that has lost its links to all targets serves its callers

  # Guards against RECOVER: callers of a router without targets were refused, 0 of 48 served.
  # Guards against RECOVER: what such a router believed of targets harmed the callers of others.
  Scenario Outline: Callers of <count> of 4 routers whose connections <how> fare as others do
    Given 4 routers with links of their own to targets of lookups and drafts
    And <count> of them are cut off from all targets, so that connections <how>
    When requests of each kind come at each router for 4 seconds
    Then from 1 second after the cut each router serves 9 in 10 of them
    And no request ran more often than its kind allows
    And no router that was not cut off suspects a target
    And a router that was not cut off plans
    When the cut is over
    Then within 2 seconds each router serves its callers by itself

    Examples:
      | count | how                                |
      | 1     | hang                               |
      | 1     | are reset and hang                 |
      | 1     | live on while new ones are refused |
      | 3     | hang                               |
      | 1     | hang, also before they are established |
      | 3     | hang, also before they are established |

  # Guards against RECOVER: routers of a zone without links only asked each other, 0 of 11 served.
  Scenario: Callers of a zone of which every router is cut off fare as others do
    Given 10 routers with links of their own to targets of lookups and drafts
    And each router of one zone is cut off from all targets, so that connections hang
    When a request comes at each router every 0.6 seconds for 8 seconds
    Then from 1 second after the cut each router serves 9 in 10 of them
    And no request ran more often than its kind allows

  # Guards against two waits in a row, 0.95 s, for a connect and for what it says of the other targets.
  Scenario Outline: A <kind> that comes as its router loses all targets is served in time
    Given 4 routers with links of their own to targets of lookups and drafts
    And 1 of them are cut off from all targets, so that connections hang, also before they are established
    When a <kind> comes at the cut-off router, whose caller waits 0.85 seconds
    Then it is served by another router

    Examples:
      | kind   |
      | lookup |
      | hold   |
      | draft  |

  # Guards against holding callers back where no router can serve them.
  Scenario: A request that no router can bring to a target is refused at once
    Given 4 routers with links of their own to targets of lookups and drafts
    And 4 of them are cut off from all targets, so that connections hang
    When requests of each kind come at each router for 3 seconds
    Then from 2 seconds after the cut each is refused as not run within 0.2 seconds
    And it is told to come back within 3 seconds

  # Guards against RECOVER: a router that starts inside a cut has never seen a target.
  Scenario: A router that starts while it is cut off serves its callers
    Given 4 routers with links of their own to targets of lookups and drafts
    When a router starts that is cut off from all targets
    And requests of each kind come at each router for 4 seconds
    Then from 2 seconds after the cut each router serves 9 in 10 of them

  # Guards against a fleet without a plan while the targets of a plain service are down.
  Scenario: The loss of all targets of a plain service ends nobody's plan
    Given 4 routers with links of their own to targets of lookups and drafts
    When all targets of lookups end and lookups come at each router for 1 seconds
    Then the same router plans as before

  # Guards against a plan that nobody carries out: the router that plans gets no requests, and doesn't know.
  Scenario: A router that plans without requests leaves the plan as it loses its targets
    Given 4 routers with links of their own to targets of lookups and drafts
    And 1 of them are cut off from all targets, so that connections hang, also before they are established
    When all targets with the first layers leave, and empty ones come
    Then a router that was not cut off plans
    And the first layers are placed again

  # Guards against LOST: streams waited for retries that their router had not, until their callers left.
  Scenario Outline: All streams of a router go on as it loses its targets and connections <how>
    Given 4 routers with links of their own to targets of lookups and drafts
    When 14 long drafts run at a router that is cut off, so that connections <how>
    Then each of them ends whole

    Examples:
      | how                |
      | hang               |
      | are reset and hang |

Feature: Crashes put parts of prompts under quarantine, and answers release them

  # Guards against BUDGET: a part that crashes targets is not found.
  Scenario: Three crashes put a part under quarantine with which no answer ever began
    Given a quarantine
    When targets crash at 1, 2 and 3 seconds on "shared crashing"
    And answers with "shared" begin
    Then 0.6 seconds later "crashing" is refused and "shared" is not

  # Guards against BUDGET: a crash is taken for an earlier one, as the target's new entry is not yet read.
  Scenario: Each crash of a target counts, also before its new entry is read
    Given a quarantine
    When one target crashes at 1, 4 and 7 seconds on "shared crashing" under the entry of its first start
    And answers with "shared" begin
    Then 0.6 seconds later "crashing" is refused and "shared" is not

  # Guards against LOST: one crash counts more than once, as routers name it differently.
  Scenario: A crash counts once that two routers report by different entries
    Given a quarantine
    When one target crashes at 1 and 4 seconds on "shared rare", each reported by both entries
    And answers with "shared" begin
    Then 0.6 seconds later nothing is refused

  # Guards against LOST: one crash counts more than once, as some routers notice it late.
  Scenario: A crash counts once that is noticed late, where each start has a new id
    Given a quarantine
    When one target's crash at 1 second on "shared rare" is noticed at 1, 3 and 5 seconds
    And answers with "shared" begin
    Then 0.6 seconds later nothing is refused

  # Guards against LOST: a part is refused because targets died of something else.
  Scenario Outline: <what> puts nothing under quarantine
    Given a quarantine
    When targets crash at <times> seconds on "shared rare"
    And answers with "<begun>" begin
    Then 0.6 seconds later nothing is refused

    Examples:
      | what                                   | times          | begun  |
      | The death of three targets at once     | 1, 1.02 and 1.05 | shared |
      | A crash before which no answer began   | 1, 2 and 3     |        |
      | A part with which an answer begins     | 1, 2 and 3     | shared rare |

  # Guards against LOST: parts that stand beside a crashing one are refused as well.
  Scenario: Crashes that a part under quarantine explains count against no other
    Given a quarantine
    When targets crash at 1, 2 and 3 seconds on "crashing"
    And answers with "shared" begin
    And targets crash at 4, 5 and 6 seconds on "crashing beside"
    And answers with "shared" begin
    Then 0.6 seconds later "crashing" is refused and "beside" is not

  # Guards against LOST: a trial is spent on a request that another part refuses.
  Scenario: A trial waits for a request that no other part refuses
    Given a quarantine
    When targets crash at 1, 2 and 3 seconds on "crashing tied"
    And answers with "shared" begin
    And 40 seconds later requests with "crashing tied" are refused and a trial of "tied" is granted
    Then a request with "crashing tied" is refused
    And a request with "tied" is let through once

  # Guards against BUDGET: a part is freed everywhere because one router was not asked for it.
  Scenario: A part that others still refuse stays under quarantine where nobody asks
    Given a quarantine
    When targets crash at 1, 2 and 3 seconds on "crashing"
    And answers with "shared" begin
    And another router writes its entry again each 240 seconds for 1200 seconds
    Then 0.6 seconds later "crashing" is refused and "shared" is not
    And nothing was released

  # Guards against BUDGET: a caller's fillers keep its part out of reports.
  Scenario: A report keeps the parts with which no answer has begun
    Given a quarantine
    When answers with 3000 parts begin
    Then a report of these and of "crashing" names "crashing"

  # Guards against BUDGET: a part that crashes one service's targets also crashes another's.
  Scenario: A part under quarantine is tried once at another service
    Given a quarantine
    When targets crash at 1, 2 and 3 seconds on "crashing"
    And answers with "shared" begin
    Then 3 seconds later "crashing" is refused at another service
    And 4 seconds later one trial of "crashing" is granted there
    And 300 seconds later "crashing" is refused at another service

  # Guards against LOST: a part is refused by a service to which it is harmless.
  Scenario: A part is served at another service once an answer begins there
    Given a quarantine
    When targets crash at 1, 2 and 3 seconds on "crashing"
    And answers with "shared" begin
    Then 3 seconds later "crashing" is refused at another service
    When an answer of another service with "crashing" begins
    Then 3 seconds later "crashing" is served at another service
    And 0.6 seconds later "crashing" is refused and "shared" is not

  # Guards against LOST: a part is refused by a service to which it is known to be harmless.
  Scenario: A part stays served at a service of which an answer with it began before
    Given a quarantine
    When an answer of another service with "crashing" begins
    And targets crash at 1, 2 and 3 seconds on "crashing"
    And answers with "shared" begin
    Then 3 seconds later "crashing" is served at another service
    And 0.6 seconds later "crashing" is refused and "shared" is not

  # Guards against LOST: the router that claimed the one trial ends before it sends it.
  Scenario: A part whose only trial at another service came to nothing is tried again
    Given a quarantine
    When targets crash at 1, 2 and 3 seconds on "crashing"
    And answers with "shared" begin
    Then 3 seconds later "crashing" is refused at another service
    When another router claims the trial of "crashing" there and ends
    Then within 3600 seconds of requests another trial of "crashing" is asked for there

  # Guards against BUDGET: one router's old answer frees a part everywhere, again and again.
  Scenario: An answer of before the crashes releases one entry at most
    Given a quarantine
    When answers with "shared crashing" begin
    And 5 seconds later another router puts "crashing" under quarantine for crashes of the last 2 seconds
    Then "crashing" was released
    When 5 seconds later another router puts "crashing" under quarantine for crashes of the last 2 seconds
    Then 0.6 seconds later "crashing" is refused and "shared" is not

  # Guards against LOST: a part stays refused although it is known to be harmless.
  Scenario: An answer of after the crashes releases what another router found
    Given a quarantine
    When answers with "shared" begin
    And 5 seconds later another router puts "rare" under quarantine for crashes of the last 2 seconds
    And answers with "rare" begin
    Then 0.6 seconds later "rare" is served

  # Guards against BUDGET: the first events of an answer void the evidence of its own crash.
  Scenario: A part that crashes targets after some events is found
    Given a quarantine
    When answers with "shared" settle
    And targets crash on unsettled answers with "shared crashing" at 1, 2, 3 and 4 seconds
    And answers with "crashing" begin without settling
    And answers with "shared" settle
    Then 0.6 seconds later "crashing" is refused and "shared" is not

  # Guards against LOST: sound parts are refused as targets die of something else.
  Scenario Outline: <what> puts no part of unsettled answers under quarantine
    Given a quarantine
    When answers with "shared" settle
    And targets crash on unsettled answers with "shared rare" at <times> seconds
    And answers with "<settled>" settle
    Then 0.6 seconds later nothing is refused

    Examples:
      | what                                              | times                   | settled     |
      | The death of four targets at once                 | 1, 1.01, 1.02 and 1.03  | shared      |
      | The death of four targets at once, noticed late   | 1, 1.3, 1.7 and 1.9     | shared      |
      | Three crashes one after the other                 | 1, 1.2, 2 and 3         | shared      |
      | A part with which an answer settles               | 1, 2, 3 and 4           | shared rare |

  # Guards against LOST: sound parts are refused while no answer shows another cause.
  Scenario: Crashes before which no answer settled put no part under quarantine
    Given a quarantine
    When targets crash on unsettled answers with "shared rare" at 1, 2, 3 and 4 seconds
    Then 0.6 seconds later nothing is refused

Feature: The judge convicts parts of prompts by crashes, and frees them by answers

  # Guards against BUDGET: a part that crashes targets is not found.
  Scenario: Three crashes with a part that never began convict it
    Given a judge
    When targets crash at 1, 2 and 3 seconds on "shared deadly"
    And answers with "shared" begin
    Then 0.6 seconds later "deadly" is refused and "shared" is not

  # Guards against LOST: a part is refused because targets died of something else.
  Scenario Outline: <what> convicts nothing
    Given a judge
    When targets crash at <times> seconds on "shared rare"
    And answers with "<begun>" begin
    Then 0.6 seconds later nothing is refused

    Examples:
      | what                                   | times          | begun  |
      | The death of three targets at once     | 1, 1.02 and 1.05 | shared |
      | A crash before which no answer began   | 1, 2 and 3     |        |
      | A part with which an answer begins     | 1, 2 and 3     | shared rare |

  # Guards against LOST: parts that stand beside a deadly one are refused as well.
  Scenario: Crashes that a convicted part explains speak against no other
    Given a judge
    When targets crash at 1, 2 and 3 seconds on "deadly"
    And answers with "shared" begin
    And targets crash at 4, 5 and 6 seconds on "deadly beside"
    And answers with "shared" begin
    Then 0.6 seconds later "deadly" is refused and "beside" is not

  # Guards against LOST: a trial is spent on a request that another part refuses.
  Scenario: A trial waits for a request that no other part refuses
    Given a judge
    When targets crash at 1, 2 and 3 seconds on "deadly tied"
    And answers with "shared" begin
    And 40 seconds later requests with "deadly tied" are refused and a trial of "tied" is granted
    Then a request with "deadly tied" is refused
    And a request with "tied" is let through once

  # Guards against BUDGET: a part is freed everywhere because one router was not asked for it.
  Scenario: A part that others still refuse stays under quarantine where nobody asks
    Given a judge
    When targets crash at 1, 2 and 3 seconds on "deadly"
    And answers with "shared" begin
    And another router writes its entry again each 240 seconds for 1200 seconds
    Then 0.6 seconds later "deadly" is refused and "shared" is not
    And nothing was set free

  # Guards against BUDGET: a caller's fillers keep its part out of reports.
  Scenario: A report keeps the parts with which no answer has begun
    Given a judge
    When answers with 3000 parts begin
    Then a report of these and of "deadly" names "deadly"

Feature: A series of shutdowns with a long grace period cuts only what its rules allow

  # Seeds that failed when routers took streams later than 3.0 s after SIGTERM, or lookups
  # and holds at the end of draining, and could not finish them.
  Scenario Outline: Shutdowns in series violate no invariant with seed <seed>, in which <cause>
    When the soak test shuts routers down with seed <seed>, <callers> callers per router and a grace period of <grace> s
    Then it shut routers down and found no violation
    And its report has the longest wait for a CPU of each router and of the soak

    Examples:
      | seed | callers | grace | cause                                                    |
      | 100  | 3       | 8     | a hold taken 7.214 s after SIGTERM was cut               |
      | 101  | 3       | 8     | a lookup taken 7.221 s after SIGTERM was cut             |
      | 102  | 3       | 8     | no caller was left to see that routers serve again       |
      | 110  | 6       | 8     | a lookup taken 7.346 s after SIGTERM was cut             |
      | 111  | 6       | 8     | a lookup and a hold taken at the end of draining were cut |
      | 112  | 6       | 8     | a hold and streams taken 3.012 and 3.039 s were cut      |
      | 205  | 6       | 8     | streams taken 3.009 to 3.021 s after SIGTERM were cut    |
      | 6120 | 6       | 8     | a lookup whose first send failed had no time for another |

Feature: Separate processes keep the promises while parts of them fail

  Scenario: Kills, freezes, store faults and gray upstreams at the same time
    Given 3 targets, 4 daemons and a store as separate processes
    When callers order, look up and download with seed 7 while faults happen
      | at_s | fault                                                        |
      | 0.5  | target1 {"error_share": 0.3, "cut_share": 0.5}               |
      | 1.0  | freeze vm2                                                   |
      | 1.5  | store {"lost_answer_share": 0.4, "seed": 7}                  |
      | 2.0  | kill vm3                                                     |
      | 2.5  | resume vm2                                                   |
      | 3.0  | store {"outage": true}                                       |
      | 3.5  | target2 {"silent_share": 0.2, "seed": 7}                     |
      | 4.5  | restart vm3                                                  |
      | 5.5  | store {}                                                     |
      | 6.0  | freeze vm4                                                   |
      | 6.5  | target1 {}                                                   |
      | 7.0  | target2 {}                                                   |
      | 7.5  | resume vm4                                                   |
    Then no operation ran more than once
    And every operation that was answered ran exactly once
    And no operation ran whose every attempt was refused as not run
    And every lookup and download that was answered was whole and its own
    And at least 100 operations and 100 lookups were answered

  Scenario: A planned stop under load cuts no request
    Given 2 targets, 3 daemons and a store as separate processes
    When callers download through "vm1" and it is stopped after 1 s
    Then "vm1" exits with code 0 and no started download was cut

  Scenario: A withdrawn key stops within 5 s on open connections of every process
    Given 2 targets, 3 daemons and a store as separate processes
    When the key is withdrawn through "vm1" while callers use it on open connections
    Then no VM served the key later than 5 s after the withdrawal

Feature: A fleet keeps its promises to callers while its processes fail

  An order is an at-most-once request, POST /order, for one operation.

  Scenario: Promises hold while VMs are killed and paused and the store and targets have faults
    Given 3 targets, 4 daemons and a store as separate processes
    When callers send orders, lookups and downloads with seed 7 during these faults
      | at_s | fault                                          |
      | 0.5  | target1 {"error_share": 0.3, "cut_share": 0.5} |
      | 1.0  | pause vm2                                      |
      | 1.5  | store {"lost_answer_share": 0.4, "seed": 7}    |
      | 2.0  | kill vm3                                       |
      | 2.5  | resume vm2                                     |
      | 3.0  | store {"outage": true}                         |
      | 3.5  | target2 {"silent_share": 0.2, "seed": 7}       |
      | 4.5  | restart vm3                                    |
      | 5.5  | store {}                                       |
      | 6.0  | pause vm4                                      |
      | 6.5  | target1 {}                                     |
      | 7.0  | target2 {}                                     |
      | 7.5  | resume vm4                                     |
    Then no operation ran more than once
    And every operation that got a response of a target ran exactly once
    And no operation ran if each of its attempts was refused with ran "no"
    And each lookup and download with status 200 got the complete response to its request
    And at least 100 operations got a response of a target and 100 lookups succeeded

  Scenario: A planned stop under load interrupts no download
    Given 2 targets, 3 daemons and a store as separate processes
    When callers download through "vm1" and it gets SIGTERM after 1 s
    Then "vm1" exits with code 0 and no download was interrupted

  Scenario: All VMs refuse a withdrawn key within 5 s, also on open connections
    Given 2 targets, 3 daemons and a store as separate processes
    When the key is withdrawn through "vm1" while callers use it on open connections
    Then no VM accepted the key later than 5 s after the withdrawal

Feature: Workspaces get their whole rate while VMs stop, start and leave in series

  The simulated VMs run the project's membership, digests and rates. Callers send 0.625
  of the rate of each of 8 workspaces, spread over all VMs that the load balancer uses.
  The measurement of refusals and admissions starts at the first When step or, if callers
  change their load, at that change; with "callers that have sent", at the end of those
  seconds. Numbers such as 0.8 are fractions.

  Scenario Outline: Planned stops in series cause almost no refusals (below 1 %) within the rate
    Given a simulated fleet of 36 VMs with seed <seed>
    When 0.8 of its VMs stop, 4 every 0.5 s, and restart
    And 14 s pass in the simulation
    And 0.6 of its VMs stop, 8 every 0.3 s, and restart
    And 12 s pass in the simulation
    Then less than 0.01 of the requests are refused in any 2 s
    And less than 0.001 of the requests are refused

    Examples:
      | seed |
      | 1    |
      | 2    |
      | 3    |

  Scenario: Planned stops in series cause almost no refusals (below 1 %) in a fleet of 300 VMs
    Given a simulated fleet of 300 VMs with seed 1
    When 0.5 of its VMs stop, 33 every 0.5 s, and restart
    And 8 s pass in the simulation
    Then less than 0.01 of the requests are refused in any 2 s

  Scenario: Workspaces of few requests are hardly refused (below 1 %) within their rate
    Given a simulated fleet of 96 VMs with 140 workspaces, a few of them large, and seed 1
    When 8 s pass in the simulation
    Then less than 0.01 of the requests are refused

  Scenario: A variant that counts each admitted request twice fails that test
    Given a simulated fleet of 96 VMs with 140 workspaces, a few of them large, and seed 1
    And its VMs are of a variant that counts each admitted request twice
    When 8 s pass in the simulation
    Then at least 0.01 of the requests are refused

  Scenario Outline: From 1 s after <loss> there are almost no refusals (below 1 %) within the rate
    Given a simulated fleet of 36 VMs with seed 1
    When <loss> happens
    And 6 s pass in the simulation
    Then less than 0.01 of the requests are refused in any 2 s after the first second

    Examples:
      | loss                                            |
      | the loss of an aggregator                       |
      | the loss of two aggregators in two data centres |
      | a kill of half of the VMs                       |
      | the loss of a data centre                       |

  Scenario Outline: Pauses of VMs cause almost no refusals (below 1 %) within the rate
    Given a simulated fleet of 36 VMs with seed <seed>
    When 0.3 of its VMs are paused for <seconds> s
    And 14 s pass in the simulation
    Then less than 0.01 of the requests are refused in any 2 s

    Examples:
      | seed | seconds |
      | 1    | 5.7     |
      | 2    | 5.7     |
      | 3    | 3       |

  Scenario Outline: Pauses of VMs cause no over-admission when the demand has grown
    Given a simulated fleet of 36 VMs with seed <seed>
    When <share> of its VMs are paused for 5.7 s
    And 3 s pass in the simulation
    And callers send 4.7 times the usual load for 9 s
    Then no workspace is admitted above its rate in the measured time

    Examples:
      | seed | share |
      | 1    | 0.3   |
      | 2    | 0.8   |

  Scenario: Pauses during a partition of the regions cause no over-admission
    Given a simulated fleet of 36 VMs with seed 1
    When 0.5 of its VMs are paused for 5.7 s
    And 0.5 s pass in the simulation
    And its regions are partitioned from each other
    And callers send 4.7 times the usual load for 12 s
    Then no workspace is admitted above its rate in the measured time

  Scenario: Lost, duplicate and late datagrams cause almost no refusals (below 1 %) while VMs stop
    Given a simulated fleet of 36 VMs with seed 2
    And a fraction of 0.1 of its datagrams is lost and one of 0.1 arrives twice and late
    When 0.8 of its VMs stop, 4 every 0.5 s, and restart
    And 12 s pass in the simulation
    Then less than 0.01 of the requests are refused in any 2 s

  Scenario: Datagrams that all arrive twice and late cause almost no refusals (below 1 %) within the rate
    Given a simulated fleet of 36 VMs with seed 1
    And a fraction of 0 of its datagrams is lost and one of 1 arrives twice and late
    When 8 s pass in the simulation
    Then less than 0.01 of the requests are refused in any 2 s

  Scenario Outline: Stops in series cause no over-admission of workspaces over their rate
    Given a simulated fleet of 36 VMs with seed 3
    And callers that have sent 4.7 times the usual load for 6 s
    When 0.8 of its VMs <way>, 4 every 0.5 s, and restart
    And 12 s pass in the simulation
    Then no workspace is admitted above its rate in the measured time

    Examples:
      | way        |
      | stop       |
      | are killed |

  Scenario: Both sides of a partition stay within the rate while VMs stop
    Given a simulated fleet of 36 VMs with seed 1
    When its regions are partitioned from each other
    And 0.5 of its VMs stop, 4 every 0.5 s, and restart
    And 3 s pass in the simulation
    And callers send 4.7 times the usual load for 8 s
    Then no workspace is admitted above its rate in the measured time

  Scenario: A demand that grows at the time of a partition is not over-admitted
    Given a simulated fleet of 36 VMs with seed 1
    When its regions are partitioned from each other
    And callers send 4.7 times the usual load for 9 s
    Then no workspace is admitted above its rate in the measured time

  Scenario: Lost datagrams cause no over-admission of workspaces over their rate
    Given a simulated fleet of 36 VMs with seed 1
    And a fraction of 0.05 of its datagrams is lost and one of 0 arrives twice and late
    When callers send 4.7 times the usual load for 12 s
    Then no workspace is admitted above its rate in the measured time

  Scenario Outline: Many lost datagrams cause no over-admission either
    Given a simulated fleet of 36 VMs with seed <seed>
    And a fraction of <loss> of its datagrams is lost and one of 0.05 arrives twice and late
    When callers send 4.7 times the usual load for 12 s
    Then no workspace is admitted above its rate in the measured time

    Examples:
      | seed | loss |
      | 2    | 0.05 |
      | 1    | 0.1  |
      | 2    | 0.1  |
      | 3    | 0.1  |

  Scenario: A variant that sends usage once fails the test of lost datagrams
    Given a simulated fleet of 36 VMs with seed 1
    And a fraction of 0.1 of its datagrams is lost and one of 0 arrives twice and late
    And its VMs are of a variant that sends the usage of each digest once
    When callers send 4.7 times the usual load for 12 s
    Then some workspace is admitted above its rate in the measured time

  Scenario: A sudden demand of 4.7 times the usual load is not over-admitted
    Given a simulated fleet of 36 VMs with seed 2
    When callers send 4.7 times the usual load for 8 s
    Then no workspace is admitted above its rate in the measured time

  Scenario: A sudden demand is not over-admitted by VMs that seldom get its requests
    Given a simulated fleet of 300 VMs with seed 1
    When callers send 4.7 times the usual load for 6 s
    Then no workspace is admitted above its rate in the measured time

  Scenario: A sudden demand just after all VMs started is not over-admitted
    Given a simulated fleet of 36 VMs with seed 2 that has just started
    When callers send 4.7 times the usual load for 8 s
    Then no workspace is admitted above its rate in the measured time

  Scenario Outline: A variant <variant> fails the test of planned stops
    Given a simulated fleet of 36 VMs with seed <seed>
    And its VMs are of a variant <variant>
    When 0.8 of its VMs stop, 8 every 0.3 s, and restart
    And 12 s pass in the simulation
    Then more than 0.01 of the requests are refused in some period of 2 s

    Examples:
      | variant                              | seed |
      | that sends no start and stop notices | 7    |
      | that aggregates from its start on    | 4    |

  Scenario: A variant that never times out an aggregator fails the test of its loss
    Given a simulated fleet of 36 VMs with seed 1
    And its VMs are of a variant that never times out an aggregator
    When the loss of two aggregators in two data centres happens
    And 5 s pass in the simulation
    Then more than 0.01 of the requests are refused in some period of 2 s

  Scenario: A variant that counts duplicate datagrams fails the test of duplicates
    Given a simulated fleet of 36 VMs with seed 1
    And its VMs are of a variant that counts duplicate datagrams
    And a fraction of 0 of its datagrams is lost and one of 1 arrives twice and late
    When 8 s pass in the simulation
    Then more than 0.01 of the requests are refused in some period of 2 s

  Scenario: A variant that relays received counts a second time counts without bound
    Given a simulated fleet of 36 VMs with seed 2
    And its VMs are of a variant that relays received counts a second time
    When 0.8 of its VMs stop, 4 every 0.5 s, and restart
    Then its VMs count more than 100 times the requests within 5 s

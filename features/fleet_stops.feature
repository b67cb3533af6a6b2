Feature: Workspaces get their whole rate while VMs stop, start and leave in series

  The simulated VMs have the project's membership, digests and rates. Callers ask for
  0.625 of the rate of each of 8 workspaces, over all VMs that the load balancer knows.

  Scenario Outline: Planned stops in series refuse nobody within the rate
    Given a simulated fleet of 36 VMs with seed <seed>
    When 0.8 of its VMs stop, 4 each 0.5 s, and return
    And 14 s pass in the simulation
    And 0.6 of its VMs stop, 8 each 0.3 s, and return
    And 12 s pass in the simulation
    Then less than 0.01 of the requests are refused in any 2 s
    And less than 0.001 of the requests are refused

    Examples:
      | seed |
      | 1    |
      | 2    |
      | 3    |

  Scenario: Planned stops in series refuse nobody in a fleet of 300 VMs
    Given a simulated fleet of 300 VMs with seed 1
    When 0.5 of its VMs stop, 33 each 0.5 s, and return
    And 8 s pass in the simulation
    Then less than 0.01 of the requests are refused in any 2 s

  Scenario Outline: From 1 s after <loss> nobody within the rate is refused
    Given a simulated fleet of 36 VMs with seed 1
    When <loss> happens
    And 6 s pass in the simulation
    Then less than 0.01 of the requests are refused in any 2 s from 1 s later on

    Examples:
      | loss                                  |
      | the loss of an aggregator                 |
      | the loss of two aggregators in two data centres |
      | a kill of half of the VMs             |
      | the loss of a data centre             |

  Scenario Outline: VMs that stood still refuse nobody within the rate
    Given a simulated fleet of 36 VMs with seed <seed>
    When 0.3 of its VMs stand still for <seconds> s
    And 14 s pass in the simulation
    Then less than 0.01 of the requests are refused in any 2 s

    Examples:
      | seed | seconds |
      | 1    | 5.7     |
      | 2    | 5.7     |
      | 3    | 3       |

  Scenario Outline: VMs that stood still mint no requests when the demand has grown
    Given a simulated fleet of 36 VMs with seed <seed>
    When <share> of its VMs stand still for 5.7 s
    And 3 s pass in the simulation
    And callers ask 4.7 times as much for 9 s
    Then no workspace gets more than its rate since then

    Examples:
      | seed | share |
      | 1    | 0.3   |
      | 2    | 0.8   |

  Scenario: VMs that stood still while their regions were cut off stay within the rate
    Given a simulated fleet of 36 VMs with seed 1
    When 0.5 of its VMs stand still for 5.7 s
    And 0.5 s pass in the simulation
    And its regions are cut off from each other
    And callers ask 4.7 times as much for 12 s
    Then no workspace gets more than its rate since then

  Scenario: Lost, doubled and late datagrams refuse few while VMs stop in series
    Given a simulated fleet of 36 VMs with seed 2
    And 0.1 of its datagrams are lost and 0.1 come twice and late
    When 0.8 of its VMs stop, 4 each 0.5 s, and return
    And 12 s pass in the simulation
    Then less than 0.01 of the requests are refused in any 2 s

  Scenario: Datagrams that all come twice and late refuse nobody within the rate
    Given a simulated fleet of 36 VMs with seed 1
    And 0 of its datagrams are lost and 1 come twice and late
    When 8 s pass in the simulation
    Then less than 0.01 of the requests are refused in any 2 s

  Scenario Outline: Stops in series mint no requests for workspaces over their rate
    Given a simulated fleet of 36 VMs with seed 3
    And callers that have asked 4.7 times as much for 6 s
    When 0.8 of its VMs <way>, 4 each 0.5 s, and return
    And 12 s pass in the simulation
    Then no workspace gets more than its rate since then

    Examples:
      | way       |
      | stop      |
      | are killed |

  Scenario: Both sides of a partition stay within the rate while VMs stop
    Given a simulated fleet of 36 VMs with seed 1
    When its regions are cut off from each other
    And 0.5 of its VMs stop, 4 each 0.5 s, and return
    And 3 s pass in the simulation
    And callers ask 4.7 times as much for 8 s
    Then no workspace gets more than its rate since then

  Scenario: A demand that grows at the time of a partition mints no requests
    Given a simulated fleet of 36 VMs with seed 1
    When its regions are cut off from each other
    And callers ask 4.7 times as much for 9 s
    Then no workspace gets more than its rate since then

  Scenario: Lost datagrams mint no requests for workspaces over their rate
    Given a simulated fleet of 36 VMs with seed 1
    And 0.05 of its datagrams are lost and 0 come twice and late
    When callers ask 4.7 times as much for 12 s
    Then no workspace gets more than its rate since then

  Scenario: A sudden demand of 4.7 times the usual one mints no requests
    Given a simulated fleet of 36 VMs with seed 2
    When callers ask 4.7 times as much for 8 s
    Then no workspace gets more than its rate since then

  Scenario: A sudden demand just after all VMs started mints no requests
    Given a simulated fleet of 36 VMs with seed 2 that has just started
    When callers ask 4.7 times as much for 8 s
    Then no workspace gets more than its rate since then

  Scenario Outline: A fleet <variant> is caught
    Given a simulated fleet of 36 VMs with seed <seed>
    And its VMs run <variant>
    When 0.8 of its VMs stop, 8 each 0.3 s, and return
    And 12 s pass in the simulation
    Then more than 0.01 of the requests are refused in some 2 s

    Examples:
      | variant                       | seed |
      | without notices               | 7    |
      | that speaks from its start on | 4    |

  Scenario: A fleet that waits long for an aggregator is caught
    Given a simulated fleet of 36 VMs with seed 1
    And its VMs run that waits long for an aggregator
    When the loss of two aggregators in two data centres happens
    And 5 s pass in the simulation
    Then more than 0.01 of the requests are refused in some 2 s

  Scenario: A fleet that counts doubled datagrams is caught
    Given a simulated fleet of 36 VMs with seed 1
    And its VMs run that counts doubled datagrams
    And 0 of its datagrams are lost and 1 come twice and late
    When 8 s pass in the simulation
    Then more than 0.01 of the requests are refused in some 2 s

  Scenario: A fleet that passes relayed counts on is caught
    Given a simulated fleet of 36 VMs with seed 2
    And its VMs run that passes relayed counts on
    When 0.8 of its VMs stop, 4 each 0.5 s, and return
    Then its VMs count over 100 times the requests within 5 s

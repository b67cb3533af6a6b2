Feature: An accepted configuration is in force everywhere and never reverts

  Scenario: A change reaches all VMs over TCP
    Given a control fleet of 12 VMs in 2 regions over TCP
    When 3 workspaces are created in the log
    Then the newest change is in force everywhere within 2 s
    And no configuration version went backwards

  Scenario: Changes survive loss, duplication and reordering
    Given a control fleet of 16 VMs in 2 regions
    And the network loses 20% and duplicates 20% of the messages
    When 40 workspaces are created one by one
    Then the newest change is in force everywhere within 18 s
    And no configuration version went backwards

  Scenario: A region that cannot reach the store receives changes from the other region
    Given a control fleet of 12 VMs in 2 regions
    When region 2 cannot reach the store
    And 3 workspaces are created in the log
    Then the newest change is in force everywhere within 18 s

  Scenario: A region that was partitioned fetches the missed changes
    Given a control fleet of 12 VMs in 2 regions
    When region 2 cannot reach the store
    And region 2 is partitioned from the other regions
    And 30 workspaces are created in the log
    And 1 s pass
    Then the newest change is not in force at VM 2
    When all links work again
    Then the newest change is in force everywhere within 18 s
    And no configuration version went backwards

  Scenario: A VM that starts during a store outage installs the newest state of its peers
    Given a control fleet of 8 VMs in 2 regions
    When messages between VM 2 and VM 1 are lost
    And the store becomes unavailable
    And VM 9 starts with VMs 1 and 2 as its seeds
    Then VM 9 has the newest version within 5 s
    And VM 9 accepts the key within 5 s
    When the store is available again
    And 2 workspaces are created in the log
    Then the newest change is in force everywhere within 5 s
    And no configuration version went backwards

  Scenario: A VM that crashes and restarts repeatedly catches up with the changes it missed
    Given a control fleet of 6 VMs in 2 regions
    When VM 3 crashes
    And 5 workspaces are created in the log
    And VM 3 starts with VM 1 as its seed
    And VM 3 crashes
    And 5 workspaces are created in the log
    And VM 3 starts with VM 2 as its seed
    Then VM 3 has the newest version within 5 s
    And the newest change is in force everywhere within 5 s
    And no configuration version went backwards

  Scenario: Changes of two operators are recorded exactly once while the store loses responses
    Given a control fleet of 6 VMs in 2 regions
    And the store loses 40% of its responses to writes
    When two operators each propose 15 changes at the same time
    Then each proposed change is in the log exactly once and the log has no gap
    And the newest change is in force everywhere within 5 s

  Scenario: Without changes, only the watchers call the store
    Given a control fleet of 16 VMs in 2 regions
    When 0.5 s pass
    Then the store gets at most 6 calls per second over 1.5 s

  Scenario: A change reaches all VMs of a region by the relay tree alone
    Given a control fleet of 12 VMs in 1 regions
    When messages of type "fetch" to all VMs are lost
    And 3 workspaces are created in the log
    Then the newest change is in force everywhere within 2 s

  Scenario: VMs serve during a store outage and overload the store neither then nor after
    Given a control fleet of 16 VMs in 2 regions with halved heartbeat and isolation times
    When the store becomes unavailable
    Then all VMs accept the key for 2.5 s
    And the store gets at most 30 calls per second over 1.5 s
    When the store is available again with a cap of 60 calls per second
    And 5 workspaces are created in the log
    Then the newest change is in force everywhere within 5 s
    And the store refused at most 0 calls

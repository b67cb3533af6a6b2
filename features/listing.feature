Feature: All VMs learn within 2 s that a target is leaving

  Scenario: A change of a VM list reaches all VMs through the relay alone
    Given a control fleet of 12 VMs in 2 regions
    When messages of type "listing-fetch" to all VMs are lost
    And the store lists 3 targets of "search"
    And target 2 of "search" is listed as leaving
    Then target 2 of "search" is leaving at every VM within 2 s

  Scenario: A change of a VM list reaches a region that cannot reach the store
    Given a control fleet of 12 VMs in 2 regions
    When the store lists 3 targets of "search"
    And region 2 cannot reach the store
    And target 2 of "search" is listed as leaving
    Then target 2 of "search" is leaving at every VM within 2 s

  Scenario: VMs recover from lost, duplicated and reordered messages of VM lists
    The second listing stores another version of the same list, whose messages may mix
    with those of the first.

    Given a control fleet of 12 VMs in 2 regions
    And the network loses 20% and duplicates 20% of the messages
    When the store lists 3 targets of "search"
    And target 2 of "search" is listed as leaving
    And target 2 of "search" is listed as leaving
    Then all VMs have the newest lists within 5 s

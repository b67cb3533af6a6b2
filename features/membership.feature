Feature: VMs know who is alive and whether they may trust what they know

  Scenario: Serving continues through a store outage while most VMs are heard
    Given a control fleet of 8 VMs in 2 regions
    When the store becomes unavailable
    Then all VMs serve the key for 6 s

  Scenario: A region that still reaches the store serves keys
    Given a control fleet of 8 VMs in 2 regions
    When region 2 is cut from the other regions
    Then all VMs serve the key for 6 s

  Scenario: A region that reaches neither the store nor a majority refuses keys
    Given a control fleet of 9 VMs in 2 regions
    When region 2 is cut from the store
    And region 2 is cut from the other regions
    Then all VMs of region 2 refuse the key within 5 s
    And all VMs of region 1 serve the key
    When all cuts are healed
    Then VM 2 serves the key within 5 s

Feature: VMs know which VMs are live and whether their withdrawn keys are up to date

  Scenario: A one-way link is detected and both VMs stay live through other peers
    Given a control fleet of 6 VMs in 2 regions with halved heartbeat and isolation times
    When messages from VM 1 to VM 2 are lost
    Then VM 1 detects a one-way link from VM 2 within 2 s
    And all 6 VMs are live at every VM for 1.5 s

  Scenario: A crashed VM is no longer live after some seconds
    Given a control fleet of 8 VMs in 2 regions with halved heartbeat and isolation times
    When VM 4 crashes
    Then VM 4 is live at no VM within 2 s

  Scenario: Heartbeats that were delayed in a queue do not let a partitioned VM accept keys
    Their ages count from the time at which they were sent, not from their arrival.

    Given a control fleet of 8 VMs in 2 regions with halved heartbeat and isolation times
    When 0.6 s pass
    And VM 3 cannot reach the store
    And messages to VM 3 are delayed for 2.5 s and later ones are lost
    And the delayed messages to VM 3 are delivered
    Then VM 3 does not accept the key for 0.4 s

  Scenario: A partitioned region accepts keys only while it reaches the store
    Given a control fleet of 9 VMs in 2 regions with halved heartbeat and isolation times
    When region 2 is partitioned from the other regions
    Then all VMs accept the key for 2.5 s
    When region 2 cannot reach the store
    Then all VMs of region 2 refuse the key within 2.5 s
    And all VMs of region 1 accept the key
    When all links work again
    Then VM 2 accepts the key within 2.5 s

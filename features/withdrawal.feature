Feature: A withdrawn key stops working within seconds

  Scenario: A withdrawal is recorded and in force at all VMs
    Given a control fleet of 8 VMs in 2 regions over TCP
    When the key is withdrawn through VM 1
    Then the withdrawal is "recorded" and in force at 8 VMs
    And no VM accepts the key

  Scenario: A withdrawal does not wait for the store and is recorded later
    Given a control fleet of 8 VMs in 2 regions
    When the store becomes unavailable
    And the key is withdrawn through VM 1
    Then the withdrawal is "acknowledged" and in force at 8 VMs
    When VM 1 crashes
    And the store is available again
    Then the log records the withdrawal once within 15 s

  Scenario: A withdrawal is forwarded to a VM that cannot be reached directly
    Given a control fleet of 8 VMs in 2 regions
    When messages from VM 1 to VM 5 are lost
    And the key is withdrawn through VM 1
    Then the withdrawal is "recorded" and in force at 8 VMs

  Scenario: A partitioned region refuses keys while the store is unavailable
    Given a control fleet of 9 VMs in 2 regions with halved heartbeat and isolation times
    When region 2 is partitioned from the other regions
    And the store becomes unavailable
    And the key is withdrawn through VM 1
    Then the withdrawal is "acknowledged" and in force at 5 VMs
    And the withdrawal names 4 VMs that have not confirmed it
    And no VM accepts the key later than 2.5 s after its withdrawal

  Scenario: Heartbeats recover a lost withdrawal message on a lossy network
    Given a control fleet of 8 VMs in 2 regions with halved heartbeat and isolation times
    And the network loses 20% and duplicates 20% of the messages
    When the store becomes unavailable
    And messages of type "withdrawal" to VM 3 are lost
    And the key is withdrawn through VM 1
    Then no VM accepts the key later than 2.5 s after its withdrawal

  Scenario: A VM that receives no messages and one whose messages are lost refuse the key in time
    Given a control fleet of 8 VMs in 2 regions with halved heartbeat and isolation times
    When 0.8 s pass
    And all messages to VM 3 are lost
    And VM 3 cannot reach the store
    And all messages from VM 6 are lost
    And VM 6 cannot reach the store
    And messages of type "withdrawal" to VM 6 are lost
    And the key is withdrawn through VM 1
    Then no VM accepts the key later than 2.5 s after its withdrawal

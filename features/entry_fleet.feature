Feature: Entry VMs discover each other through the store and agree on an aggregator

  Scenario: The first live VM by name is the aggregator of its data centre
    Given VM "vm2" of a fleet with "vm1, vm3"
    Then "vm1" is the aggregator
    When 1 s pass for the fleet
    Then "vm2" is the aggregator
    When a digest of "vm1" arrives
    Then "vm1" is the aggregator
    When 1 s pass for the fleet
    And a digest of "vm1" arrives
    Then "vm1" is the aggregator
    When 0.7 s pass for the fleet
    Then "vm2" is the aggregator

  Scenario: A VM that has just started or is stopping is not the aggregator
    Given VM "vm2" of a fleet with "vm1, vm3"
    When 3 s pass for the fleet
    And a digest of "vm1" arrives
    And a digest of "vm3" arrives
    And "vm1" announces its start
    Then "vm2" is the aggregator
    When 2.1 s pass for the fleet
    And a digest of "vm1" arrives
    Then "vm1" is the aggregator
    When "vm1" announces its stop
    Then "vm2" is the aggregator
    And 2 VMs are counted

  Scenario: A stopped VM that is listed 12 s later counts again, as it may have restarted unnoticed
    Given VM "vm2" of a fleet with "vm1, vm3"
    When "vm3" announces its stop
    And a list with "vm1, vm3" arrives
    Then 2 VMs are counted
    When 12.1 s pass for the fleet
    And a list with "vm1, vm3" arrives
    Then 3 VMs are counted

  Scenario: A VM that announced its start counts for some seconds without being listed
    Given VM "vm2" of a fleet with "vm1, vm3"
    When "vm4" announces its start
    And a list with "vm1, vm3" arrives
    Then 4 VMs are counted
    When 6.1 s pass for the fleet
    And a list with "vm1, vm3" arrives
    Then 3 VMs are counted

  Scenario: Before the first list a fleet is assumed to have the usual size
    Given VM "vm2" before the first list
    Then its fleet has 40 VMs

  Scenario: Only objects of VMs that were unresponsive for long are removed
    Given VM "vm2" of a fleet with "vm1, vm3"
    When a digest of "vm3" arrives
    And 19 s pass for the fleet
    Then no objects of VMs are to be removed
    When 2 s pass for the fleet
    Then the objects of "vm1, vm3" are to be removed

  Scenario: The first reachable data centre removes the objects of a lost one
    Given VM "vm2" of a fleet with "b:x1, c:y1"
    When 19 s pass for the fleet
    And a digest of data centre "c" arrives from "y1"
    And 1.1 s pass for the fleet
    Then the objects of "x1" are to be removed
    Given VM "vm2" of a fleet with "A:x1, c:y1"
    When 19 s pass for the fleet
    And a digest of data centre "A" arrives from "x1"
    And 1.1 s pass for the fleet
    Then no objects of VMs are to be removed

  Scenario: A VM whose object was removed while it was unreachable registers again
    Given 2 entry VMs with 1 target
    When the object of "vm2" is removed from the store
    Then the store lists the VMs "vm1, vm2" within 12 s

  Scenario: A VM whose object was removed as it started registers again
    Given an entry VM with 1 target
    When "vm2" starts and its object is removed as soon as it exists
    Then the store lists the VMs "vm1, vm2" within 12 s

  Scenario: The contact in another data centre is its last aggregator while that responds
    Given VM "vm2" of a fleet with "b:x1, b:x2"
    Then its contacts in "b" alternate
    When a digest of data centre "b" arrives from "x2"
    Then its contact in "b" is "x2"

  Scenario: A VM knows how many VMs' digests reach it
    Given VM "vm1" of a fleet with "vm2, vm3, b:x1, b:x2"
    When a digest of "vm2" arrives
    And a digest of data centre "b" arrives from "x2"
    Then digests of 4 VMs reach it
    When 1.3 s pass for the fleet
    Then digests of 1 VM reach it

  Scenario: A stopped VM leaves no object behind
    Given 2 entry VMs with 1 target
    When the VM "vm2" is stopped
    Then the store lists the VMs "vm1"

  Scenario: Outcomes and usage of each VM reach all others once
    Given 3 VMs of data centre "a" and 2 of "b" that exchange digests
    When "a2" records a failure of a target and admits 3 requests
    Then every other VM counts 1 failure of it and 3 admitted requests within 1 s

  Scenario: Counts are relayed once while several VMs act as the aggregator
    Given 3 VMs of data centre "a" and 3 of "b" that exchange digests
    And each of them acts as the aggregator
    When "a2" records a failure of a target and admits 3 requests
    Then every other VM counts 1 failure of it and 3 admitted requests within 1 s

  Scenario: Counts that reach a VM that is not the aggregator are relayed
    Given 3 VMs of data centre "a" and 2 of "b" that exchange digests
    And "a2" considers "a3" the aggregator
    When "a2" records a failure of a target and admits 3 requests
    Then every other VM counts 1 failure of it and 3 admitted requests within 1 s

  Scenario: Repeats of all VMs together stay within the bound
    Then in any sequence of requests 30 VMs send at most the repeats that ratio and extra allow

  Scenario: This test detects VMs that each use the whole extra budget
    Then 30 VMs that each use the whole extra budget exceed the bound

  Scenario: Retries of refused callers are spread over time and before their deadlines
    Then any retry delay is at most a third of the caller's remaining time or the shortest delay
    And 200 callers that expect capacity in 0.5 s retry at 50 different times

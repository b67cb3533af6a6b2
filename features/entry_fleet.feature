Feature: Entry VMs find each other through the store and agree on who speaks

  Scenario: The first VM that is heard speaks for its data centre
    Given VM "vm2" of a fleet with "vm1, vm3"
    Then "vm1" speaks
    When 1 s pass for the fleet
    Then "vm2" speaks
    When "vm1" is heard
    Then "vm1" speaks
    When 1 s pass for the fleet
    And "vm1" is heard
    Then "vm1" speaks
    When 0.7 s pass for the fleet
    Then "vm2" speaks

  Scenario: A VM that has just started or stops does not speak
    Given VM "vm2" of a fleet with "vm1, vm3"
    When 3 s pass for the fleet
    And "vm1" is heard
    And "vm3" is heard
    And "vm1" announces its start
    Then "vm2" speaks
    When 2.1 s pass for the fleet
    And "vm1" is heard
    Then "vm1" speaks
    When "vm1" announces its stop
    Then "vm2" speaks
    And 2 VMs count

  Scenario: A stopped VM whose notices of its new start were lost counts again
    Given VM "vm2" of a fleet with "vm1, vm3"
    When "vm3" announces its stop
    And a list with "vm1, vm3" arrives
    Then 2 VMs count
    When 12.1 s pass for the fleet
    And a list with "vm1, vm3" arrives
    Then 3 VMs count

  Scenario: A VM that starts unlisted is known from its notice until lists have it
    Given VM "vm2" of a fleet with "vm1, vm3"
    When "vm4" announces its start
    And a list with "vm1, vm3" arrives
    Then 4 VMs count
    When 6.1 s pass for the fleet
    And a list with "vm1, vm3" arrives
    Then 3 VMs count

  Scenario: A fleet of unknown size is taken to be of the usual size
    Given VM "vm2" before the first list
    Then its fleet has 40 VMs

  Scenario: Objects of VMs that are gone for good are removed, others are not
    Given VM "vm2" of a fleet with "vm1, vm3"
    When "vm3" is heard
    And 19 s pass for the fleet
    Then no VM is lost
    When 2 s pass for the fleet
    Then "vm1, vm3" are lost

  Scenario: The first data centre that is heard cares for the objects of a lost one
    Given VM "vm2" of a fleet with "b:x1, c:y1"
    When 19 s pass for the fleet
    And "y1" speaks for "c"
    And 1.1 s pass for the fleet
    Then "x1" are lost
    Given VM "vm2" of a fleet with "A:x1, c:y1"
    When 19 s pass for the fleet
    And "x1" speaks for "A"
    And 1.1 s pass for the fleet
    Then no VM is lost

  Scenario: A VM whose object was removed while it was cut off registers again
    Given 2 entry VMs with 1 target
    When the object of "vm2" is removed from the store
    Then the store lists the VMs "vm1, vm2" within 12 s

  Scenario: A VM whose object was removed as it started registers again
    Given an entry VM with 1 target
    When "vm2" starts and its object is removed as soon as it is there
    Then the store lists the VMs "vm1, vm2" within 12 s

  Scenario: A contact of another data centre is replaced while it is silent
    Given VM "vm2" of a fleet with "b:x1, b:x2"
    Then its contacts in "b" take turns
    When "x2" speaks for "b"
    Then its contact in "b" is "x2"

  Scenario: A VM knows how many VMs' digests reach it
    Given VM "vm1" of a fleet with "vm2, vm3, b:x1, b:x2"
    When "vm2" is heard
    And "x2" speaks for "b"
    Then digests of 4 VMs reach it
    When 1.3 s pass for the fleet
    Then digests of 1 VM reach it

  Scenario: A stopped VM leaves no object behind
    Given 2 entry VMs with 1 target
    When the VM "vm2" is stopped
    Then the store lists the VMs "vm1"

  Scenario: Outcomes and usage of each VM reach all others once
    Given 3 VMs of data centre "a" and 2 of "b" that exchange digests
    When "a2" sees a failure of a target and admits 3 requests
    Then every other VM counts 1 failure of it and 3 admitted requests within 1 s

  Scenario: Counts are passed on once while several VMs speak for a data centre
    Given 3 VMs of data centre "a" and 3 of "b" that exchange digests
    And each of them takes itself for the aggregator
    When "a2" sees a failure of a target and admits 3 requests
    Then every other VM counts 1 failure of it and 3 admitted requests within 1 s

  Scenario: Counts that reach a VM that does not speak are passed on
    Given 3 VMs of data centre "a" and 2 of "b" that exchange digests
    And "a2" takes "a3" for the aggregator
    When "a2" sees a failure of a target and admits 3 requests
    Then every other VM counts 1 failure of it and 3 admitted requests within 1 s

  Scenario: Repeats of all VMs together stay within the bound
    Then in any sequence of requests 30 VMs send at most their ratio and extra repeats

  Scenario: VMs that each take the whole extra are caught
    Then 30 VMs that each take the whole extra break the bound

  Scenario: Refused callers come back spread over time and while they can be served
    Then any time to come back is within a third of the time that the caller has left
    And 200 callers that expect room in 0.5 s come back at 50 times

Feature: Duplicate, late and reordered digests do not change the counts of requests and outcomes

  Scenario: Every request and outcome is counted once at every other VM
    Then all 6 VMs in 2 data centres count correctly despite duplicate, late and reordered datagrams

  Scenario Outline: VMs that <variant> fail the test
    Given VMs of a variant that <variant>
    Then some of 6 VMs count wrongly after duplicate, late and reordered datagrams

    Examples:
      | variant                                   |
      | accept each datagram that arrives         |
      | drop datagrams that arrive out of order   |
      | forget numbers after 0.2 s                |

  Scenario: A sequence number is refused if a higher one arrived more than 2 s ago
    Given digests of "vm2" with the numbers 11 to 20 have arrived
    When 2.1 s pass on the virtual clock of the digests
    And a digest of "vm2" with the number 21 arrives
    Then a digest of "vm2" with the number 15 is refused as "backwards"
    And a digest of "vm2" with the number 3 is refused as "backwards"
    And a digest of "vm2" with the number 22 is accepted

  Scenario: A late sequence number is accepted once
    Given digests of "vm2" with the numbers 11 to 20 have arrived
    When 1.5 s pass on the virtual clock of the digests
    Then a digest of "vm2" with the number 9 is accepted
    And a digest of "vm2" with the number 9 is refused as "doubled"

  Scenario: The sequence numbers of a VM begin again when it restarts
    Given digests of "vm2" with the numbers 11 to 20 have arrived
    When 2.1 s pass on the virtual clock of the digests
    And "vm2" restarts
    Then a digest of "vm2" with the number 1 is accepted
    And a digest of "vm2" with the number 1 is refused as "doubled"

  Scenario: Late notices do not override newer ones
    Given digests of "vm2" with the numbers 11 to 20 have arrived
    Then a stop notice of "vm2" with the number 31 is accepted and 1 other VM is known
    And a start notice of "vm2" with the number 30 is refused as "overtaken"
    When "vm2" restarts
    Then a start notice of "vm2" with the number 1 is accepted and 2 other VMs are known
    And a stop notice of the former incarnation with the number 32 is refused as "former_start"

  Scenario: A VM that restarts does not aggregate at once if its notice is lost
    Given digests of "vm1" with the numbers 11 to 20 have arrived at "vm2"
    Then "vm2" uses "vm1" as the aggregator
    When "vm1" restarts
    And a digest of "vm1" with the number 1 arrives
    Then "vm2" uses "vm2" as the aggregator
    When 2.1 s pass on the virtual clock of the digests
    And a digest of "vm1" with the number 2 arrives
    Then "vm2" uses "vm1" as the aggregator

  Scenario: The numbers of many VMs and incarnations take bounded memory
    Given 5000 VMs that start 10 times each and send 3 digests
    Then numbers of at most 1000 VMs, 4 incarnations of each and 2 s are kept

  Scenario: Usage that an aggregator has received is not repeated to the next one
    Given usage that was sent to "vm1"
    Then the next 3 digests to "vm1" repeat it 1, 1 and 0 times
    Given usage that was sent to "vm1"
    Then the next 3 digests to "vm2" repeat it 0, 0 and 0 times

  Scenario: Usage counts once, whichever of the digests that hold it arrive, and in which order
    Then any order and loss of three digests that repeat usage count each unit once

  Scenario: Digests are valid however many their sender has sent
    Then a digest with the usage number 10000000000 and a repeat can be decoded

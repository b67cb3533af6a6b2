Feature: A digest that comes twice, late or out of order changes no count

  Scenario: Every request and outcome counts once at every other VM
    Then doubled, late and reordered datagrams change no count of 6 VMs in 2 data centres

  Scenario Outline: VMs that <variant> are caught
    Given VMs of a variant that <variant>
    Then doubled, late and reordered datagrams change some count of 6 VMs

    Examples:
      | variant                                 |
      | take each datagram that arrives         |
      | take only datagrams with rising numbers |
      | forget numbers after 0.2 s              |

  Scenario: A number that goes back within a start is refused
    Given digests of "vm2" with the numbers 11 to 20 have arrived
    When 2.1 s pass for the digests
    And a digest of "vm2" with the number 21 arrives
    Then a digest of "vm2" with the number 15 is refused as "backwards"
    And a digest of "vm2" with the number 3 is refused as "backwards"
    And a digest of "vm2" with the number 22 is used

  Scenario: A late number is used once
    Given digests of "vm2" with the numbers 11 to 20 have arrived
    When 1.5 s pass for the digests
    Then a digest of "vm2" with the number 9 is used
    And a digest of "vm2" with the number 9 is refused as "doubled"

  Scenario: A new start of a VM begins its numbers anew
    Given digests of "vm2" with the numbers 11 to 20 have arrived
    When 2.1 s pass for the digests
    And "vm2" starts anew
    Then a digest of "vm2" with the number 1 is used
    And a digest of "vm2" with the number 1 is refused as "doubled"

  Scenario: Late notices do not undo later ones
    Given digests of "vm2" with the numbers 11 to 20 have arrived
    Then a stop of "vm2" with the number 31 leaves 1 other VM
    And a start of "vm2" with the number 30 is refused as "overtaken"
    When "vm2" starts anew
    Then a start of "vm2" with the number 1 leaves 2 other VMs
    And a stop of the start before with the number 32 is refused as "former_start"

  Scenario: A VM that starts anew does not speak at once if its notice is lost
    Given digests of "vm1" with the numbers 11 to 20 have arrived at "vm2"
    Then "vm2" takes "vm1" for the aggregator
    When "vm1" starts anew
    And a digest of "vm1" with the number 1 arrives
    Then "vm2" takes "vm2" for the aggregator
    When 2.1 s pass for the digests
    And a digest of "vm1" with the number 2 arrives
    Then "vm2" takes "vm1" for the aggregator

  Scenario: The numbers of many VMs and starts take bounded memory
    Given 5000 VMs that start 10 times each and send 3 digests
    Then numbers of at most 1000 VMs, 4 starts of each and 2 s are kept

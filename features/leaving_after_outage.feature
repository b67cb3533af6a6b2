Feature: Targets whose entries are removed around an outage of the store

  An entry that was removed may have lapsed in an outage, and is then back soon after it.
  A target that left must not be kept for that reason.

  Scenario Outline: A target that leaves once the store is stable gets nothing 2 s later
    Given 3 entry VMs with 2 targets
    When the store <fault> for <length> s and is sound for 3.1 s
    And the entry of the first target is removed
    Then no VM sends it requests 1.9 s later

    Examples:
      | fault            | length |
      | is unavailable   | 1      |
      | is unavailable   | 4.5    |
      | does not respond | 0.6    |
      | does not respond | 2      |
      | does not respond | 4.5    |

  Scenario: A target that leaves while watches are cut gets nothing 2 s later
    Given 3 entry VMs with 2 targets
    When the waiting watches are cut, and the entry of the first target is removed
    Then no VM sends it requests 1.9 s later

  Scenario: A target that leaves while a response is lost gets nothing 2 s later
    Given 3 entry VMs with 2 targets
    When a read of the store is lost, and the entry of the first target is removed
    Then no VM sends it requests 1.9 s later

  Scenario: A target that leaves when another VM takes over polling gets nothing 2 s later
    Given 2 entry VMs with 2 targets
    When the store poller has lost the store and another VM polls it
    And that VM stops and the entry of the first target is removed
    Then the first VM sends it no requests 1.9 s later

  Scenario: All VMs drop an entry that lapsed in an outage though nothing else changes
    Given 3 entry VMs with 2 targets
    When the store is unavailable for 2 s and the entry of the first target lapses
    Then no VM sends it requests 3 s later

  Scenario Outline: The time in which lapsed entries are kept follows from the outage
    Then an entry missing <after> s after an outage of <length> s is <outcome>

    Examples: Heartbeats every 1.5 s, stable after 3 s, calls every 0.5 s in the outage
      | length | after | outcome |
      | 1.0    | 0.1   | dropped |
      | 2.0    | 0.1   | kept    |
      | 4.5    | 2.0   | kept    |
      | 4.5    | 3.0   | dropped |
      | 600    | 2.0   | kept    |
      | 600    | 3.0   | dropped |

  Scenario: No entry is kept once the VM may be in touch, whatever calls failed before
    Then in any sequence of calls no entry is kept beyond the last failed call by 3 s

  Scenario: Windows that count from the first response alone are kept too long
    Then in some sequence a window that counts from the first response lasts beyond 3 s

  Scenario: A VM that was cut off does not bring back a target that has left
    Given 2 entry VMs with 2 targets
    When the entry of the first target is removed
    And both VMs have dropped it
    And another VM sends them a later list that keeps it as lapsed
    Then no VM sends it requests 0 s later

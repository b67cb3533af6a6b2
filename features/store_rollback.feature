Feature: No view returns to an earlier state when the store comes back from an older copy

  The store states its era. Target t1 is in data centre "a" and t2 in "b".

  Scenario: A withdrawn key stays withdrawn, and the version in force
    Given 2 entry VMs whose store was copied
    When the configuration withdraws the key of a caller
    Then every VM refuses the key within 2 s
    When the store comes back from the copy
    Then no VM serves the key or returns to the former version for 2 s

  Scenario Outline: A target that <change> gets nothing until it <return>
    Given 2 entry VMs whose store was copied
    When the first target <change> and all VMs know
    And the store comes back from the copy
    Then no VM sends it requests 1 s later
    When in the new era the first target <return>
    Then all VMs use the first target within 2.5 s

    Examples:
      | change     | return            |
      | is leaving | starts again      |
      | has left   | writes its entry  |
      | has left   | starts again      |

  Scenario: A VM does not take a start that had left from another VM's list
    Given 2 entry VMs whose store was copied
    When the first target has left and all VMs know
    And the store poller forgets this and the store comes back from the copy
    Then the other VM sends the first target nothing while its entry is that of the copy

  Scenario: An entry that the copy lacks is kept until it is written again, or for some time
    Given 2 entry VMs whose store was copied
    When another target "t3" joins and the store comes back from the copy
    Then all VMs use "t3" for 1.5 s and no longer after 4 s

  Scenario: An evacuation that the copy lacks is kept until it is written again, or for some time
    Given 2 entry VMs whose store was copied
    When data centre "b" is evacuated and all VMs know
    And the store comes back from the copy
    Then "b" is evacuated for 1.5 s, and no longer 3 s after the time of 2 s for its return

  Scenario: The store gets few calls although the copy lacks the version in force
    Given 6 entry VMs whose store was copied
    When the configuration withdraws the key of a caller
    Then every VM refuses the key within 2 s
    When the store comes back from the copy
    Then it gets at most 14 readings and 10 lists in 3 s and all VMs list anew

  Scenario: VMs write their own objects again and stay known meanwhile
    Given 3 entry VMs whose store was copied before they registered
    When the store comes back from the copy
    Then the store holds all VMs within 4 s, and each VM knows the others all the time

  Scenario Outline: At a client, <case> is <result>
    Given a client of a store that has stated era 2
    Then the client of eras treats <case> as <result>

    Examples:
      | case                                     | result                              |
      | an answer of era 1                       | a failed call, counted as decreased |
      | an answer of era "two"                   | used, counted as unreadable         |
      | a list of pages of eras 2 and 3          | a failed call, counted as None      |
      | a watch from a revision of era 1         | a lost history without a call       |
      | a watch that is answered in era 3        | a lost history                      |
      | a condition of era 1                     | a conflict without a call           |

  Scenario Outline: An era that <oddity> is logged and counted, and requests are served
    Given 1 entry VMs whose store was copied
    When the answers state the era "<era>" for 1.5 s
    Then the VM has logged and counted an era as "<oddity>"
    And a request is served

    Examples:
      | era | oddity     |
      | two | unreadable |
      | 0   | decreased  |

  Scenario Outline: A list at revision <stated> of another VM is <result> than one at <own>
    Then a status with revision <stated> is <result> than a view at <own>

    Examples:
      | stated | own   | result    |
      | 2:10   | 1:900 | newer     |
      | 1:900  | 2:10  | not newer |
      | 2:11   | 2:10  | newer     |

  Scenario: The store does not confirm a version when a VM has stated a newer one
    Given 1 entry VMs whose store was copied
    When another VM has stated a newer version and the store comes back from the copy
    Then the view is not confirmed for 1.5 s

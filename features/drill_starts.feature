Feature: A VM that starts around a drill believes no configuration of the store's older copy

  The store states its era. Data centres "a" and "b" have two VMs each. Processes that had
  restarted took the copy for the newest configuration and accepted keys that it lacked the
  withdrawal of.

  Scenario Outline: No VM serves a withdrawn key after <ended> end <moment> the return
    Given 2 entry VMs in each data centre whose keys work for 20 s in an outage
    When the configuration withdraws the key of a caller
    Then every VM refuses the key within 2 s
    When <ended> end <moment> the store comes back from the copy and start again
    Then for 3 s no VM serves the key, and <serving>
    When the operator writes the configuration again
    Then all VMs serve the other key within 2 s

    Examples:
      | ended                     | moment   | serving                          |
      | the VMs of "a"            | before   | all VMs serve the other key      |
      | one VM of each            | before   | all VMs serve the other key      |
      | the VMs of "a", then "b"  | after    | all VMs serve the other key      |
      | all VMs                   | before   | VMs that know nothing refuse all |
      | all VMs                   | after    | VMs that know nothing refuse all |

  Scenario: VMs that start while the others are silent serve no withdrawn key
    Given 2 entry VMs in each data centre whose keys work for 20 s in an outage
    When the configuration withdraws the key of a caller
    Then every VM refuses the key within 2 s
    When the VMs of "b" are silent for 4 s
    And the VMs of "a" end before the store comes back from the copy and start again
    Then for 6 s no VM serves the key, and all VMs serve the other key

  Scenario: No VM refuses an added key after the VMs of a data centre end before the return
    Given 2 entry VMs in each data centre whose store was copied
    When the configuration adds a key of a caller
    And the VMs of "b" are silent for 4 s
    And the VMs of "a" end before the store comes back from the copy and start again
    Then for 6 s no VM refuses the added key with 401

  Scenario: All VMs that stop orderly after the return serve no withdrawn key when they start
    Given 2 entry VMs in each data centre whose store was copied
    When the configuration withdraws the key of a caller
    Then every VM refuses the key within 2 s
    When the store comes back from the copy and all VMs are stopped and started
    Then for 3 s no VM serves the key, and VMs that know nothing refuse all

  Scenario: A VM that was cut off since before the withdrawal does not confirm the copy
    Given 2 entry VMs in each data centre whose store was copied
    When the VMs of "b" are cut off for 3 s, in which the key is withdrawn
    And the VMs of "a" end before the store comes back from the copy and start again
    Then for 3 s no VM serves the key later than 5 s after the withdrawal

  Scenario Outline: VMs that start do not use a target that <change> until it <return>
    Given 2 entry VMs in each data centre whose store was copied
    When the first target <change> and all VMs know
    And the VMs of "a" end before the store comes back from the copy and start again
    Then no VM that serves uses the first target for 4 s
    When in the new era the first target <return>
    Then all VMs use the first target within 2.5 s

    Examples:
      | change     | return           |
      | is leaving | starts again     |
      | has left   | writes its entry |

  Scenario: VMs that start keep a target that the copy lacks
    Given 2 entry VMs in each data centre whose store was copied
    And entries return within 6 s
    When another target "t3" joins and all VMs know
    And the VMs of "a" end before the store comes back from the copy and start again
    Then all VMs use "t3" within 3 s

  Scenario: VMs that start keep an evacuation that the copy lacks
    Given 2 entry VMs in each data centre with evacuations whose store was copied
    When all VMs learn that data centre "b" is evacuated
    And the VMs of "a" end before the store comes back from the copy and start again
    Then all VMs treat "b" as evacuated within 4 s, and none that serves does not for 3 s

  Scenario: VMs that start alone serve once the operator has had the time to write again
    Given 2 entry VMs in each data centre whose store was copied
    And the operator has 2 s to write again
    When all VMs end before the store comes back from the copy and start again
    Then all VMs serve the key within 4 s

  Scenario Outline: <vms> that start in <era> serve as soon as without eras
    Given 2 entry VMs in each data centre whose store states <era>
    When <vms> end and start again
    Then all VMs serve the key within 2 s

    Examples:
      | vms            | era                |
      | all VMs        | era 0              |
      | all VMs        | a settled era      |
      | the VMs of "a" | a settled era      |
      | no VMs         | a former era       |

  Scenario: A drill whose copy lacks nothing interrupts no VM
    Given 2 entry VMs in each data centre whose store was copied
    When the store comes back from the copy
    Then for 6 s all VMs serve the key

  Scenario Outline: In an era that began with a view <age> s old, <evidence> is <result>
    Then after an era began with a view <age> s old, <evidence> is <result>

    Examples:
      | age | evidence                              | result           |
      | inf | a reading                             | no confirmation  |
      | 2.5 | a reading                             | no confirmation  |
      | 1.5 | a reading                             | a confirmation   |
      | 1.5 | a reading of an older version         | no confirmation  |
      | inf | a changed reading                     | a confirmation   |
      | inf | a changed reading of an older version | no confirmation  |
      | inf | a reading after 9.9 s                 | no confirmation  |
      | inf | a reading after 10 s                  | a confirmation   |
      | inf | a trusting VM's status                | a confirmation   |
      | inf | a distrusting VM's status             | no confirmation  |
      | inf | a former era's record                 | no confirmation  |
      | inf | the era's record                      | a confirmation   |
      | inf | an unreadable record                  | no confirmation  |
      | inf | an empty store in a former era        | no confirmation  |
      | inf | an empty store in this era            | a confirmation   |

  Scenario: An era that begins before the record is written is not recorded as settled
    Given VMs write the record 3 s after an era is settled
    And 2 entry VMs in each data centre whose store was copied
    When the store comes back from the copy
    Then the store holds no record of the era for 4 s

  Scenario: A record that can't be decoded is logged and replaced
    Given 2 entry VMs in each data centre whose store was copied
    And the operator has 2 s to write again
    When the record of the settled era is garbage and the store comes back from the copy
    Then the store holds the record of the era within 6 s, and its garbage was logged

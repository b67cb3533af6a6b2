Feature: A change of one object leaves all other objects unchanged

  Scenario: The object table agrees with a dictionary, and earlier versions of it do not change
    Then the object table agrees with a dictionary in 200 random histories

  Scenario: A change touches a bounded number of buckets
    Given a configuration of 20000 workspaces
    When one workspace changes, one is added and one is deleted
    Then at most 5 buckets of the table are new

  Scenario: A snapshot is written to the store in parts and read back
    Given a configuration of 20000 workspaces
    When its snapshot is written to the store in parts of at most 50000 bytes
    Then no object of the snapshot in the store is larger than 1000000 bytes
    And the snapshot read back has the same objects

  Scenario: A damaged snapshot is refused as a whole, or all its objects can be decoded
    Given a configuration of 500 workspaces
    Then each of 60 damaged copies of its parts is refused, or all its objects can be decoded

  Scenario: A new VM fetches a large configuration from a peer in parts
    Given a control fleet of 3 VMs in 1 regions whose configuration has 20000 workspaces
    When the store becomes unavailable
    And VM 4 starts with VM 1 as its seed
    Then VM 4 has 20000 workspaces within 5 s

  Scenario: A new VM reads a snapshot and the later changes from the store
    Given a control fleet of 3 VMs in 1 regions
    When 520 workspaces are created in the log
    Then a snapshot is in the store within 5 s
    And a new VM installs the snapshot and the later changes from the store

  Scenario: A table that grows by single additions keeps its buckets small
    Given a configuration of 1 workspaces
    When 3000 workspaces are added one by one
    Then the largest bucket has at most 128 objects

  Scenario: An older or equal snapshot is not installed
    Given a replica at version 9
    Then a snapshot of version 8 is not installed
    And a snapshot of version 9 is not installed
    And a snapshot of version 10 is installed

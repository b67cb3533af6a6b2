Feature: A new version is in force in time although store pollers fail

  VMs of a data centre learn of new versions from one VM, the store poller. The version is
  written just after the poller's last reading, and the pollers fail just before the next one.

  Scenario Outline: A version is in force within 2 s although <count> VMs in turn <fault>
    Given 6 entry VMs with 1 target
    When a version is written and the first <count> VMs <fault> before they have read it
    Then the version is in force at all other VMs within 2 s of its acknowledgement

    Examples:
      | count | fault                                       |
      | 1     | end                                         |
      | 2     | end                                         |
      | 3     | end                                         |
      | 4     | lose the store                              |
      | 1     | are cut off, and return without the store   |
      | 2     | are cut off in one direction                |

  Scenario: A target that leaves gets no requests after 2 s although store pollers fail
    Given 6 entry VMs with 2 targets
    When the first target reports that it leaves and the first 3 VMs end before they know
    Then no other VM sends the first target requests 2 s later

  Scenario: A VM that had lost the store reads a version in time although a response is lost
    Given 3 entry VMs with 1 target
    When the last VM is cut off from the store and the other VMs for 4 s, and reaches the other VMs first
    And its next reading of the store is going to get no response
    And a version is written and the first 2 VMs end before they have read it
    Then the version is in force at all other VMs within 2 s of its acknowledgement

  Scenario: In calm, VMs that rely on the store poller have a recent view
    Given 6 entry VMs with 1 target
    Then no view is older than 1.1 s in 4 s, in which the store gets at most 16 calls

  Scenario: No sequence of replies lets a VM rely on others for too long
    Then in any sequence of replies a VM reads the store in time for a new version

  Scenario Outline: This test detects VMs that count the time from <start>
    Then in some sequence a VM that counts from <start> reads the store too late

    Examples:
      | start                     |
      | the reply                 |
      | the reply if it is recent |

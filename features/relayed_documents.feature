Feature: Configurations and lists of targets of any size between VMs

  VMs fetch what the store poller has read in parts, since a message has a limited size.

  Scenario Outline: A configuration with many keys is in force at all VMs within 2 s
    Given 4 entry VMs with 2 targets
    And a configuration with <keys> keys is in force
    When the configuration moves the routes to another service
    Then every VM sends requests to the other service within 2 s
    And a key that was added then is accepted by every VM
    And only the store poller has read the configuration

    Examples:
      | keys   |
      | 1      |
      | 8800   |
      | 12000  |
      | 33000  |

  Scenario Outline: Changes of a list of many targets reach all VMs within 2 s
    Given 3 entry VMs with 2 targets
    And <count> targets of another service are listed
    When the entry of the first target is removed
    Then no VM sends it requests 1.9 s later
    And every VM knows <count> targets of the other service

    Examples:
      | count |
      | 2500  |
      | 6000  |

  Scenario Outline: A VM that can't fetch a version from other VMs reads the store at once
    Given 4 entry VMs with 2 targets
    When other VMs <fault> when a VM fetches a document
    And the configuration moves the routes to another service
    Then every VM sends requests to the other service within 2 s

    Examples:
      | fault                     |
      | don't respond             |
      | send other bytes          |
      | have dropped the document |

  # Parts of 258 kB did not arrive in 0.5 s over the link that all of them shared, so that
  # all VMs read the store at the same time.
  Scenario Outline: A configuration of 1 MB reaches <vms> VMs over a link of <rate> Mbit/s
    Given <vms> entry VMs with 2 targets and 3 s for a version
    And the first VM sends parts of documents over a link of <rate> Mbit/s
    When a configuration of 1040000 bytes is written
    Then every VM has it within <seconds> s
    And only the store poller has read the configuration

    Examples:
      | vms | rate | seconds |
      | 3   | 10   | 3       |
      | 6   | 20   | 4       |

  Scenario: A VM whose version does not fit the patch fetches the whole configuration
    Given 2 entry VMs with 2 targets
    And a configuration with 12000 keys is in force
    When a VM has another form of the version in force
    And the configuration moves the routes to another service
    Then every VM sends requests to the other service within 2 s
    And only the store poller has read the configuration

  Scenario: A patch makes the new value of the old one, or is refused
    Then any patch makes the new value of the old one, or the digest differs

  Scenario: A patch of a configuration with many keys is small
    Then the patch that moves the routes beside 33000 keys has at most 2000 bytes

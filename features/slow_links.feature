Feature: Large values in the store arrive over slow links

  VMs have links of 5 Mbit/s or more, and a value in the store has up to 1 MB.

  # A call that was given up while its body arrived was made again and again.
  Scenario Outline: A body of <bytes> bytes <framing> at <rate> kB/s gets <result>
    Given a store that sends a body of <bytes> bytes <framing> at <rate> kB/s
    Then a call with a timeout of 0.8 s gets <result> within <seconds> s

    Examples: Bodies that arrive, however long they take
      | bytes    | framing                          | rate  | result   | seconds |
      | 3000000  | with its length                  | 1000  | the body | 4       |
      | 3000000  | with its length and a pause      | 1000  | the body | 5       |
      | 1500000  | in chunks                        | 500   | the body | 4       |

    Examples: Bodies that are endless as far as a VM can tell
      | bytes    | framing                          | rate  | result   | seconds |
      | 20000000 | with its length                  | 1000  | no body  | 1       |
      | 20000000 | in chunks                        | 2000  | no body  | 3       |
      | 3000000  | with its length                  | 50    | no body  | 2.5     |
      | 3000000  | in chunks                        | 50    | no body  | 2.5     |

  # The log stated the same for a store that did not respond and for a slow body.
  Scenario: The failure of a call states how much of the body had arrived
    Given a store that sends a body of 3000000 bytes with its length at 50 kB/s
    Then the failure of a call names the bytes that had arrived

  Scenario Outline: VMs start beside <count> odd <kind> behind links of <rate> Mbit/s
    Given 2 targets and <count> odd <kind> of 1040000 bytes of another writer
    When 2 VMs start behind links of <rate> Mbit/s
    Then all VMs are ready within 15 s of their start
    And all VMs know 2 targets

    Examples:
      | count | kind            | rate |
      | 1     | target entries  | 10   |
      | 2     | target entries  | 5    |
      | 5     | target entries  | 10   |
      | 5     | objects of VMs  | 10   |

  # Each reading of the whole value took 1.7 s, and a change just after its begin waited
  # for the next one: 3.7 s, and longer after a lost response.
  Scenario Outline: A version is in force within 3 s, <condition>
    Given 2 VMs behind links of 5 Mbit/s with a configuration of <bytes> bytes
    When a version is written just after a VM has begun to read, <condition>
    Then the version is in force at all VMs within 3 s

    Examples:
      | condition                                     | bytes   |
      | alone                                         | 1040000 |
      | and the next response is lost                 | 1040000 |
      | while watches miss it and the history is lost | 600000  |

  Scenario: A large configuration leaves the links to requests
    Given 2 VMs behind links of 5 Mbit/s with a configuration of 1040000 bytes
    Then the links carry at most a tenth of their rate in 8 s
    And callers with a key were served by all VMs meanwhile

  Scenario: A VM starts in time beside a large configuration that was written long ago
    Given 2 VMs behind links of 5 Mbit/s with a configuration of 1040000 bytes
    When the store drops its history and a third VM starts behind such a link
    Then all VMs are ready within 15 s of their start
    When a version is written just after a VM has begun to read, alone
    Then the version is in force at all VMs within 3 s

  Scenario: No change that watches miss for up to 5 s stays unknown
    Then after any responses a watch starts between 5 s and 12 s before the last one

  # VMs whose store poller failed read the whole configuration, all at the same time, and
  # filled the link of their region.
  Scenario: VMs that relied on another one do not read the whole configuration again
    Given 4 VMs behind links of 20 Mbit/s
    And a configuration of 1040000 bytes that came from the first VM
    When the first VM ends, as far as others can see
    Then the links of the others carry at most a tenth of their rate in 2 s
    And callers with a key were served by the other VMs meanwhile
    When a version is written just after a VM has begun to read, alone
    Then the version is in force at the other VMs within 3 s

  # VMs began to read a version while their store poller was receiving it.
  Scenario: VMs wait for the store poller while it receives a large configuration
    Given 4 VMs behind links of 4 Mbit/s
    And a configuration of 1040000 bytes that came from the first VM
    Then the other VMs have read at most 200000 bytes meanwhile

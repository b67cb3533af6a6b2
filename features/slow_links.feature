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

  Scenario Outline: VMs start beside <count> odd entries behind links of <rate> Mbit/s
    Given <count> odd entries of 1040000 bytes among those of 2 targets
    When 2 VMs start behind links of <rate> Mbit/s
    Then all VMs are ready within 15 s of their start
    And all VMs know 2 targets

    Examples:
      | count | rate |
      | 1     | 10   |
      | 2     | 5    |
      | 5     | 10   |

Feature: A value that another writer left in the store costs nothing but itself

  An odd entry stands among those of the targets. The VMs that read the list must not end,
  stop following it or use the entry as a target.

  Scenario Outline: The other entries hold beside an entry with <oddity>
    Given an entry VM with 2 targets
    When another writer leaves an entry with <oddity> among those of the targets
    And a third target is listed and the first one is unlisted
    Then the VM knows the second and the third target
    And a VM that starts now knows the second and the third target
    And no background task of a VM has failed
    When a caller sends 4 times GET /lookup/1
    Then the caller gets 200 and the whole body each time

    Examples:
      | oddity                       |
      | a number of 1e400            |
      | an integer of 5,000 digits   |
      | a lone surrogate             |
      | a nesting of 3,000 arrays    |
      | a nesting of 100,000 arrays  |
      | a nesting of 30,000 objects  |
      | bytes that are no UTF-8      |
      | a host of 70,000 characters  |
      | a host name                  |
      | port 0                       |
      | port 65536                   |
      | port 99999999999             |
      | 10000000000000000000 slots   |
      | -1 slots                     |
      | 0 slots                      |
      | 1e308 s of cold start        |
      | -5 s of cold start           |
      | an empty service             |
      | an unknown data centre       |
      | a birth of -1 ms             |
      | a birth of 1e300 ms          |
      | another state                |
      | null as its value            |
      | no text as its version       |
      | no number as its sequence    |
      | no version                   |
      | no sequence number           |
      | no time as cold              |
      | no slots                     |
      | no data centre               |

  Scenario: An entry that was valid and turns odd is no longer used and logged once
    Given an entry VM with 2 targets
    When the entry of the first target gets a number of 1e400
    And the store's history is lost 3 times
    Then the VM knows the second target alone
    And the log of the VM has 1 line "entry-skipped"
    When the first target is listed again
    Then the VM knows both targets

  Scenario Outline: An odd value does not hide the others of a page, decoded <way>
    Then <result> value of any page with odd values is lost when it is decoded <way>

    Examples:
      | way                | result      |
      | one by one         | no valid    |
      | as a whole         | some valid  |

  Scenario: Splitting a document takes a time that is linear in its length
    Given documents of quotes, backslashes and brackets with 500000 and 4000000 bytes
    Then the longer one takes at most 24 times as long to split

  Scenario: A configuration with an odd value leaves the one in force
    Given an entry VM with 2 targets
    When the configuration gets a number of 1e400
    And the configuration gets a nesting of 3,000 arrays
    And the configuration gets a version of 5,000 digits
    And a caller sends 4 times GET /lookup/1
    Then the caller gets 200 and the whole body each time
    And no background task of a VM has failed

  Scenario: An odd object of a VM does not hide the other VMs
    Given 2 entry VMs with 1 target
    When another writer leaves odd objects among those of the VMs
    Then a VM that starts now knows 3 VMs

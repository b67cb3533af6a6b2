Feature: Entry VMs follow the store, and refuse keys once their view of it is too old

  Scenario: A view that a peer confirms has the stated age plus the time since the request
    Given a view that was confirmed 3 s ago
    When another VM confirms the same version with an age of 2 s, queried 0.5 s ago
    Then the view is 2.5 s old

  Scenario: A late status does not make a view look more recent
    Given a view that was confirmed 1 s ago
    When another VM confirms the same version with an age of 2 s, queried 4 s ago
    Then the view is 1 s old

  Scenario: A status with an older version confirms nothing
    Given a view that was confirmed 3 s ago
    When another VM confirms an older version with an age of 0 s, queried 0.1 s ago
    Then the view is 3 s old

  Scenario: Keys are refused before their view is as old as the limit for withdrawn keys
    Given a view that was confirmed 4.5 s ago
    Then its keys are refused
    Given a view that was confirmed 4.3 s ago
    Then its keys are accepted

  Scenario: No sequence of responses and statuses lets a withdrawn key be accepted too long
    Then in any sequence of late responses and statuses no withdrawn key is accepted for too long

  Scenario Outline: This test detects views that count their age from <start>
    Then in some sequence views that count their age from <start> accept a withdrawn key for too long

    Examples:
      | start                  |
      | the response           |
      | the received status    |

  Scenario: A configuration is not replaced by an older version
    Given a view with version 7
    When version 5 arrives
    Then version 7 is in force

  Scenario: VMs rely on their store poller, and on the store when that VM has stopped
    Given 3 entry VMs with 1 target
    Then the store gets at most 12 calls in 3 s
    When the store poller is stopped
    And the configuration withdraws the key of a caller
    Then every VM refuses the key within 2 s

  Scenario: A withdrawn key stops working at all VMs within 2 s
    Given 3 entry VMs with 1 target
    When the configuration withdraws the key of a caller
    Then every VM refuses the key within 2 s

  Scenario: Keys stop working while the store is unavailable, and work again after
    Given 2 entry VMs with 1 target
    When the store is unavailable for 5.5 s
    Then every VM refuses keys with 503, serves open routes and is not ready
    When the store responds again
    Then every VM serves within 2 s

  Scenario: Keys stop working while the store does not respond, and work again after
    Given 2 entry VMs with 1 target
    When the store does not respond for 6.5 s
    Then every VM refuses keys with 503, serves open routes and is not ready
    When the store responds again
    Then every VM serves within 2 s

  Scenario: Keys are refused as soon as a VM has been suspended for too long
    Given 1 entry VMs with 1 target
    When the store is unavailable
    Then a request with a key gets 200
    When the VM was suspended for 5 s, in which its monotonic clock stood still
    Then a request with a key gets 503

  Scenario: A request whose key is withdrawn before its body ends reaches no target
    Given 1 entry VMs with 1 target
    When a caller starts POST /order/1 and its key is withdrawn before the body ends
    Then the request is refused and no target received it

  Scenario: Stale reads of the store confirm no key and hide no target
    Given 2 entry VMs with 1 target
    When serializable reads of the store return an old state
    And another target joins
    And the configuration withdraws the key of a caller
    Then every VM refuses the key within 2 s
    And every VM knows 2 targets within 2 s

  Scenario: A VM whose calls the store rejects follows the other VMs
    Given 3 entry VMs with 1 target
    When the store rejects all calls of the store poller
    And the configuration withdraws the key of a caller
    Then every VM refuses the key within 2 s
    And no VM refuses keys because its view is old

  Scenario: An unavailable store receives few calls
    Given 5 entry VMs with 1 target
    When the store is unavailable for 6 s
    Then it received at most 60 calls meanwhile
    When the store responds again
    Then every VM serves within 2 s

  Scenario: One VM polls the store for the VMs whose calls the store rejects
    Given 4 entry VMs with 1 target
    When the store rejects all calls of the store poller
    Then the store gets at most 14 calls in 3 s

  Scenario: A leaving target receives no new requests after 2 s
    Given 3 entry VMs with 2 targets
    When the first target reports that it leaves
    Then no VM sends it requests 2 s later

  Scenario: A target without an entry is dropped at once while the store is available
    Given 1 entry VMs with 2 targets
    When the entry of the first target is removed
    Then no VM sends it requests 0.5 s later

  Scenario: Entries that lapsed in an outage of the store are used until 2 s after it ended
    Given 1 entry VMs with 2 targets
    When the store is unavailable for 2 s and the entry of the first target lapses
    Then the target is still listed 1 s after the store's return
    And no VM sends it requests 3.5 s later

  Scenario: A VM lists the targets again when the store has dropped their history
    Given 1 entry VMs with 1 target
    When watches report nothing for 1 s while a target joins and the history is dropped
    Then every VM knows 2 targets within 2 s

  Scenario: Invalid entries are skipped and affect no other entry
    Given 1 entry VMs with 1 target
    When entries with wrong types, with missing fields or without a JSON object appear
    Then every VM knows 1 targets within 2 s
    And a request is served

  Scenario: An invalid configuration changes nothing
    Given 1 entry VMs with 1 target
    When a configuration of the wrong type appears
    Then a request is served

  Scenario: A changed settings file is applied, and an invalid one changes nothing
    Given an entry VM as a process with a settings file
    When the file states 3 s for withdrawn keys and the process gets SIGHUP
    Then its log states that the settings were applied with 3 s
    When the file is replaced by invalid TOML without a signal
    Then its log states that the settings were refused
    And the process still responds

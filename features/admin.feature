Feature: Operators manage the fleet through the administration API

  Background:
    Given a fleet with 1 targets and 2 daemons for operators

  Scenario: A workspace created on the command line is served until its key is withdrawn
    When the operator runs "set workspace lab rate=100 burst=50"
    Then the command exits with code 0
    When the operator issues a key for "lab"
    Then the key of "lab" is accepted by "vm1" and "vm2" within 2 s
    When the operator withdraws the key of "lab"
    Then the key of "lab" is refused by "vm1" and "vm2" within 5 s
    And no response or event shows the secret of "lab"

  Scenario: A lost update is refused as a conflict
    When the operator runs "set workspace shop rate=10 --expected-version 1"
    Then the command exits with code 3
    And its output contains "change-conflict"
    And the workspace "shop" has the rate 1000

  Scenario: Two operators who race on one object do not overwrite each other
    When 6 operators change the workspace "shop" at the same version through both VMs
    Then exactly 1 of the changes is accepted and the others are conflicts

  Scenario: Operators who race on different objects all succeed
    When 6 operators create different workspaces at the same time through both VMs
    Then exactly 6 of the changes are accepted

  Scenario Outline: A command repeated with the same operation id has no second effect
    When the operator repeats "<command>" with one operation id
    Then the command exits with code 0
    And the configuration grew by 1 change

    Examples:
      | command                     |
      | set workspace lab rate=5 burst=5 |
      | set workspace shop rate=7   |
      | give-key shop               |

  Scenario: A command repeated after a lost response of the store finds its change
    Given the store loses the responses to all writes
    When the operator repeats "set workspace lab rate=5 burst=5" with one operation id
    Then the command exits with code 0
    And the configuration grew by 1 change

  Scenario: A deleted object can be created again
    When the operator runs "set preset spare floor=0.5"
    And the operator runs "delete preset spare"
    And the operator runs "set preset spare floor=0.4"
    Then the command exits with code 0

  Scenario: A dry run checks and changes nothing
    When the operator runs "set workspace lab rate=5 burst=5 --dry-run"
    Then the command exits with code 0
    And the configuration grew by 0 changes

  Scenario: A store outage is reported as not reachable
    Given the store has an outage
    When the operator runs "set workspace lab rate=5 burst=5"
    Then the command exits with code 4
    And its output contains "store-unavailable"

  Scenario: Exactly one preset is in force and it cannot be deleted
    When the operator runs "set preset peak floor=0.7"
    And the operator runs "use-preset peak"
    Then the preset "peak" is in force on "vm1" and "vm2" within 2 s
    When the operator runs "delete preset peak"
    Then the command exits with code 2
    And its output contains "the preset is in force"

  Scenario: A credential allows only the calls of its role
    Then each call with a credential gets the stated response
      | method | path                      | credential | status | type                 |
      | GET    | objects/workspace         | reader     | 200    |                      |
      | PUT    | objects/workspace/lab     | reader     | 403    | credential-read-only |
      | POST   | workspaces/shop/keys      | reader     | 403    | credential-read-only |
      | GET    | objects/workspace         | wrong      | 401    | credential-refused   |
      | GET    | status                    | missing    | 401    | credential-refused   |

  Scenario: Invalid input gets an error that names its type and changes nothing
    Then each call with a body gets the stated response
      | method | path                  | body                                                                     | status | type              |
      | PUT    | objects/workspace/lab | {                                                                        | 400    | request-invalid   |
      | PUT    | objects/workspace/lab | {"operation_id":"abcdefgh"}                                              | 400    | request-invalid   |
      | PUT    | objects/workspace/lab | {"operation_id":"abcdefgh","expected_version":0}                         | 400    | request-invalid   |
      | PUT    | objects/workspace/lab | {"operation_id":"abcdefgh","expected_version":0,"body":{"name":"lab"}}   | 422    | change-invalid    |
      | PUT    | objects/workspace/lab | {"operation_id":"abcdefgh","expected_version":0,"body":{"name":"x","rate":1,"burst":1}} | 400 | request-invalid |
      | PUT    | objects/route/r1      | {"operation_id":"abcdefgh","expected_version":0,"body":{"name":"r1","path_prefix":"/r","service":"none"}} | 422 | reference-invalid |
      | PUT    | objects/key/k1        | {"operation_id":"abcdefgh","expected_version":0,"body":{}}               | 405    | method-refused    |
      | PUT    | objects/nothing/x     | {"operation_id":"abcdefgh","expected_version":0,"body":{}}               | 404    | not-found         |
      | DELETE | objects/service/search | {"operation_id":"abcdefgh","expected_version":1}                        | 422    | reference-invalid |
      | DELETE | objects/workspace/lab | {"operation_id":"abcdefgh","expected_version":0}                         | 404    | not-found         |
      | POST   | workspaces/none/keys  | {"operation_id":"abcdefgh"}                                              | 422    | reference-invalid |
      | POST   | keys/none/withdrawal  | {"operation_id":"abcdefgh"}                                              | 404    | not-found         |
      | GET    | objects/workspace?limit=x | {}                                                                   | 400    | request-invalid   |
    And the configuration grew by 0 changes

  Scenario: Pages cover every object exactly once
    When the operator creates 7 workspaces
    And the workspaces are read in pages of 3
    Then the pages hold every workspace exactly once

  Scenario: The audit names author, operation id and time of a change
    When the operator runs "set workspace lab rate=5 burst=5 --operation-id audited-1"
    Then the audit entry of operation "audited-1" names the operator and a time

  Scenario: The status names the version in force, readiness and the store
    When the operator runs "status"
    Then the command exits with code 0
    And its output contains "configuration.version"
    And its output contains "readiness.ready"
    And its output contains "store.reachable"

  Scenario: The fleet's status names the version on each VM and the VMs that do not reply
    Given the list of entry VMs also names "vm7", which does not run
    When the operator runs "fleet --json"
    Then the command exits with code 0
    And "vm1" and "vm2" report the version in force and "vm7" does not reply

  Scenario: An unexpected error is logged and gets an error type without internals
    Given the kernel service "listing" of "vm1" is broken
    When the operator runs "targets"
    Then the command exits with code 1
    And its output contains "internal-error"
    And its output does not contain "NoneType"
    And the events file holds event 1004 within 2 s

  Scenario: A command to an address without a daemon exits with code 4
    When the operator runs "status --url http://127.0.0.1:9"
    Then the command exits with code 4

  Scenario: The administration API and the callers' listener serve TLS
    Given a daemon "tls1" with a certificate for its address
    When the operator runs "status" on "tls1" with the certificate's authority
    Then the command exits with code 0
    When the operator runs "status" on "tls1" without the certificate's authority
    Then the command exits with code 4
    And a caller who trusts the authority gets status 200 from "tls1" over TLS

Feature: A claimed operation runs at most once

  A schedule is a random series of requests and faults for 3 simulated VMs on a virtual
  clock.

  Scenario: No operation runs twice in any explored schedule
    When 200 schedules of the claims protocol are explored with seed 1
    Then every schedule passed its checks

  Scenario Outline: The exploration catches a broken variant of the claim protocol
    runs-are-released: an operation that ran is released and its outcome not recorded.
    slots-are-overwritten: changes of a slot by other VMs are overwritten.
    writes-are-trusted: a write without a response is treated as one that took effect.

    When 600 schedules of the claims protocol are explored with seed 1 and "<variant>"
    Then a schedule failed its checks

    Examples:
      | variant               |
      | runs-are-released     |
      | slots-are-overwritten |
      | writes-are-trusted    |

  Scenario: Claims of the same slot share a write
    When 60 operations are claimed at once through 3 VMs
    Then all are granted with at most 12 writes

  Scenario: A slot that grows too large is split
    When 60 operations are claimed at once through 3 VMs with small slots
    Then every operation is in exactly one open slot and no slot exceeds 2000 bytes

  Scenario: A claim that is committed after its operation was released does not block the operation
    When a claim is committed after its attempt and the one that held the operation released it
    Then the operation can be claimed

  Scenario: A claim refused while the store is unavailable does not block the operation
    When an operation is claimed while the store is unavailable
    Then the claim is refused and a later attempt gets it

  Scenario: Entries older than the retention are removed
    When an operation is recorded and the retention passes
    Then its slot no longer contains it

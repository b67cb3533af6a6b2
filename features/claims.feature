Feature: An operation that must not repeat runs at most once

  Scenario: No operation runs twice on explored schedules
    When 200 schedules of the claims protocol are explored with seed 1
    Then every schedule held

  Scenario Outline: The exploration catches a broken variant of the claim protocol
    When 600 schedules of the claims protocol are explored with seed 1 and "<variant>"
    Then a schedule failed

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
    Then every operation has one place in an open slot and no slot exceeds 2000 bytes

  Scenario: A request that its committer handles late does not block the operation
    When a committer gets a request after its attempt gave up and the holder released
    Then the operation can be claimed

  Scenario: Without the store a claim is refused and the attempt never holds it
    When an operation is claimed while the store is unavailable
    Then the claim is refused and a later attempt gets it

  Scenario: Entries older than the retention are removed
    When an operation is recorded and the retention passes
    Then its slot no longer holds it

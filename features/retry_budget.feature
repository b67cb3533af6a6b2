Feature: Retries and hedges stay within a share of recent successes

  Scenario: No sequence of successes and failures exceeds the retry budget
    Then in any sequence retries stay within a tenth of the successes and one second

  Scenario: Unused retries expire without successes
    Given a retry budget that earned 3 retries
    When 11 seconds pass without a success
    Then no retry is granted

  Scenario: A hedge starts after the measured quantile
    Given latencies of 1 to 100 ms
    Then the hedge delay is between 90 and 100 ms

  Scenario: No hedge starts without free slots
    Given latencies of 1 to 100 ms
    When no slot is free
    Then there is no hedge delay

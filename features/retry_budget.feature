Feature: Retries and hedges stay within a fraction of the recent successes

  Scenario: No sequence of successes and failures exceeds the retry budget
    Then in any sequence retries stay within a tenth of the successes plus the saved retries

  Scenario: Unused retries expire when there are no successes
    Given a retry budget with 3 saved retries
    When 11 seconds pass without a success
    Then no retry is granted

  Scenario: A hedge is sent after a high quantile of the recent latencies
    Given latencies of 1 to 100 ms
    Then the hedge delay is between 90 and 100 ms

  Scenario: No hedge is sent without free slots
    Given latencies of 1 to 100 ms
    When no slot is free
    Then there is no hedge delay

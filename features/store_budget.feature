Feature: The fleet stays within the store's limits

  Scenario: Daemons that want more calls than the store allows share its rate
    Given a store that allows 200 calls per second
    When 10 daemons each want 60 reads per second for 1.5 s
    Then at least 60% of the allowed calls are answered
    And at most 10% of the calls are refused by the store

  Scenario: One busy daemon may use what the others leave
    Given a store that allows 200 calls per second
    When 1 of 10 daemons wants 100 reads per second for 1.5 s
    Then at least 40% of the allowed calls are answered

  Scenario: A call that hangs ends at its limit
    Given a store that never answers
    Then a read fails within 1 s

Feature: The fleet stays within the store's limits

  Scenario: Daemons that demand more calls than the store allows share its rate
    Given a store that allows 200 calls per second
    When 10 daemons each demand 60 reads per second for 1.5 s
    Then at least 60% of the allowed calls succeed
    And at most 10% of the calls are refused by the store

  Scenario: One busy daemon may use the rate that the others leave unused
    Given a store that allows 200 calls per second
    When 1 of 10 daemons demands 100 reads per second for 1.5 s
    Then at least 40% of the allowed calls succeed

  Scenario: A call to an unresponsive store times out
    Given a store that never responds
    Then a read fails within 1 s

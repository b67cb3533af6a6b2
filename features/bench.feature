Feature: The latency benchmark reports what it measured

  Scenario: A short run compares the daemon with direct access and a pass-through
    When the benchmark runs for 1 s at 30 requests per second
    Then its figures cover "daemon over direct" and "passthrough over direct"
    And the daemon served all of at least 15 requests

  Scenario: A run that exceeds the bound of added latency or fails requests is reported as missed
    Then a benchmark run with 4.0 ms added and 0 failures is met
    And a benchmark run with 5.0 ms added and 0 failures is missed
    And a benchmark run with 4.0 ms added and 1 failures is missed

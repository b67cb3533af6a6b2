Feature: Retries and hedges stay within their budget and hide single failures

  Scenario: Without a budget an upstream's error response is forwarded
    Given 1 targets behind relays and 1 daemon
    And the preset "no-retries" is in force
    And 5 requests have opened connections
    And target "target1" has the faults {"error_share": 1.0}
    When 1 callers fetch "/find/item"
    Then the response has status 500
    And the upstreams received 6 requests

  Scenario: With a budget a request with an error response is retried
    Given 1 targets behind relays and 1 daemon
    And 5 requests have opened connections
    And target "target1" has the faults {"error_share": 1.0}
    When 1 callers fetch "/find/item"
    Then the response has status 500
    And the upstreams received 8 requests

  Scenario: A late request is hedged on another target and the slower attempt is cancelled
    Given 2 targets behind relays and 1 daemon
    And 120 requests to "/quick/warm" were answered, 4 at a time
    And target "target1" has the faults {"extra_delay_s": 3.0}
    And the events of the daemon are recorded
    When 4 callers fetch "/quick/item" at once
    Then all responses name the path "/quick/item" and arrive within 1.5 s
    And the daemon emitted "request-hedged"
    And target "target1" cancelled an attempt

  Scenario: A request of an at-most-once route is never hedged or retried after it was sent
    Given 2 targets behind relays and 1 daemon
    And 20 requests have opened connections
    And target "target1" has the faults {"silent_share": 1.0}
    And target "target2" has the faults {"silent_share": 1.0}
    When a caller sends an at-most-once request with operation "o1" through "vm1"
    Then all responses are the refusal "upstream-failed" with status 504 and ran "unknown"
    And the operation "o1" ran 1 time

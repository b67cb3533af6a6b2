Feature: A refusal states correctly whether the request ran

  An order is an at-most-once request, POST /order.

  Scenario: An order that reached no target did not run and may be repeated
    Given 2 targets behind relays and 2 daemons
    And the relay of "target1" is stopped
    And the relay of "target2" is stopped
    When a caller sends an at-most-once request with operation "o1" through "vm1"
    And a caller sends an at-most-once request with operation "o1" through "vm2"
    Then all responses are the refusal "upstream-failed" with status 502 and ran "no"
    And the operation "o1" ran 0 time

  Scenario: An order whose response was lost may have run and is not sent again
    Given 2 targets behind relays and 2 daemons
    And the connections to "target1" are closed before the response
    And the connections to "target2" are closed before the response
    When a caller sends an at-most-once request with operation "o1" through "vm1"
    Then all responses are the refusal "upstream-failed" with status 502 and ran "unknown"
    When a caller sends an at-most-once request with operation "o1" through "vm2"
    Then the response is the refusal "operation-in-doubt" with status 409 and ran "unknown"
    And the operation "o1" ran 1 time

  Scenario: An order that a target shed without running it is sent to another target
    Given 2 targets behind relays and 1 daemon
    And 10 requests have opened connections
    And target "target1" has the faults {"draining": true}
    When a caller sends an at-most-once request with operation "o1" through "vm1"
    And a caller sends an at-most-once request with operation "o2" through "vm1"
    And a caller sends an at-most-once request with operation "o3" through "vm1"
    Then all responses name the path "/order" and arrive within 1 s
    And the operation "o1" ran 1 time
    And the operation "o2" ran 1 time
    And the operation "o3" ran 1 time

  Scenario: An order that every target shed did not run
    Given 1 targets behind relays and 1 daemon
    And target "target1" has the faults {"draining": true}
    When a caller sends an at-most-once request with operation "o1" through "vm1"
    Then all responses are the refusal "upstream-shed" with status 503 and ran "no"
    And the operation "o1" ran 0 time

  Scenario: The order of a caller that left runs once and its outcome is recorded
    Given 1 targets behind relays and 2 daemons
    And target "target1" has the faults {"extra_delay_s": 0.3}
    When a caller disconnects 0.1 s after an upstream got its POST "/order"
    And 0.5 s pass
    And a caller sends an at-most-once request with operation "left" through "vm2"
    Then all responses name the path "/order" and arrive within 0.2 s
    And the operation "left" ran 1 time

  Scenario: A caller that leaves cancels its idempotent request at the upstream
    Given 1 targets behind relays and 1 daemon
    And target "target1" has the faults {"extra_delay_s": 5.0}
    When a caller disconnects 0.1 s after an upstream got its GET "/find/item"
    Then target "target1" cancelled 1 request within 0.5 s

  Scenario: The remaining deadline reaches the upstream and ends the request
    Given 1 targets behind relays and 1 daemon
    And target "target1" has the faults {"extra_delay_s": 0.7, "heeds_deadline": false}
    When a caller fetches "/find/item" with the header "x-request-deadline-ms: 200"
    Then all responses are the refusal "deadline-exceeded" with status 504 and ran "unknown"
    And an upstream saw a deadline of at most 200 ms
    And target "target1" cancelled 1 request within 0.3 s

  Scenario: A request whose deadline has passed already does not run
    Given 1 targets behind relays and 1 daemon
    When a caller fetches "/find/item" with the header "x-request-deadline-ms: 0"
    Then all responses are the refusal "deadline-exceeded" with status 504 and ran "no"
    And no upstream ran a request

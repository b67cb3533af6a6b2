Feature: Unresponsive, failed and old connections to targets affect no request

  Scenario: An idempotent request on an unresponsive old connection succeeds
    Given 1 targets behind relays and 1 daemon
    And 5 requests have opened connections
    When 0.4 s pass
    And all open connections become unresponsive
    And 3 callers fetch "/find/item"
    Then all responses name the path "/find/item" and arrive within 0.6 s
    And "target1" has 1 open connections

  Scenario: An at-most-once request uses no old connection
    Given 1 targets behind relays and 1 daemon
    And 5 requests have opened connections
    When 0.4 s pass
    And all open connections become unresponsive
    And a caller sends an at-most-once request with operation "o1" through "vm1"
    Then all responses name the path "/order" and arrive within 0.6 s
    And the operation "o1" ran 1 time

  Scenario: Connections that are idle for too long are closed
    Given 1 targets behind relays and 1 daemon
    And 5 requests have opened connections
    When 2.3 s pass
    Then "target1" has 0 open connections

  Scenario: A VM opens no more than its share of a target's connections
    Given 1 targets behind relays and 1 daemon
    And target "target1" has the faults {"extra_delay_s": 0.1}
    When 30 callers fetch "/find/item" at once
    Then "target1" never had more than 8 open connections

  Scenario: An idempotent request is retried when a target is unreachable
    Given 2 targets behind relays and 1 daemon
    And the relay of "target1" is stopped
    When 10 callers fetch "/find/item"
    Then all responses name the path "/find/item" and arrive within 1 s

  Scenario: An idempotent request is retried when a target responds with an error
    Given 2 targets behind relays and 1 daemon
    And 20 requests have opened connections
    And each target has the faults {"error_share": 1.0, "strikes": 1}
    When 3 callers fetch "/find/item"
    Then all responses name the path "/find/item" and arrive within 1 s

  Scenario: An idempotent request is retried when a target does not respond
    Given 2 targets behind relays and 1 daemon
    And 20 requests have opened connections
    And each target has the faults {"silent_share": 1.0, "strikes": 1}
    When 3 callers fetch "/find/item" at once
    Then all responses name the path "/find/item" and arrive within 2.5 s

  Scenario: A VM closes the connections that its callers have closed
    Given 1 targets behind relays and 1 daemon
    When 20 callers close their connections, half of them after a request
    And 0.3 s pass
    Then "vm1" has no connection that only its caller closed

  Scenario: An upload that cannot be sent again uses no old connection
    Given 1 targets behind relays and 1 daemon
    And 5 requests have opened connections
    And target "target1" has the faults {"extra_delay_s": 0.4}
    When 0.4 s pass
    And a caller uploads 500000 bytes
    Then the upload arrived whole

  Scenario: A caller's short deadline is no evidence against a target
    Given 1 targets behind relays and 1 daemon
    And target "target1" has the faults {"extra_delay_s": 0.3}
    And the observations of the daemon are recorded
    When a caller fetches "/find/item" with the header "x-request-deadline-ms: 100"
    Then all responses are the refusal "deadline-exceeded" with status 504 and ran "unknown"
    And the daemon observed nothing

  Scenario: A target that exceeds the route's deadline is observed as a timeout
    Given 1 targets behind relays and 1 daemon
    And target "target1" has the faults {"extra_delay_s": 0.7}
    And the observations of the daemon are recorded
    When 1 callers fetch "/brief/item"
    Then all responses are the refusal "deadline-exceeded" with status 504 and ran "unknown"
    And the daemon observed "timeout"

  Scenario: An internal error is not reported as "not run"
    Given 1 targets behind relays and 1 daemon
    And the dispatcher of the daemon is broken
    When 1 callers fetch "/find/item"
    Then all responses are the refusal "internal-error" with status 500 and ran "unknown"

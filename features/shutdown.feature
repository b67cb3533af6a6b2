Feature: A planned stop interrupts no request

  The drain delay is the time in which a stopping daemon is not ready but still accepts
  connections.

  Scenario: A request in flight and a download finish during a stop
    Given 1 targets and a daemon whose drain delay is 0.3 s
    And target "target1" has the faults {"extra_delay_s": 0.6, "part_delay_s": 0.2}
    When the daemon stops while callers fetch "/find/item" and "/doc/sheet?size=300000"
    Then every caller received a complete response
    And the daemon stopped within 3 s

  Scenario: A VM is not ready before it refuses connections
    Given 1 targets and a daemon whose drain delay is 0.5 s
    When the daemon stops
    And 0.1 s pass
    Then the daemon is not ready because of "draining"
    And its health address reports "draining"
    And a request is answered with the header "connection: close"
    When 0.7 s pass
    Then a new connection is refused

  Scenario: An idle connection does not delay a stop
    Given 1 targets and a daemon whose drain delay is 0.1 s
    And 1 requests have opened connections
    When the daemon stops
    Then the daemon stopped within 1 s

  Scenario: A caller detects that its request was cancelled at the end of the drain
    Given 1 targets and a daemon whose drain delay is 0.1 s
    And target "target1" has the faults {"part_delay_s": 2.0}
    When the daemon stops while callers fetch "/doc/sheet?size=300000" and "/find/item"
    Then exactly one caller received a broken response
    And the daemon stopped within 5 s

  Scenario: A VM without a configuration refuses requests and is not ready
    Given 1 targets and a daemon whose drain delay is 0.0 s
    When a daemon without a configuration starts
    Then the daemon is not ready because of "not-configured"
    And a request is refused as "not-ready" with status 503

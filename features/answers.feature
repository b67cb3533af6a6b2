Feature: Every caller receives the complete response to its own request

  Scenario: Downloads that are cut off are resumed on another target
    Given 2 targets behind relays and 1 daemon
    And each target has the faults {"cut_share": 1.0, "strikes": 3}
    When 4 callers fetch "/doc/sheet?size=900000"
    Then all responses are complete documents of 900000 bytes
    And an upstream saw the header "if-range"

  Scenario: Downloads that stall are resumed on another target
    Given 2 targets behind relays and 1 daemon
    And each target has the faults {"stall_share": 1.0, "strikes": 2}
    When 6 callers fetch "/doc/sheet?size=900000" at once
    Then all responses are complete documents of 900000 bytes

  Scenario: A range that a caller requested is resumed within its bounds
    Given 1 targets behind relays and 1 daemon
    And target "target1" has the faults {"cut_share": 0.7, "seed": 3}
    When a caller fetches "/doc/sheet?size=900000" with the header "range: bytes=100000-699999"
    Then the response is bytes 100000 to 699999 of the document

  Scenario: A cut-off download is not resumed with another version of the document
    Given 2 targets behind relays and 1 daemon
    And target "target1" has the faults {"cut_share": 1.0, "tag": "\"v1\""}
    And target "target2" has the faults {"cut_share": 1.0, "tag": "\"v2\""}
    When 2 callers fetch "/doc/sheet?size=300000"
    Then every caller detects that its response is incomplete

  Scenario: Two versions of a document are not mixed when targets ignore If-Range
    Given 2 targets behind relays and 1 daemon
    And target "target1" has the faults {"cut_share": 1.0, "strikes": 1, "heeds_if_range": false}
    And target "target2" has the faults {"cut_share": 1.0, "strikes": 1, "tag": "\"v2\"", "shift": 7, "heeds_if_range": false}
    When 1 callers fetch "/doc/sheet?size=300000"
    Then the response is one unmixed version of the document of 300000 bytes, the other version shifted by 7

  Scenario: A caller detects a cut-off response without a stated length
    Given 1 targets behind relays and 1 daemon
    And target "target1" has the faults {"cut_share": 1.0}
    When 2 callers fetch "/docs-page?size=300000&chunked=1"
    Then every caller detects that its response is incomplete

  Scenario: A caller detects a cut-off download without a strong entity tag
    Given 1 targets behind relays and 1 daemon
    And target "target1" has the faults {"cut_share": 1.0, "tag": "W/\"v1\""}
    When 2 callers fetch "/doc/sheet?size=300000"
    Then every caller detects that its response is incomplete

  Scenario: A slow download that makes progress may exceed the route's deadline
    Given 1 targets behind relays and 1 daemon
    And target "target1" has the faults {"part_delay_s": 0.2}
    When 1 callers fetch "/doc/sheet?size=600000"
    Then all responses are complete documents of 600000 bytes

  Scenario: A short response that is cut off is retried before the caller receives any of it
    Given 2 targets behind relays and 1 daemon
    And 20 requests have opened connections
    And each target has the faults {"cut_share": 1.0, "strikes": 1}
    When 3 callers fetch "/docs-page?size=3000"
    Then all responses are complete documents of 3000 bytes

  Scenario: A caller detects a long cut-off response that cannot be resumed
    Given 1 targets behind relays and 1 daemon
    And target "target1" has the faults {"cut_share": 1.0}
    When 2 callers fetch "/docs-page?size=300000"
    Then every caller detects that its response is incomplete

  Scenario: An upstream's response to another request is not delivered
    Given 2 targets behind relays and 1 daemon
    And 20 requests have opened connections
    And each target has the faults {"crossed_share": 1.0, "strikes": 1}
    When 3 callers fetch "/find/mine"
    Then all responses name the path "/find/mine" and arrive within 1 s

  Scenario Outline: Bytes that a target sends after its response are not delivered to another caller
    Given 1 targets behind relays and 1 daemon
    When target "target1" sends an unsolicited response <delay> s after its next one
    And 1 callers fetch "/find/first"
    And 0.2 s pass
    And 1 callers fetch "/find/second"
    Then the last response names the path "/find/second"

    Examples:
      | delay |
      | 0     |
      | 0.05  |

  Scenario: A large upload arrives whole
    Given 1 targets behind relays and 1 daemon
    When a caller uploads 3000000 bytes
    Then the upload arrived whole

Feature: What a target states of a request or of itself is checked before it is believed

  A mode names what a target does with a request that it runs. unattributed-N: it sends a
  refusal with status N and without an attempt id, as a second copy of an earlier one may
  look, before the right response; refuses-after-run-N: its response has status N and does
  not state that the request did not run; success-not-run: a success that states so.
  A full target refuses each request with 503 and states that it did not run.

  Scenario Outline: An at-most-once request is not reported as not run after <mode>
    Given an entry VM with 2 targets in mode "<mode>"
    When a caller sends 6 times POST /order/1
    Then the caller gets 502 each time
    And each request ran exactly once

    Examples:
      | mode                  |
      | unattributed-503      |
      | unattributed-429      |
      | unattributed-408      |
      | unattributed-421      |
      | unattributed-500      |
      | refuses-after-run-503 |
      | refuses-after-run-429 |
      | refuses-after-run-408 |
      | success-not-run       |

  Scenario Outline: An idempotent request is sent to another target after <mode>
    Given an entry VM with 2 targets of which the first is in mode "<mode>"
    When a caller sends 8 times GET /lookup/1
    Then the caller gets 200 and the whole body each time

    Examples:
      | mode                  |
      | unattributed-503      |
      | refuses-after-run-503 |
      | success-not-run       |

  # A target in trouble has sent status 000, and the caller got it as an answer.
  Scenario Outline: No response with the status line "<line>" of one target reaches a caller
    Given an entry VM with 2 targets of which the first is in mode "status-line <line>"
    When a caller sends 8 times GET /lookup/1
    Then the caller gets 200 and the whole body each time

    Examples:
      | line             |
      | HTTP/1.1 000 OK  |
      | HTTP/1.1 099 OK  |
      | HTTP/1.1 600 OK  |
      | HTTP/1.1 999 OK  |
      | HTTP/9.9 200 OK  |
      | HTTP/1.1 2000 OK |

  Scenario Outline: No response with the status line "<line>" of all targets reaches a caller
    Given an entry VM with 2 targets in mode "status-line <line>"
    When a caller sends 4 times <request>
    Then the caller gets 502 each time
    And the log has missing responses of the targets

    Examples:
      | line             | request       |
      | HTTP/1.1 000 OK  | GET /lookup/1 |
      | HTTP/1.1 000 OK  | POST /order/1 |
      | HTTP/1.1 099 OK  | GET /lookup/1 |
      | HTTP/1.1 099 OK  | POST /order/1 |
      | HTTP/1.1 600 OK  | GET /lookup/1 |
      | HTTP/1.1 600 OK  | POST /order/1 |
      | HTTP/1.1 999 OK  | GET /lookup/1 |
      | HTTP/1.1 999 OK  | POST /order/1 |
      | HTTP/9.9 200 OK  | GET /lookup/1 |
      | HTTP/9.9 200 OK  | POST /order/1 |
      | HTTP/1.1 2000 OK | GET /lookup/1 |
      | HTTP/1.1 2000 OK | POST /order/1 |

  Scenario Outline: A request <ids> is refused, since no response could be attributed to it
    Given an entry VM with 1 target
    When a caller sends POST /order/1 <ids>
    Then the caller gets 400
    And no request ran

    Examples:
      | ids                  |
      | without an id        |
      | with two ids         |

  Scenario: Bytes that arrive before a request was sent are not its response
    Given a connection on which a response arrives as a request is about to be sent
    Then the request fails and nothing was sent

  Scenario: A target that states that it is leaving receives no further requests
    Given an entry VM with 2 targets
    And the first target states that it is leaving
    When a caller sends 30 times GET /lookup/1
    Then the caller gets 200 and the whole body each time
    And the first target received at most 1 request
    When the store lists the first target as ready again
    And a caller sends 20 times GET /lookup/1
    Then the first target received at most 1 request
    And the log of the VM has 1 line "target-leaving"

  Scenario: A new start of a target that was leaving receives requests
    Given an entry VM with 2 targets
    And the first target states that it is leaving
    When a caller sends 30 times GET /lookup/1
    And the first target starts again under its id
    And a caller sends 40 times GET /lookup/1
    Then the first target received at least 3 requests

  Scenario: Requests are refused at once when all targets are leaving
    Given an entry VM with 1 target
    And the first target states that it is leaving
    When a caller sends GET /lookup/1
    Then the caller gets 200 and the whole body
    When a caller sends GET /lookup/1
    Then the caller gets 503 after 0 to 0.3 s

  Scenario: A target that wants no requests for some time gets none, then some again
    Given an entry VM with 2 targets of which the first is in mode "full"
    And the first target wants no requests for "1.5" s after a refusal
    When callers send GET /lookup/1 for 1.2 s
    Then all callers get 200
    And the first target received at most 2 requests
    When callers send GET /lookup/1 for 1.5 s
    Then the first target received at least 2 requests

  Scenario Outline: An absurd time of "<value>" without requests is applied as <applied>
    Given an entry VM with 2 targets of which the first is in mode "full"
    And the first target wants no requests for "<value>" s after a refusal
    When callers send GET /lookup/1 for 1 s
    Then all callers get 200
    And the log of the VM states for it <applied>

    Examples:
      | value                         | applied                  |
      | -1                            | an invalid statement     |
      | nan                           | an invalid statement     |
      | 1e12                          | an invalid statement     |
      | Sat, 05 Dec 2026 10:00:00 GMT | an invalid statement     |
      | 1000000000000                 | 30 s without requests    |
      | 0                             | 0 s without requests     |

  Scenario: Callers are told when the first target takes requests again
    Given an entry VM with 2 targets in mode "full"
    And the first target wants no requests for "4" s after a refusal
    And the second target wants no requests for "6" s after a refusal
    When callers send POST /order/1 for 0.6 s
    And a caller sends 12 times POST /order/1
    Then the caller gets 503 each time
    And each time to retry is from 2.5 to 6.5 s, and they differ
    And no request ran

Feature: An entry VM delivers whole responses and states correctly what did not run

  A mode names what a target does with a request. It runs the request, except in mode full.
  error: status 500; reset: it closes the connection without a response;
  cut: it closes the connection before the end of the body; garbage: bytes that are no HTTP;
  unsigned: a response without its signature; encoded: a response with a content-encoding;
  full: status 503 and the header that says that it did not run;
  hang: no response for 30 s; unframed: a body without a length;
  foreign-first, extra-after: a response to another attempt before the right one, or one
  more response with a wrong signature after it.

  Scenario: A request reaches a target with the caller's attempt id, its workspace and no key
    Given an entry VM with 1 target
    When a caller sends GET /lookup/7?x=1
    Then the caller gets 200 and the whole body
    And the target received the caller's attempt id, the workspace "shop" and no key

  Scenario Outline: An idempotent request is sent to another target after <mode>
    Given an entry VM with 2 targets of which the first is in mode "<mode>"
    When a caller sends 8 times GET /lookup/1
    Then the caller gets 200 and the whole body each time

    Examples:
      | mode      |
      | error     |
      | reset     |
      | cut       |
      | garbage   |
      | unsigned  |
      | encoded   |
      | full      |
      | hang      |

  Scenario: A late request is hedged once the other target accepts a connection
    Given an entry VM with 2 targets of which the first is in mode "hang"
    And the second target accepts its first connection too late
    When a caller sends 8 times GET /lookup/1
    Then the caller gets 200 and the whole body each time

  Scenario Outline: An at-most-once request runs once when its target is in mode <mode>
    Given an entry VM with 2 targets in mode "<mode>"
    When a caller sends 6 times POST /order/1
    Then the caller gets <status> each time
    And each request ran exactly once
    And only responses with 500 have the signature of a target

    Examples:
      | mode     | status |
      | error    | 500    |
      | reset    | 502    |
      | cut      | 502    |
      | garbage  | 502    |
      | unsigned | 502    |
      | hang     | 504    |

  Scenario: A further target receives no later deadline than the first
    Given an entry VM with 2 targets of which the first is in mode "hang"
    When a caller sends 8 times GET /lookup/1
    Then at least 1 request was sent to two targets
    And the second target received no later deadline than the first

  Scenario: Retries after refusals of full targets consume the budget of repeats
    Given an entry VM that may send 4 repeats, with 2 targets in mode "full"
    When a caller sends 12 times POST /order/1
    Then the caller gets 503 each time
    And at least 1 and at most 4 of the requests were sent to two targets

  Scenario: An at-most-once request goes to another target after a full one
    Given an entry VM with 2 targets of which the first is in mode "full"
    When a caller sends 6 times POST /order/1
    Then the caller gets 200 and the whole body each time
    And each request ran exactly once

  Scenario: A refusal after full targets is correct and states when to retry
    Given an entry VM with 2 targets in mode "full"
    When a caller sends POST /order/1
    Then the caller gets 503 with a time to retry
    And no request ran

  Scenario: A response to an earlier request is skipped
    Given an entry VM with 1 target in mode "foreign-first"
    When a caller sends 3 times POST /order/1
    Then the caller gets 200 and the whole body each time

  Scenario: Bytes after a response are not taken for the response to a later request
    Given an entry VM with 1 target in mode "extra-after"
    When a caller sends 4 times GET /lookup/1
    Then the caller gets 200 and the whole body each time

  Scenario: A response that ends with its connection is delivered whole
    Given an entry VM with 1 target in mode "unframed"
    When a caller sends GET /sheet/1
    Then the caller gets 200 and the whole body

  Scenario: A large response that is cut off is visibly incomplete
    Given an entry VM with 1 target in mode "cut"
    And its responses have 3000000 bytes
    When a caller sends GET /sheet/1
    Then the caller gets an incomplete response

  Scenario: A large response arrives whole
    Given an entry VM with 1 target
    And its responses have 3000000 bytes
    When a caller sends GET /sheet/1
    Then the caller gets 200 and the whole body

  Scenario: A request whose caller has left is stopped at the target
    Given an entry VM with 1 target in mode "hang"
    When a caller sends GET /lookup/1 and leaves 0.2 s after a target received it
    Then the target sees its connection close within 0.5 s

  Scenario: An at-most-once request goes on when its caller leaves
    Given an entry VM with 1 target
    And its targets take 0.6 s for a request
    When a caller sends POST /order/1 and leaves 0.2 s after a target received it
    Then the target finishes the request

  Scenario: A request gets its final response at the timeout of its route
    Given an entry VM with 1 target in mode "hang"
    When a caller that waits 5 s sends POST /order/1
    Then the caller gets 504 after 1.4 to 1.7 s

  Scenario: A target at a reused address does not run another target's request
    Given an entry VM with 2 targets of which the first has the address of another
    When a caller sends 6 times POST /order/1
    Then the caller gets 200 and the whole body each time
    And each request ran exactly once

  Scenario: A reused address does not count towards the route's number of targets
    Given an entry VM with 2 targets of which the first has the address of another
    And its routes allow 1 target
    When a caller sends 6 times POST /order/1
    Then the caller gets 200 and the whole body each time
    And each request ran exactly once

  Scenario Outline: A request that may not run is refused with <status>
    Given an entry VM with 1 target
    When a caller sends GET <path> with the key "<key>"
    Then the caller gets <status>
    And no request ran

    Examples:
      | path      | key     | status |
      | /lookup/1 | unknown | 401    |
      | /absent/1 | unknown | 404    |

  Scenario: A VM without a configuration refuses and states when to retry
    Given an entry VM whose store is unavailable
    When a caller sends GET /lookup/1
    Then the caller gets 503 with a time to retry
    And the VM is not ready because of "no configuration"

  Scenario: A request is never sent to more targets than its route allows
    Given an entry VM with 4 targets in mode "error"
    When a caller sends 5 times GET /lookup/1
    Then the caller gets 500 each time
    And each request ran at most 2 times

  Scenario: A planned stop cuts off no request and accepts none that it cannot finish
    Given an entry VM with 2 targets
    And its targets take 0.3 s for a request
    When the VM is stopped while callers send GET /lookup/1
    Then no request was cut off
    And the VM was not ready as soon as its stop began
    And responses during the stop close their connections

  Scenario: A request to a VM that has just started waits for its first view
    Given a target and a store that takes 0.05 s for a response
    When a caller sends GET /lookup/1 to a VM that restarts
    Then the caller gets 200 and the whole body

  Scenario: A VM that started while the store is unavailable refuses at once
    Given an entry VM whose store is unavailable
    When a caller sends GET /lookup/1
    Then the caller gets 503 after 0 to 0.3 s

  Scenario: A split route keeps its weights, also while one of its services is full
    Given an entry VM with 2 targets of which the first is in mode "full"
    And a route that splits 3 to 1 between the services of the two
    When a caller sends 200 times GET /split/1
    Then 0.55 to 0.95 of the requests were refused and the others received 200

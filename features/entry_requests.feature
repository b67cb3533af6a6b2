Feature: An entry VM answers each request whole, or refuses it truthfully

  Scenario: A request reaches a target with its id, its workspace and no key
    Given an entry VM with 1 target
    When a caller sends GET /lookup/7?x=1
    Then the caller gets 200 and the whole body
    And the target got the caller's id, the workspace "shop" and no key

  Scenario Outline: An idempotent request is sent to another target after <mode>
    Given an entry VM with 2 targets of which the first answers "<mode>"
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

  Scenario: A late request goes to the other target once that accepts a connection
    Given an entry VM with 2 targets of which the first answers "hang"
    And the second target accepts its first connection too late
    When a caller sends 8 times GET /lookup/1
    Then the caller gets 200 and the whole body each time

  Scenario Outline: Work that must not repeat runs once when its target answers <mode>
    Given an entry VM with 2 targets that answer "<mode>"
    When a caller sends 6 times POST /order/1
    Then the caller gets <status> each time
    And each request ran exactly once
    And only answers with 500 bear the signature of a target

    Examples:
      | mode     | status |
      | error    | 500    |
      | reset    | 502    |
      | cut      | 502    |
      | garbage  | 502    |
      | unsigned | 502    |
      | hang     | 504    |

  Scenario: A further target is told no more time than is left
    Given an entry VM with 2 targets of which the first answers "hang"
    When a caller sends 8 times GET /lookup/1
    Then at least 1 request came to two targets
    And none was told more time by the second one

  Scenario: Repeats after targets without room draw on the budget of repeats
    Given an entry VM that may send 4 repeats, with 2 targets that answer "full"
    When a caller sends 12 times POST /order/1
    Then the caller gets 503 each time
    And at least 1 and at most 4 of the requests came to two targets

  Scenario: Work that must not repeat goes to another target that has room
    Given an entry VM with 2 targets of which the first answers "full"
    When a caller sends 6 times POST /order/1
    Then the caller gets 200 and the whole body each time
    And each request ran exactly once

  Scenario: A refusal after full targets is true and says when to come back
    Given an entry VM with 2 targets that answer "full"
    When a caller sends POST /order/1
    Then the caller gets 503 with a time to come back
    And no request ran

  Scenario: An answer to an earlier request is skipped
    Given an entry VM with 1 target that answers "foreign-first"
    When a caller sends 3 times POST /order/1
    Then the caller gets 200 and the whole body each time

  Scenario: Bytes after an answer reach no later request
    Given an entry VM with 1 target that answers "extra-after"
    When a caller sends 4 times GET /lookup/1
    Then the caller gets 200 and the whole body each time

  Scenario: An answer that ends with its connection is delivered whole
    Given an entry VM with 1 target that answers "unframed"
    When a caller sends GET /sheet/1
    Then the caller gets 200 and the whole body

  Scenario: A large answer that is cut is visibly broken
    Given an entry VM with 1 target that answers "cut"
    And its answers have 3000000 bytes
    When a caller sends GET /sheet/1
    Then the caller sees a broken answer

  Scenario: A large answer arrives whole
    Given an entry VM with 1 target
    And its answers have 3000000 bytes
    When a caller sends GET /sheet/1
    Then the caller gets 200 and the whole body

  Scenario: Work for a caller that has left ends at the target
    Given an entry VM with 1 target that answers "hang"
    When a caller sends GET /lookup/1 and leaves 0.2 s after a target got it
    Then the target sees the end of the work within 0.5 s

  Scenario: Work that must not repeat goes on when its caller leaves
    Given an entry VM with 1 target
    And its work takes 0.6 s
    When a caller sends POST /order/1 and leaves 0.2 s after a target got it
    Then the target finishes the work

  Scenario: A request has its final answer at the time-out of its route
    Given an entry VM with 1 target that answers "hang"
    When a caller that waits 5 s sends POST /order/1
    Then the caller gets 504 after 1.4 to 1.7 s

  Scenario: A target at a reused address does not run another target's request
    Given an entry VM with 2 targets of which the first has the address of another
    When a caller sends 6 times POST /order/1
    Then the caller gets 200 and the whole body each time
    And each request ran exactly once

  Scenario: A reused address does not count against the route's number of targets
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

  Scenario: A VM without a configuration refuses for now
    Given an entry VM whose store is away
    When a caller sends GET /lookup/1
    Then the caller gets 503 with a time to come back
    And the VM is not ready because of "no configuration"

  Scenario: A request is never sent to more targets than its route allows
    Given an entry VM with 4 targets that answer "error"
    When a caller sends 5 times GET /lookup/1
    Then the caller gets 500 each time
    And each request ran at most 2 times

  Scenario: A planned stop cuts no request and takes none that it can't finish
    Given an entry VM with 2 targets
    And its work takes 0.3 s
    When the VM is stopped while callers send GET /lookup/1
    Then no request was cut
    And the VM was not ready as soon as its stop began
    And answers during the stop end their connection

  Scenario: A request that meets a VM just after its start waits for its first view
    Given a target and a store that takes 0.05 s for an answer
    When a caller sends GET /lookup/1 to a VM that starts anew
    Then the caller gets 200 and the whole body

  Scenario: A request is refused at once by a VM that started while the store is away
    Given an entry VM whose store is away
    When a caller sends GET /lookup/1
    Then the caller gets 503 after 0 to 0.3 s

  Scenario: A split route keeps its weights, also while a part has no room
    Given an entry VM with 2 targets of which the first answers "full"
    And a route that splits 3 to 1 between the services of the two
    When a caller sends 200 times GET /split/1
    Then 0.55 to 0.95 of the requests were refused and the others got 200

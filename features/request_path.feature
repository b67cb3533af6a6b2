Feature: Requests are forwarded to an upstream and responses to the caller

  Scenario: A keyed request reaches the upstream without its key
    Given a fleet with 2 targets and 2 daemons
    When the workspace "shop" sends GET "/find/cartridge" through "vm1"
    Then the response has status 200
    And no upstream saw the key of "shop"

  Scenario: A request without a key is refused before it runs
    Given a fleet with 2 targets and 2 daemons
    When a caller without a key sends GET "/find/cartridge" through "vm1"
    Then the response is the refusal "key-refused" with status 401 and ran "no"
    And no upstream ran a request

  Scenario: A repeated at-most-once request through another VM gets the recorded outcome
    Given a fleet with 2 targets and 2 daemons
    When the workspace "shop" requests "/order" at most once with operation "o1" through "vm1"
    And the workspace "shop" requests "/order" at most once with operation "o1" through "vm2"
    Then the response has status 200
    And the operation "o1" ran 1 time

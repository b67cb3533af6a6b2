Feature: An error in one attempt takes no other attempt's answer from the caller

  Scenario Outline: Idempotent work is answered although <part> raises <error>
    Given an entry VM with 2 targets
    When <part> raises <error> once while a caller sends GET /lookup/1
    Then the caller gets 200 and the whole body
    And the log names the contained error in "<place>"

    Examples:
      | part                         | error        | place                   |
      | the reading of the answer    | LookupError  | Forwarder.run_attempt   |
      | the reading of the answer    | Cancelled    | Forwarder.run_attempt   |
      | the note of the answer       | LookupError  | Forwarder.follow_attempt |
      | the placing of work          | LookupError  | Forwarder.run_attempt   |

  Scenario Outline: An attempt beside a late one that raises <error> leaves it its answer
    Given an entry VM with 2 targets
    And its work takes 0.5 s
    When the second attempt raises <error> while a caller sends GET /lookup/1
    Then the caller gets 200 and the whole body
    And the log names the contained error in "<place>"

    Examples:
      | error       | place                 |
      | LookupError | Forwarder.run_attempt |
      | Cancelled   | Forwarder.run_attempt |

  Scenario: An error in the choice of a second target leaves the first attempt its answer
    Given an entry VM with 2 targets
    And its work takes 0.5 s
    When the choice of a second target raises while a caller sends GET /lookup/1
    Then the caller gets 200 and the whole body
    And the log names the contained error in "Race.add_attempt"

  Scenario: Work that must not repeat runs once when the reading of its answer raises
    Given an entry VM with 2 targets
    When the reading of the answer raises LookupError once while a caller sends POST /order/1
    Then the caller gets 502
    And each request ran exactly once

  Scenario: A listener of events that raises takes no answer
    Given an entry VM with 1 target
    When a listener of events raises while a caller sends GET /lookup/1
    Then the caller gets 200 and the whole body
    And the log names the contained error in "listener of events"

  Scenario: A request whose wait a library cancels gets a truthful answer
    Given an entry VM with 1 target
    When the choice of a target raises Cancelled once while a caller sends POST /order/1
    Then the caller is told that it got an "internal-error" and may have run
    And a further caller gets 200

  Scenario Outline: Work whose sending always raises is told that it did not run
    Given an entry VM with 2 targets
    When the forming of a request always raises while a caller sends <method> <path>
    Then the caller is told that it got an "internal-error" and did not run
    And no request ran

    Examples:
      | method | path      |
      | GET    | /lookup/1 |
      | POST   | /order/1  |

  Scenario: An error of a connection after a whole answer takes no answer
    Given an entry VM with 1 target
    When the return of a connection raises LookupError once while a caller sends POST /order/1
    Then the caller gets 200 and the whole body
    And each request ran exactly once

  Scenario: A refusal reaches its caller although the note of it raises
    Given an entry VM with 1 target
    When the age of the view raises LookupError once while a caller sends GET /nowhere/1
    Then the caller gets 404

  Scenario: A stop serves late callers although its announcement raises
    Given an entry VM with 1 target
    And the announcement of its stop raises
    When the VM is asked to stop, and 0.5 s later a caller sends POST /order/1
    Then the caller gets 200 and the whole body

Feature: An error in one attempt does not affect the response of another attempt

  Scenario Outline: Idempotent requests succeed although <part> raises <error>
    Given an entry VM with 2 targets
    When <part> raises <error> once while a caller sends GET /lookup/1
    Then the caller gets 200 and the whole body
    And the log names the contained error in "<place>"

    Examples:
      | part                          | error       | place                    |
      | the reading of the response   | LookupError | Forwarder.run_attempt    |
      | the reading of the response   | Cancelled   | Forwarder.run_attempt    |
      | the recording of the response | LookupError | Forwarder.follow_attempt |
      | the start of an attempt       | LookupError | Forwarder.run_attempt    |

  Scenario Outline: The error <error> of a second attempt does not affect the late first one
    Given an entry VM with 2 targets
    And its targets take 0.5 s for a request
    When the second attempt raises <error> while a caller sends GET /lookup/1
    Then the caller gets 200 and the whole body
    And the log names the contained error in "<place>"

    Examples:
      | error       | place                 |
      | LookupError | Forwarder.run_attempt |
      | Cancelled   | Forwarder.run_attempt |

  Scenario: An error in the choice of a second target does not affect the first attempt
    Given an entry VM with 2 targets
    And its targets take 0.5 s for a request
    When the choice of a second target raises while a caller sends GET /lookup/1
    Then the caller gets 200 and the whole body
    And the log names the contained error in "Race.add_attempt"

  Scenario: An at-most-once request runs once when the reading of its response raises
    Given an entry VM with 2 targets
    When the reading of the response raises LookupError once while a caller sends POST /order/1
    Then the caller gets 502
    And each request ran exactly once

  Scenario: An error in a listener of events does not affect the response
    Given an entry VM with 1 target
    When a listener of events raises while a caller sends GET /lookup/1
    Then the caller gets 200 and the whole body
    And the log names the contained error in "listener of events"

  Scenario: A request gets a truthful refusal when a library cancels the choice of its target
    Given an entry VM with 1 target
    When the choice of a target raises Cancelled once while a caller sends POST /order/1
    Then the caller gets the refusal "internal-error" of a request that may have run
    And a further caller gets 200

  Scenario Outline: Requests that cannot be sent are refused as not run
    Given an entry VM with 2 targets
    When the building of the request always raises while a caller sends <method> <path>
    Then the caller gets the refusal "internal-error" of a request that did not run
    And no request ran

    Examples:
      | method | path      |
      | GET    | /lookup/1 |
      | POST   | /order/1  |

  Scenario: An error of a connection after a whole response does not affect the response
    Given an entry VM with 1 target
    When the return of a connection to its pool raises LookupError once while a caller sends POST /order/1
    Then the caller gets 200 and the whole body
    And each request ran exactly once

  Scenario: A refusal reaches its caller although its logging raises
    Given an entry VM with 1 target
    When the calculation of the view's age for the log raises LookupError once while a caller sends GET /nowhere/1
    Then the caller gets 404

  Scenario: A stopping VM serves late callers although the announcement of the stop raises
    Given an entry VM with 1 target
    And the announcement of its stop raises
    When the VM is asked to stop, and 0.5 s later a caller sends POST /order/1
    Then the caller gets 200 and the whole body

Feature: The logs explain each failed request, in bounded volume

  Scenario: A refusal under load is traced to full targets
    Given an entry VM with 2 targets in mode "full"
    When a caller sends POST /order/1
    Then the caller gets 503
    And the logs explain the request by "had no room"
    And they show the events "entry-attempt-ended, entry-refused"

  Scenario: A refusal is traced to targets that accept no connection
    Given an entry VM with 2 targets that accept no connection
    When a caller sends POST /order/1
    Then the caller gets 503
    And the logs explain the request by "unreachable (event 1113)"
    And they name the target "t1" with the end "unreachable"

  Scenario: A refusal just after a start is traced to the missing confirmation
    Given an entry VM with 1 target
    When its configuration is unconfirmed and the store is unavailable
    And a caller sends GET /lookup/1
    Then the caller gets 503
    And the logs explain the request by "not been confirmed since its start"

  Scenario: A 502 is traced to the target that closed the connection
    Given an entry VM with 1 target in mode "reset"
    When a caller sends POST /order/1
    Then the caller gets 502
    And the logs explain the request by "broke off"
    And they name the target "t1" with the end "broken"

  Scenario: A 504 is traced to the target that did not respond
    Given an entry VM with 1 target in mode "hang"
    When a caller sends POST /order/1
    Then the caller gets 504
    And the logs explain the request by "deadline had passed"
    And they name the target "t1" with the end "overdue"

  Scenario: A request that is aborted by a stop is logged
    Given an entry VM with 1 target in mode "hang"
    When the VM is stopped during a request that would last longer
    Then the caller gets 504, and the log states that the VM stopped before the response

  Scenario: An error that ends the process is logged with its location
    Given an entry VM with 1 target
    When a task of another VM fails with "no such thing"
    Then the log of that VM names the error "LookupError: no such thing" and its place
    And that VM was not ready from then on

  Scenario: A refusal of a key is traced to the configuration that withdrew it
    Given 1 entry VMs with 1 target
    When the configuration withdraws the key of a caller
    And 1.5 s pass
    And a caller sends GET /lookup/1
    Then the caller gets 401
    And the logs explain the request by "does not hold the caller's key"
    And they show the state "entry-configuration-applied"

  Scenario: A refusal while the store is unavailable is traced to the lost store
    Given 1 entry VMs with 1 target
    When the store is unavailable for 5.5 s
    And a caller sends GET /lookup/1
    Then the caller gets 503
    And the logs explain the request by "store was out of its reach"
    And they show the state "store-lost"

  Scenario Outline: A refusal for the rate is traced to <why>
    Given an entry VM that receives no digests of <others> other VMs, and a rate of <rate>
    When <age> s pass
    And callers send 20 times GET /lookup/1 at once
    Then most of the callers get 429
    And the logs explain the request by "<text>"
    And the log and the metrics state "<reason>" for each refusal

    Examples:
      | why                             | others | rate | age | reason       | text                     |
      | a workspace over its rate       | 0      | 1    | 2.5 | over-rate    | was over its rate        |
      | a VM that is cut off            | 9      | 5    | 2.5 | cut-off      | the VMs out of reach     |
      | a VM that has just started      | 9      | 5    | 0   | just-started | VM had just started      |

  Scenario: A request without log lines is not explained
    Given an entry VM with 1 target
    When a caller sends GET /lookup/1
    Then "primroseturn explain" exits with code 1 for another request

  Scenario: Log lines per second are bounded and omitted lines are counted
    Given 10 times the allowed lines of served requests in one second
    Then 20 of the lines are written and 180 are counted as omitted

  Scenario: Many log lines of served requests displace no line of another request
    Given 200 lines of served, 40 of refused and 40 of failed requests in one second
    Then 20 of served, 40 of refused and 40 of failed requests are written

  Scenario: A VM whose log is not read responds in time and loses no queued line
    Given an entry VM as a process whose log is not read yet
    When its callers send 200 requests while the pipe of its log is full
    Then each got a response within 0.5 s
    When its log is read again
    Then its lines are numbered without a gap

  Scenario: A log that is not read delays no writer and loses its oldest lines
    Given a log that is not read
    When 20000 events are emitted
    Then emitting them took at most 2 s
    And at most 2000 lines are queued

  Scenario: A VM serves its metrics
    Given an entry VM with 1 target
    When a caller sends GET /lookup/1
    Then its metrics count a served request and a store call

  Scenario: A request that an old version handled is traced to the VM that sent the version
    Given 3 entry VMs with 1 target
    When the configuration withdraws the key of a caller
    Then the log of each VM states by which version it refuses the key, and from whom it came
    And the metric of the ages of confirmations counts the store and other VMs

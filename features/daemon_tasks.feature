Feature: An error in a part of a daemon does not affect responses to callers

  An order is an at-most-once request, POST /order.

  Scenario Outline: Callers of a daemon get their responses while <part> fails
    Given 2 daemons and 1 target, and a log of the first daemon
    When <part> fails in the first daemon while a target executes an order
    Then the order gets 200 and ran once
    And the daemon's log names the failed task "<task>"
    And a further order gets 200

    Examples:
      | part                                   | task                       |
      | the sending of heartbeats              | Heartbeats.run             |
      | the tick of the dispatcher             | Ticker.tick_forever        |
      | the follower of the configuration log  | Follower.follow_log        |
      | the follower of the VM lists           | Follower.follow_lists      |
      | the fetch of changes from a peer       | Relay.fetch                |
      | the fetch of VM lists from a peer      | ListingRelay.fetch         |
      | the recording of a withdrawal          | Withdrawals.record         |
      | the selection of withdrawals to record | Withdrawals.record_pending |
      | the commit of postponed claim changes  | Claims.settle_for_ever     |
      | the commit of a batch of claims        | Batches.commit             |
      | the delay before a batch of claims     | Batches.run                |
      | the borrowing of tokens                | Borrower.keep              |
      | the update of the limit ledger         | Ownership.keep             |
      | the renewal of the owner's lease       | Ownership.renew_for_ever   |
      | the clock probes                       | send_probes                |
      | the exchange of evidence digests       | DigestExchange.run         |
      | the polling of target loads            | LoadPoller.run             |
      | one poll of a target load              | LoadPoller.probe           |
      | the writer of the log                  | LogWriter.write_forever    |

  Scenario: A withdrawal reaches a daemon through another one when direct messages fail
    Given 3 daemons and 1 target, and a log of the first daemon
    When a key is withdrawn at the first daemon, whose messages to "vm2" fail
    Then the withdrawal is recorded and in force at 3 daemons

  Scenario Outline: After one failure <subscriber> applies <change>
    Given 1 daemon and 1 target, and a log of the first daemon
    When <subscriber> fails once to apply <change>
    Then the daemon's log names the failed task "Listeners.repeat_forever"
    And <result> within 2 s

    Examples:
      | subscriber   | change       | result                     |
      | the router   | a new route  | the new route is served    |
      | the balancer | a new target | the new target gets orders |

  Scenario Outline: An order gets its response although recording its outcome raises <error>
    Given 1 daemon and 1 target, and a log of the first daemon
    When the method "record" of the service "claims" raises <error> during an order
    Then the order gets 200 and ran once
    And the daemon's log names "outcome-not-recorded"

    Examples:
      | error       |
      | LookupError |
      | Cancelled   |

  Scenario Outline: A <method> request gets an error response when a library cancels <part>
    Given 1 daemon and 1 target, and a log of the first daemon
    When <part> is cancelled once while a caller sends <method>
    Then the daemon responds with the error "internal-error"
    And a further order gets 200

    Examples:
      | part                      | method |
      | the selection of a target | POST   |
      | the selection of a target | GET    |
      | a hedged attempt          | GET    |

  Scenario: An order in flight gets its response although two signals arrive
    Given 1 targets, 1 daemons and a store as separate processes
    When the daemon gets SIGHUP and SIGTERM while a target executes an order
    Then the order gets 200 and the process exits with code 0

  Scenario: Callers get their responses when an error ends their daemon
    Given 1 daemon and 1 target, and a log of the first daemon
    When a service of another daemon raises while that daemon forwards an order
    Then the order gets 200 and ran once
    And a request sent to that daemon after the error got 200
    And that daemon was not ready after the error
    And a repeat of the order through the first daemon gets the recorded response

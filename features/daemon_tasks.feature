Feature: An error of a part of a daemon takes no answer from its callers

  Scenario Outline: Callers of a daemon get their answers while <part> fails
    Given 2 daemons that log, with 1 target
    When <part> fails in a daemon while an order is at its target
    Then the order gets 200 and ran once
    And the daemon's log names the failed task "<task>"
    And a further order gets 200

    Examples:
      | part                                | task                     |
      | the sending of heartbeats           | Heartbeats.run           |
      | the tick of the dispatcher          | Ticker.tick_forever      |
      | the follower of the configuration   | Follower.follow_log      |
      | the follower of the lists           | Follower.follow_lists    |
      | the fetch of changes from a peer    | Relay.fetch              |
      | the fetch of lists from a peer      | ListingRelay.fetch       |
      | the recording of a withdrawn key    | Withdrawals.record       |
      | the choice of withdrawals to record | Withdrawals.record_pending |
      | the settling of claims              | Claims.settle_for_ever   |
      | a batch of claims                   | Batches.commit           |
      | the pause before a batch of claims  | Batches.run              |
      | the borrowing of tokens             | Borrower.keep            |
      | the keeping of units                | Ownership.keep           |
      | the renewal of the owner's lease    | Ownership.renew_for_ever |
      | the probes of clocks                | send_probes              |
      | the exchange of digests             | DigestExchange.run       |
      | the poller of loads                 | LoadPoller.run           |
      | one probe of a load                 | LoadPoller.probe         |
      | the writer of the log               | LogWriter.write_forever  |

  Scenario: A withdrawn key reaches a daemon through another one when its own message fails
    Given 3 daemons that log, with 1 target
    When a key is withdrawn while the messages to "vm2" fail
    Then the withdrawal is recorded and in force at 3 daemons

  Scenario Outline: <subscriber> that failed once takes the change over
    Given 1 daemon that logs, with 1 target
    When <subscriber> fails once at <change>
    Then the daemon's log names the failed task "Listeners.repeat_forever"
    And <result> within 2 s

    Examples:
      | subscriber    | change       | result                     |
      | The router    | a new route  | the new route is served    |
      | The balancer  | a new target | the new target gets orders |

  Scenario Outline: An order keeps its answer when the record of its outcome raises <error>
    Given 1 daemon that logs, with 1 target
    When the record of outcomes raises <error> while an order is sent
    Then the order gets 200 and ran once
    And the daemon's log names "outcome-not-recorded"

    Examples:
      | error       |
      | LookupError |
      | Cancelled   |

  Scenario Outline: A request of a daemon whose <part> a library cancels gets an answer
    Given 1 daemon that logs, with 1 target
    When <part> is cancelled once while a caller sends <method>
    Then the daemon's answer states an "internal-error"
    And a further order gets 200

    Examples:
      | part                   | method |
      | the choice of a target | POST   |
      | the choice of a target | GET    |
      | a hedged attempt       | GET    |

  Scenario: An order in flight is answered although two signals come
    Given 1 targets, 1 daemons and a store as separate processes
    When the daemon gets SIGHUP and SIGTERM while an order is at its target
    Then the order gets 200 and the process ends with code 0

  Scenario: Callers get their answers when an error ends their daemon
    Given 1 daemon that logs, with 1 target
    When a service of another daemon raises while an order is at its target
    Then the order gets 200 and ran once
    And a caller that came after the error got 200
    And the other daemon was not ready after the error
    And a repeat of the order gets the recorded answer

Feature: An error of a part of a VM takes no answer from its callers

  Scenario Outline: Callers get their answers while <part> fails
    Given an entry VM with 1 target
    And its work takes 1.2 s
    When <part> fails while a caller waits for POST /order/1
    Then the caller gets 200 and the whole body
    And each request ran exactly once
    And the log names the failed task "<task>"
    And a further caller gets 200

    Examples:
      | part                                | task                                |
      | the question for the configuration  | StoreFollower.follow_configuration  |
      | the watch of the targets            | StoreFollower.follow_targets        |
      | the list of VMs                     | VmRegistry.follow                   |
      | the exchange of digests             | DigestExchange.send_forever         |
      | the question to the source          | ViewSharing.ask_forever             |
      | the closing of old connections      | TargetPools.prune_forever           |
      | the closing of idle callers         | IdleConnections.sweep_forever       |

  Scenario: A failing handler of datagrams ends neither the VM nor later datagrams
    Given 2 entry VMs with 1 target
    And its work takes 1.2 s
    When a handler of datagrams raises while a caller waits for POST /order/1
    Then the caller gets 200 and the whole body
    And the log names the failed task "Endpoint.receive"
    And datagrams are handled again

  Scenario: A task that a library cancels is started again
    Given an entry VM with 1 target
    And its work takes 1.2 s
    When the list of VMs is cancelled while a caller waits for POST /order/1
    Then the caller gets 200 and the whole body
    And the log names the failed task "VmRegistry.follow"

  Scenario: Callers get their answers when an error ends the VM
    Given an entry VM with 1 target
    And its work takes 0.8 s
    When a service of another VM raises while a caller waits for POST /order/1 there
    Then the caller gets 200 and the whole body
    And the log of that VM names the error "LookupError: broken part" and its place

  Scenario: A request of the last moment before the listener closes gets its whole time
    Given an entry VM with 1 target
    And its work takes 0.78 s
    When the VM is asked to stop, and 0.95 s later a caller sends POST /order/1
    Then the caller gets 200 and the whole body
    And the VM was gone 2 s after it was asked to stop

  Scenario: A VM whose log reader has gone serves on
    Given an entry VM as a process whose log nobody reads any more
    When its callers ask 20 times
    Then each got an answer and the process still runs

  Scenario Outline: <what> is put in force again after an error of a listener
    Given 1 entry VMs with 1 target
    When <what> changes while its listener fails once
    Then <what> is in force within 3 s

    Examples:
      | what                |
      | the list of targets |
      | the configuration   |

  Scenario: A source whose watch of the targets fails for ever is replaced
    Given 2 entry VMs with 1 target
    When the watch of the targets fails for ever at the source
    And another target is listed
    Then both VMs know it within 8 s

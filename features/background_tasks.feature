Feature: An error in a background task of a VM does not affect responses to callers

  Scenario Outline: Callers get their responses while <part> fails
    Given an entry VM with 1 target
    And its targets take 1.2 s for a request
    When <part> fails while a caller waits for POST /order/1
    Then the caller gets 200 and the whole body
    And each request ran exactly once
    And the log names the failed task "<task>"
    And a further caller gets 200

    Examples:
      | part                                       | task                                     |
      | the poll of the configuration              | ConfigurationPoller.follow_configuration |
      | the watch of the targets                   | TargetFollower.follow_targets            |
      | the listing of VMs in the store            | VmRegistry.follow                        |
      | the exchange of digests                    | DigestExchange.send_forever              |
      | the query of the store poller              | ViewSharing.ask_forever                  |
      | the closing of old connections             | TargetPools.prune_forever                |
      | the closing of idle connections of callers | IdleConnections.sweep_forever            |

  Scenario: An error in a handler of datagrams stops neither the VM nor the handling of datagrams
    Given 2 entry VMs with 1 target
    And its targets take 1.2 s for a request
    When a handler of datagrams raises while a caller waits for POST /order/1
    Then the caller gets 200 and the whole body
    And the log names the failed task "Endpoint.receive"
    And datagrams are handled again

  Scenario: A task that a library cancels is restarted
    Given an entry VM with 1 target
    And its targets take 1.2 s for a request
    When the listing of VMs in the store is cancelled while a caller waits for POST /order/1
    Then the caller gets 200 and the whole body
    And the log names the failed task "VmRegistry.follow"

  Scenario: Callers get their responses when an error ends the VM
    Given an entry VM with 1 target
    And its targets take 0.8 s for a request
    When a service of another VM raises while a caller waits for POST /order/1 there
    Then the caller gets 200 and the whole body
    And the log of that VM names the error "LookupError: injected fault" and its place

  Scenario: A request that arrives just before the listener closes is not cut short
    Given an entry VM with 1 target
    And its targets take 0.78 s for a request
    When the VM is asked to stop, and 0.95 s later a caller sends POST /order/1
    Then the caller gets 200 and the whole body
    And the VM was gone within 2 s after it was asked to stop

  Scenario: A VM continues to serve when its log is no longer read
    Given an entry VM as a process whose log is no longer read
    When its callers send 20 requests
    Then each got a response and the process still runs

  Scenario Outline: A change of <what> is in force within 3 s after an error in its subscriber
    Given 1 entry VMs with 1 target
    When <what> changes while its subscriber fails once
    Then <what> is in force within 3 s

    Examples:
      | what                |
      | the list of targets |
      | the configuration   |

  Scenario: A store poller whose watch of the targets keeps failing is replaced
    Given 2 entry VMs with 1 target
    When the watch of the targets keeps failing at the store poller
    And another target is listed
    Then both VMs list the new target within 8 s

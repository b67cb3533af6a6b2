Feature: Requests wait in a bounded queue that is fair by the weight of the workspace

  Scenario: Busy workspaces get slots in proportion to their weights
    Then for any weights and arrival order, grants are proportional within one request

  Scenario: A request whose deadline cannot be met is refused at once
    Given a queue that grants 10 requests a second and has 20 of "a"
    When a request of "a" with a deadline in 1 second enters
    Then it is refused because "its deadline would pass"

  Scenario: Many requests of one workspace do not keep another out of a full queue
    Given a full queue of 50 requests of "noisy"
    When a request of "quiet" with a deadline in 100 seconds enters
    Then it is queued and the newest request of "noisy" is refused

  Scenario: A workspace evicts none of its own requests from a full queue
    Given a full queue of 50 requests of "noisy"
    When a request of "noisy" with a deadline in 100 seconds enters
    Then it is refused because "the queue is full"

  Scenario: A request that is cancelled leaves the queue and the next one gets the slot
    Given a dispatcher on a virtual clock with 1 target of 1 slot
    When one request has the slot and a second one is cancelled while it waits
    Then a third request gets the slot after the first one

  Scenario: A request that waits until its deadline is refused as not run
    Given a dispatcher on a virtual clock with 1 target of 1 slot
    When a request waits for a slot that is not free before its deadline
    Then it is refused with the code "queue-refused" at its deadline

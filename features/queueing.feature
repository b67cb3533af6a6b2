Feature: Requests wait in a bounded queue that is fair by share

  Scenario: Busy workspaces get slots in proportion to their shares
    Then for any shares and arrival order grants follow the shares within one request

  Scenario: A request whose deadline cannot be met is refused at once
    Given a queue that grants 10 requests a second and holds 20 of "a"
    When a request of "a" with a deadline in 1 second enters
    Then it is refused because "its deadline would pass"

  Scenario: A flood of one workspace does not keep another one out of a full queue
    Given a full queue of 50 requests of "noisy"
    When a request of "quiet" with a deadline in 100 seconds enters
    Then it is admitted and the newest request of "noisy" is refused

  Scenario: A workspace that holds its share gets no place in a full queue
    Given a full queue of 50 requests of "noisy"
    When a request of "noisy" with a deadline in 100 seconds enters
    Then it is refused because "the queue is full"

  Scenario: A caller that leaves while it waits frees its place and its slot
    Given a dispatcher on a virtual clock with 1 target of 1 slot
    When one request holds the slot, a second one is cancelled while it waits
    Then a third request gets the slot after the first one

  Scenario: A request that waited past its deadline is refused as not run
    Given a dispatcher on a virtual clock with 1 target of 1 slot
    When a request waits behind one that holds the slot beyond its deadline
    Then it is refused with the code "queue-refused" at its deadline

Feature: The memory of requests under way is bounded over all callers and targets

  A VM of 300 MB may use four fifths of them. GET /calm/1 goes to a target that responds
  as usual. Modes are those of endless_answers.feature; sound: a whole response of
  20 MB; deaf: a target that reads no body, to which callers send one without end;
  stalled-heads: callers that send 60,000 bytes of a head and stop; fields: heads of
  3,900 fields to a target that does not respond; long-heads: responses with a head of
  60,000 bytes.

  Scenario Outline: <count> callers that read nothing of <mode> do not end a VM
    Given an entry VM of 300 MB as a process and a target in mode "<mode>" for sheets
    When <count> callers read nothing while others send GET /calm/1 for <seconds> s
    Then the VM runs and used at most 240 MB of memory
    And 95 % of the others were served within 2 s
    And its metrics state the capacity and what is held

    Examples:
      | mode            | count | seconds |
      | unframed fast   | 600   | 8       |
      | terabytes fast  | 600   | 8       |
      | chunks fast     | 600   | 8       |
      | line fast       | 600   | 8       |
      | sound           | 300   | 8       |
      | deaf            | 300   | 8       |
      | stalled-heads   | 600   | 8       |
      | stalled-heads   | 3000  | 12      |
      | fields          | 600   | 8       |
      | long-heads      | 600   | 8       |

  Scenario: 2000 callers that read nothing do not end a VM, and others get true answers
    Given an entry VM of 300 MB as a process and a target in mode "unframed fast" for sheets
    When 2000 callers read nothing while others send GET /calm/1 for 12 s
    Then the VM runs and used at most 240 MB of memory
    And each of the others got 200, or at once 503 with the time to come back
    And the shortage is logged with the target and the workspace that hold the most
    And connections without progress were closed for others

  Scenario: Idle connections leave room for requests
    Given an entry VM of 200 MB as a process and a target in mode "idle" for sheets
    When 3000 callers read nothing while others send GET /calm/1 for 12 s
    Then the VM runs and used at most 160 MB of memory
    And 95 % of the others were served within 2 s

  Scenario: A large configuration and list of targets leave less memory to requests
    Given an entry VM of 200 MB as a process and a target in mode "stalled-heads" for sheets
    And 33000 keys and 12000 targets of another service are in force
    When 3000 callers read nothing while others send GET /calm/1 for 12 s
    Then the VM runs and used at most 160 MB of memory
    And each of the others got 200, or at once 503 with the time to come back
    And its metrics state the capacity and what is held

  Scenario: A caller that reads slowly is not cut for others
    Given a budget of which all but one request is held
    When a caller reads 1 byte each 0.5 s and another reads nothing for 2 s
    And a request arrives
    Then the caller that reads nothing is evicted and the other is not

  Scenario: A caller that stops in a long head is evicted, and one that goes on is not
    Given a budget of which all but one request is held
    When one caller sends a part of its head each 0.5 s and another stops for 2 s
    And a request arrives
    Then only the connection of the caller that stopped is closed

  Scenario: A caller that goes on with its head after a pause is not closed for its own bytes
    Given a budget of which all but one request is held
    When a caller pauses for 2 s in a long head and sends a part that does not fit
    Then the part is refused and its connection is not closed

  Scenario: The size of a head does not depend on the parts in which it arrives
    Then any parts of a head and a body give the bytes and lines of the head

  Scenario: Requests that wait for their target are not evicted
    Given a budget of which all but one request is held
    When the requests wait for their targets for 10 s
    Then a further request does not fit and none is evicted

  Scenario: Held bytes are released, whatever the order of requests, growth and evictions
    Then in any sequence of requests the held bytes end at 0 and stay within the capacity

  Scenario: A response is not buffered whole when memory is short, but forwarded
    Given an entry VM with 1 target
    And its responses have 500000 bytes and no memory is left to buffer them
    When a caller sends 3 times GET /lookup/1
    Then the caller gets 200 and the whole body each time

  Scenario: A request without room is refused, and the VM serves the next one
    Given an entry VM with 1 target
    When a request arrives while the requests under way hold all memory
    Then it gets 503 "memory-exhausted" with the time to come back
    And the next request gets 200

  Scenario: A caller that leaves in the middle of a buffered response ends its delivery
    Given an entry VM with 1 target
    And its responses have 900000 bytes
    When 5 callers send GET /lookup/1 and leave after the first bytes
    Then nothing is written to their closed connections
    And a caller that sends GET /lookup/1 gets 200

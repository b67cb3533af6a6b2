Feature: Requests end in time and correctly when targets send endless responses

  In time means within the timeout, which is 1.5 s for a request of a caller. GET /calm/1
  goes to a target that responds as usual. A mode names what a target sends without end:
  line, lines: one header line, or many; digits: digits of the content-length;
  informational: responses with status 102;
  noise, noise-lines, empty-lines: bytes or lines that are no HTTP, or empty lines;
  chunks, tiny-chunks: chunks of 1024 or 2 bytes; extension: a chunk extension;
  trailers: trailer lines; unframed: a body without a length;
  terabytes: a body with a content-length of 5 TB; error: chunks after status 500;
  foreign, foreigners: one endless response, or many whole ones, with the id of another
  attempt; after: bytes after a whole response;
  full, moved: chunks after status 503 or 421 and the header that says it did not run.
  "fast" sends without pauses, "slow" sends one part every 0.05 s.

  Scenario Outline: Idempotent requests get the response of another target if one sends <mode>
    Given an entry VM with 2 targets of which the first is in mode "<mode>"
    And its targets take 0.2 s for a request
    When a caller sends GET /lookup/1 at least 6 times and until t1 has run one
    Then the caller gets 200 and the whole body each time
    And no target sends an endless response 0.5 s later
    And endless responses are logged and are evidence against their target

    Examples:
      | mode               |
      | line fast          |
      | line slow          |
      | lines fast         |
      | lines slow         |
      | informational fast |
      | informational slow |
      | noise fast         |
      | noise slow         |
      | noise-lines fast   |
      | noise-lines slow   |
      | empty-lines fast   |
      | empty-lines slow   |
      | digits fast        |
      | chunks slow        |
      | extension fast     |
      | extension slow     |
      | trailers fast      |
      | trailers slow      |
      | unframed slow      |
      | terabytes slow     |
      | error fast         |
      | error slow         |
      | foreign fast       |
      | foreign slow       |
      | foreigners fast    |
      | foreigners slow    |

  Scenario Outline: At-most-once requests end in time and with a truthful status after <mode>
    Given an entry VM with 1 target in mode "<mode>"
    When a caller with a long timeout sends POST /order/1
    Then the caller gets <status> within 1.5 s
    And each request ran exactly once
    And no target sends an endless response 0.5 s later
    And endless responses are logged and are evidence against their target

    Examples:
      | mode               | status |
      | line fast          | 502    |
      | line slow          | 504    |
      | lines fast         | 502    |
      | lines slow         | 504    |
      | informational fast | 502    |
      | informational slow | 502    |
      | noise fast         | 502    |
      | noise slow         | 502    |
      | noise-lines fast   | 502    |
      | noise-lines slow   | 502    |
      | empty-lines fast   | 502    |
      | empty-lines slow   | 502    |
      | digits fast        | 502    |
      | chunks slow        | 504    |
      | extension fast     | 502    |
      | extension slow     | 504    |
      | trailers fast      | 502    |
      | trailers slow      | 504    |
      | unframed slow      | 504    |
      | terabytes slow     | 504    |
      | error slow         | 504    |
      | foreign fast       | 504    |
      | foreign slow       | 504    |
      | foreigners fast    | 502    |
      | foreigners slow    | 502    |

  Scenario Outline: A response that does not end is visibly broken for the caller in time
    Given an entry VM with 1 target in mode "<mode> fast"
    When a caller with a long timeout sends <request>
    Then the caller gets a broken response within 1.5 s
    And no target sends an endless response 0.5 s later
    And endless responses are logged and are evidence against their target

    Examples:
      | mode      | request       |
      | chunks    | GET /sheet/1  |
      | unframed  | GET /sheet/1  |
      | terabytes | GET /sheet/1  |
      | chunks    | GET /lookup/1 |
      | chunks    | POST /order/1 |
      | unframed  | POST /order/1 |
      | terabytes | POST /order/1 |
      | error     | POST /order/1 |

  Scenario Outline: A body of many small parts fails in time
    Given an entry VM with 1 target in mode "tiny-chunks fast"
    When a caller with a long timeout sends <request>
    Then the caller gets a broken response or 504 within 1.5 s
    And no target sends an endless response 0.5 s later
    And endless responses are logged and are evidence against their target

    Examples:
      | request       |
      | GET /sheet/1  |
      | POST /order/1 |

  Scenario Outline: Requests are retried if an endless response states that they did not run
    Given an entry VM with 2 targets of which the first is in mode "<mode>"
    When a caller sends 6 times POST /order/1
    Then the caller gets 200 and the whole body each time
    And each request ran exactly once
    And no target sends an endless response 0.5 s later

    Examples:
      | mode       |
      | full fast  |
      | full slow  |
      | moved fast |
      | moved slow |

  Scenario Outline: The refusal after <mode> is sent in time
    Given an entry VM with 1 target in mode "<mode>"
    When a caller with a long timeout sends POST /order/1
    Then the caller gets 503 within 1.5 s
    And no request ran
    And no target sends an endless response 0.5 s later

    Examples:
      | mode       |
      | full fast  |
      | full slow  |
      | moved fast |
      | moved slow |

  Scenario Outline: Endless bytes after a whole response reach no later request
    Given an entry VM with 1 target in mode "after <pace>"
    When a caller sends 4 times GET /lookup/1
    Then the caller gets 200 each time
    And no target sends an endless response 2 s later

    Examples:
      | pace |
      | fast |
      | slow |

  Scenario Outline: An endless response is no longer read when its caller has left
    Given an entry VM with 1 target in mode "<mode>"
    When a caller sends <request> and leaves 0.4 s after a target received it
    Then no target sends an endless response 0.5 s later

    Examples:
      | mode           | request       |
      | chunks fast    | GET /sheet/1  |
      | unframed fast  | GET /sheet/1  |
      | chunks slow    | GET /lookup/1 |
      | terabytes fast | POST /order/1 |

  Scenario: The rest of a large response is not kept open when its caller leaves before
    Given an entry VM with 1 target in mode "terabytes paced"
    When a caller sends POST /order/1 and leaves 0.4 s after a target received it
    Then no target sends an endless response 1 s later

  Scenario: Little of a large response is read for a caller that reads nothing
    Given an entry VM with 1 target in mode "chunks fast"
    When a caller sends GET /sheet/1 and reads nothing for 1.25 s
    Then at most 1 MB were read behind the start that is checked

  Scenario: A caller that reads nothing causes no evidence against the target
    Given an entry VM with 1 target in mode "chunks fast"
    When a caller sends GET /sheet/1 and reads nothing for 1.75 s
    Then no target sends an endless response 0.1 s later
    And there is no evidence against the target

  Scenario Outline: 20 endless responses of <mode> do not delay other callers
    Given an entry VM as a process and a target that responds with "<mode> fast"
    When 20 callers send GET /sheet/1 while others send GET /calm/1 for 3 s
    Then 99 % of the other requests got 200 within 0.6 s
    And each of the 20 got the end of its responses within 1.5 s
    And the VM used at most 300 MB of memory

    Examples:
      | mode          |
      | chunks        |
      | tiny-chunks   |
      | unframed      |
      | informational |
      | noise         |
      | foreign       |
      | extension     |

  Scenario Outline: The start of a large response uses no more memory for small parts
    When the start of a response in parts of <size> bytes is read
    Then it used at most 15 MB, so that 20 requests fit a VM with 300 MB

    Examples:
      | size  |
      | 2     |
      | 65536 |

  Scenario Outline: An endless response of the store is aborted in time
    Given a server that responds with "<mode>"
    When a client of the store with a timeout of 2 s lists objects there
    Then the call ends without a response within 2 s
    And at most 300 MB of it were read

    Examples:
      | mode          |
      | chunks fast   |
      | chunks slow   |
      | unframed fast |
      | line fast     |
      | line slow     |

  Scenario Outline: An endless load report is aborted in time
    Given a server that responds with "<mode>"
    When the load of a target there is polled
    Then the call ends without a response within 0.5 s
    And at most 300 MB of it were read

    Examples:
      | mode          |
      | chunks fast   |
      | chunks slow   |
      | unframed fast |
      | line slow     |

  Scenario Outline: An endless response head is aborted within its timeout
    Given a server that responds with "<mode>"
    When a connection with 0.5 s for a response head sends a request there
    Then the call ends without a response within 0.5 s

    Examples:
      | mode               |
      | line slow          |
      | lines slow         |
      | informational fast |
      | informational slow |
      | noise slow         |

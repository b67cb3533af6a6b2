Feature: Bytes without end from a target end no request late, wrongly or for others

  Scenario Outline: Idempotent work is answered by another target beside <mode>
    Given an entry VM with 2 targets of which the first is in mode "<mode>"
    And its work takes 0.2 s
    When a caller sends 6 times GET /lookup/1
    Then the caller gets 200 and the whole body each time
    And no target sends an answer without end 0.5 s later
    And answers without end are logged and count against their target

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

  Scenario Outline: Work that must not repeat ends in time and truthfully after <mode>
    Given an entry VM with 1 target in mode "<mode>"
    When a patient caller sends POST /order/1
    Then the caller gets <status> within 1.5 s
    And each request ran exactly once
    And no target sends an answer without end 0.5 s later
    And answers without end are logged and count against their target

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

  Scenario Outline: An answer that goes on after its start is visibly broken in time
    Given an entry VM with 1 target in mode "<mode> fast"
    When a patient caller sends <request>
    Then the caller sees a broken answer within 1.5 s
    And no target sends an answer without end 0.5 s later
    And answers without end are logged and count against their target

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

  Scenario Outline: A body of many small parts is no success and comes in time
    Given an entry VM with 1 target in mode "tiny-chunks fast"
    When a patient caller sends <request>
    Then the caller sees a broken answer or 504 within 1.5 s
    And no target sends an answer without end 0.5 s later
    And answers without end are logged and count against their target

    Examples:
      | request       |
      | GET /sheet/1  |
      | POST /order/1 |

  Scenario Outline: What an answer without end states of a request not run is used
    Given an entry VM with 2 targets of which the first is in mode "<mode>"
    When a caller sends 6 times POST /order/1
    Then the caller gets 200 and the whole body each time
    And each request ran exactly once
    And no target sends an answer without end 0.5 s later

    Examples:
      | mode       |
      | full fast  |
      | full slow  |
      | moved fast |
      | moved slow |

  Scenario Outline: A refusal after <mode> comes in time
    Given an entry VM with 1 target in mode "<mode>"
    When a patient caller sends POST /order/1
    Then the caller gets 503 within 1.5 s
    And no request ran
    And no target sends an answer without end 0.5 s later

    Examples:
      | mode       |
      | full fast  |
      | full slow  |
      | moved fast |
      | moved slow |

  Scenario Outline: Bytes without end after a whole answer reach no later request
    Given an entry VM with 1 target in mode "after <pace>"
    When a caller sends 4 times GET /lookup/1
    Then the caller gets 200 each time
    And no target sends an answer without end 2 s later

    Examples:
      | pace |
      | fast |
      | slow |

  Scenario Outline: An answer without end is no longer read when its caller has left
    Given an entry VM with 1 target in mode "<mode>"
    When a caller sends <request> and leaves 0.4 s after a target received it
    Then no target sends an answer without end 0.5 s later

    Examples:
      | mode           | request       |
      | chunks fast    | GET /sheet/1  |
      | unframed fast  | GET /sheet/1  |
      | chunks slow    | GET /lookup/1 |
      | terabytes fast | POST /order/1 |

  Scenario: A caller that takes no bytes doesn't make the target look bad
    Given an entry VM with 1 target in mode "chunks fast"
    When a caller sends GET /sheet/1 and reads nothing for 1.75 s
    Then no target sends an answer without end 0.1 s later
    And nothing counts against the target

  Scenario Outline: 20 answers without end of <mode> leave other callers their VM
    Given an entry VM as a process beside a target that answers "<mode> fast"
    When 20 callers send GET /sheet/1 while others send GET /calm/1 for 3 s
    Then 99 in 100 of the others got 200 within 0.6 s
    And each of the 20 got the end of its answers within 1.5 s
    And the VM took at most 300 MB

    Examples:
      | mode          |
      | chunks        |
      | tiny-chunks   |
      | unframed      |
      | informational |
      | noise         |
      | foreign       |
      | extension     |

  Scenario Outline: The start of a large answer takes no more memory for small parts
    When the start of an answer in parts of <size> bytes is read
    Then it took at most 15 MB, which 20 requests of a VM with 300 MB have

    Examples:
      | size  |
      | 2     |
      | 65536 |

  Scenario Outline: An answer of the store without end is given up in time
    Given a server that answers "<mode>"
    When the store's client with 2 s for a call lists objects there
    Then the call ends without an answer within 2 s
    And at most 300 MB of it were read

    Examples:
      | mode          |
      | chunks fast   |
      | chunks slow   |
      | unframed fast |
      | line fast     |
      | line slow     |

  Scenario Outline: A report of a load without end is given up in time
    Given a server that answers "<mode>"
    When a target there is asked for its load
    Then the call ends without an answer within 0.5 s
    And at most 300 MB of it were read

    Examples:
      | mode          |
      | chunks fast   |
      | chunks slow   |
      | unframed fast |
      | line slow     |

  Scenario Outline: A head without end is given up within the limit of a head
    Given a server that answers "<mode>"
    When a connection with 0.5 s for a head sends a request there
    Then the call ends without an answer within 0.5 s

    Examples:
      | mode               |
      | line slow          |
      | lines slow         |
      | informational fast |
      | informational slow |
      | noise slow         |

Feature: Invalid input from callers gets a typed refusal and affects no other request

  A typed refusal has a JSON body that names its type.

  Scenario Outline: <input> reaches no target and affects no other request
    Given an entry VM with 1 target
    When a caller sends the bytes of <input>
    Then the first response is the refusal "<type>" with status <status> that did not run
    And no request ran
    And a further caller is served and the log contains no error

    Examples:
      | input                                 | status | type                 |
      | a line that is no request             | 400    | request-invalid      |
      | a TLS greeting                        | 400    | request-invalid      |
      | the preface of HTTP/2                 | 404    | route-missing        |
      | a request without a host              | 400    | request-invalid      |
      | a request with two hosts              | 400    | request-invalid      |
      | two different lengths                 | 400    | request-invalid      |
      | a negative length                     | 400    | request-invalid      |
      | a length beside a transfer coding     | 400    | length-ambiguous     |
      | an unknown transfer coding            | 501    | encoding-unsupported |
      | a space before the colon of a header  | 400    | request-invalid      |
      | a NUL in a header                     | 400    | request-invalid      |
      | a header of 200 KB without end        | 431    | headers-too-large    |
      | 300 header fields                     | 431    | headers-too-large    |
      | a body above the limit                | 413    | body-too-large       |
      | an absolute target                    | 404    | route-missing        |
      | a connection option that hides Host   | 400    | header-invalid       |
      | two keys                              | 401    | key-refused          |

  # Guards against methods that reach the target in capitals, as another request.
  Scenario Outline: The method <method> goes on as the caller wrote it
    Given an entry VM with 1 target
    When a caller sends a request with the method <method>
    Then the target received the method <method>, and the caller gets 200

    Examples:
      | method |
      | GET    |
      | patch  |
      | Post   |
      | get    |
      | mKcol  |

  Scenario Outline: <input> runs on no target
    Given an entry VM with 1 target
    When a caller sends the bytes of <input>
    Then no request ran
    And a further caller is served and the log contains no error

    Examples:
      | input                         |
      | a chunk with a wrong length   |
      | a body that ends early        |
      | a chunked body without an end |

  Scenario Outline: A request smuggled behind <hiding> does not run
    Given an entry VM with 1 target
    When a caller sends the bytes of a request smuggled behind <hiding>
    Then the first response is the refusal "<type>" with status <status> that did not run
    And the connection ends after the first response
    And no request ran

    Examples:
      | hiding                            | status | type                 |
      | a length beside a transfer coding | 400    | length-ambiguous     |
      | an unknown transfer coding        | 501    | encoding-unsupported |
      | two different lengths             | 400    | request-invalid      |

  Scenario Outline: After an early response, the rest of a body reaches no other request, <mode>
    Given an entry VM with 1 target in mode "<mode>"
    When 3 callers send <size> bytes to POST /order/ one after the other
    Then each caller got 413, 504 or a closed connection
    And each body that the target read is a part of its caller's body

    Examples:
      | mode                      | size     |
      | early                     | 3000000  |
      | early, then reads on late | 3000000  |
      | early, then reads on late | 30000000 |

  Scenario: A head with too many fields is refused on a connection that was used before
    Given an entry VM with 1 target
    When a caller sends a request, and 300 header fields on the same connection
    Then the first response is the refusal "headers-too-large" with status 431 that did not run
    And the connection ends after the first response
    And only the first request ran

  Scenario: An offer to change to WebSocket gets a typed refusal
    Given an entry VM with 1 target
    When a caller sends the bytes of a WebSocket upgrade request
    Then the first response is the refusal "upgrade-unsupported" with status 501 that did not run
    And no request ran

  Scenario: A header above the configured limit is refused
    Given an entry VM with 1 target
    When a caller sends the bytes of a header of 17 KB
    Then the first response is the refusal "headers-too-large" with status 431 that did not run
    And no request ran

  Scenario: A chunked body above the configured limit is refused
    Given an entry VM with 1 target
    And its configuration allows bodies of 1000 bytes
    When a caller sends the bytes of a chunked body of 2000 bytes
    Then the first response is the refusal "body-too-large" with status 413 that did not run
    And no request ran

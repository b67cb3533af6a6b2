Feature: A request runs only for its key's workspace, and no upstream receives the key

  Scenario Outline: The key is removed from all headers
    Given 1 targets behind relays and 1 daemon
    When a caller fetches "<path>" with the header "<header>"
    Then the response has status 200
    And no upstream saw the key of "shop"

    Examples:
      | path       | header                    |
      | /find/item | authorization: Bearer KEY |
      | /find/item | cookie: session=KEY       |
      | /open/item | x-api-key: KEY            |
      | /find/item | x_api_key: KEY            |

  Scenario: A header for keys is removed even if it contains no key
    Given 1 targets behind relays and 1 daemon
    When a caller fetches "/open/item" with the header "authorization: Bearer x"
    Then the response has status 200
    And no upstream saw the header "authorization" or "x-api-key"

  Scenario: A request whose key is withdrawn before it is forwarded is refused
    Given 1 targets behind relays and 1 daemon
    When the key is withdrawn while a caller sends its request
    Then all responses are the refusal "key-refused" with status 401 and ran "no"
    And no upstream ran a request

  Scenario: A withdrawn key stops working on an open connection
    Given 1 targets behind relays and 1 daemon
    And 1 requests have opened connections
    When the key is withdrawn while a caller sends its request
    And 1 callers fetch "/find/item"
    Then all responses are the refusal "key-refused" with status 401 and ran "no"

  Scenario: Requests that upstreams might interpret differently are refused
    Given 1 targets behind relays and 1 daemon
    Then each raw request is refused with its status and type and ran "no"
      | request | status | type |
      | GET /open/../find HTTP/1.1\r\nHost: a\r\n\r\n | 400 | path-invalid |
      | GET /open/%2e%2e/find HTTP/1.1\r\nHost: a\r\n\r\n | 400 | path-invalid |
      | GET /open%2f..%2ffind HTTP/1.1\r\nHost: a\r\n\r\n | 400 | path-invalid |
      | GET //find HTTP/1.1\r\nHost: a\r\n\r\n | 400 | path-invalid |
      | GET http://a/find HTTP/1.1\r\nHost: a\r\n\r\n | 400 | path-invalid |
      | GET /find?k=KEY HTTP/1.1\r\nHost: a\r\nX-Api-Key: KEY\r\n\r\n | 400 | key-misplaced |
      | GET /open HTTP/1.0\r\nHost: a\r\n\r\n | 505 | version-unsupported |
      | GET /open HTTP/1.1\r\nHost: a\r\nX-Fill: LONG\r\n\r\n | 431 | headers-too-large |
      | GET /open HTTP/1.1\r\nHost: a\r\nContent-Length: 2\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n | 400 | length-ambiguous |
      | GET /open HTTP/1.1\r\nHost: a\r\nContent-Length: 2\r\nContent-Length: 3\r\n\r\nab | 400 | request-invalid |
      | GET /open HTTP/1.1\r\nHost: a\r\nConnection: Content-Length\r\nContent-Length: 0\r\n\r\n | 400 | header-invalid |
      | GET /open HTTP/1.1\r\nHost: a\r\nX-Request-Deadline-Ms: soon\r\n\r\n | 400 | deadline-invalid |
      | GET /open HTTP/1.1\r\nHost: a\r\nUpgrade: websocket\r\nConnection: upgrade\r\nSec-WebSocket-Version: 13\r\nSec-WebSocket-Key: AAAAAAAAAAAAAAAAAAAAAA==\r\n\r\n | 501 | upgrade-unsupported |
      | PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n | 505 | version-unsupported |
      | nonsense\r\n\r\n | 400 | request-invalid |
    And no upstream ran a request

  Scenario: An offer to upgrade to HTTP/2 is ignored
    Given 1 targets behind relays and 1 daemon
    When a caller sends the raw request GET /open HTTP/1.1\r\nHost: a\r\nUpgrade: h2c\r\nConnection: upgrade\r\n\r\n
    Then the raw response has status 200

  # Guards against methods that reach the upstream in capitals, as another request.
  Scenario Outline: A daemon passes the method <method> on as the caller wrote it
    Given 1 targets behind relays and 1 daemon
    When a caller sends the raw request <method> /small HTTP/1.1\r\nHost: a\r\n\r\n
    Then the raw response has status 200, and the upstream got the method <method>

    Examples:
      | method |
      | GET    |
      | patch  |

  Scenario: A daemon refuses a method that its route lists in capitals only
    Given 1 targets behind relays and 1 daemon
    When a caller sends the raw request get /small HTTP/1.1\r\nHost: a\r\n\r\n
    Then the raw response has status 405
    And no upstream ran a request

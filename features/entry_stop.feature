Feature: A planned stop loses no request that was forwarded, and ends in time

  Scenario: A request that comes while idle connections are closed is answered or not run
    Given an entry VM with 2 targets
    And its targets take 0.2 s for a request
    And 100 callers that keep their connections open
    When the VM starts to stop and each caller sends POST /order/ as its listener closes
    Then no request ran without a response
    And the VM was gone within 2 s after it was asked to stop

  Scenario: A caller that does not read holds up neither the stop nor other connections
    Given an entry VM with 1 target
    And a caller that does not read a response of 60000 bytes
    And 1 callers that keep their connections open
    When the VM is stopped
    Then the open connections were closed within 1.3 s after the stop began
    And the VM was gone within 2 s after it was asked to stop

  Scenario: Connections whose first request comes as they are closed do not delay a stop
    Given an entry VM with 2 targets
    And its targets take 0.2 s for a request
    And 80 connections without a request
    When the VM starts to stop and their requests come in the event loop's turns around the close
    Then none of their requests ran without a response
    And the VM was gone within 1.7 s after it was asked to stop

  Scenario: Requests that come late in the grace are answered, or refused at once
    Given an entry VM with 2 targets
    And its targets take 1.2 s for a request
    And 10 requests POST /order/ were served
    And 60 callers that keep their connections open
    When the VM starts to stop and each caller sends POST /order/ at any time of the stop
    Then no request ran without a response
    And requests that could not end in time were refused at once
    And the VM was gone within 2 s after it was asked to stop

  Scenario Outline: <method> requests that outlast a stop get a truthful answer before it ends
    Given an entry VM with 2 targets
    And its routes give requests 20 s
    And its targets take 10 s for a request
    And 5 callers have sent <method> <path>
    When the VM is asked to stop
    Then each caller got <status> with the type "stopping" and ran "<ran>"
    And the VM was gone within 2 s after it was asked to stop

    Examples:
      | method | path      | status | ran     |
      | POST   | /order/1  | 504    | unknown |
      | GET    | /lookup/1 | 504    | unknown |

  Scenario Outline: A stop <decision> a request that <request>
    Then a stop with <limit> s <decision> a request with <left> s left that takes <typical> s after <after> s

    Examples:
      | request                    | limit | after | left | typical | decision |
      | fits its own time          | 6     | 1.0   | 4.0  | 3.0     | accepts  |
      | probably ends              | 6     | 1.0   | 10.0 | 1.0     | accepts  |
      | may take too long          | 6     | 1.0   | 10.0 | 2.0     | refuses  |
      | arrives as listening ends  | 4     | 2.05  | 5.0  | 0.5     | accepts  |
      | comes later than 3 s       | 6     | 3.05  | 5.0  | 0.5     | refuses  |
      | comes late and may be slow | 6     | 3.2   | 5.0  | 0.1     | refuses  |
      | probably ends, in 10 s     | 10    | 2.9   | 10.0 | 1.1     | accepts  |
      | comes late in 10 s         | 10    | 4.6   | 5.0  | 1.1     | refuses  |
      | ends with the last share   | 10    | 4.15  | 4.95 | 1.1     | refuses  |
      | comes late but is short    | 6     | 4.0   | 1.4  | 1.0     | accepts  |
      | comes too late             | 6     | 5.4   | 0.3  | 0.1     | refuses  |

  Scenario: No accepted request outlives the process unless it is slower than usual
    Then any request that a stop accepts ends in time, or takes over 3 times its typical duration

  # A stop lasted as long as the settings had allowed at the start of the process.
  Scenario: A stop ends within the grace of a settings file that has changed
    Given an entry VM as a process with a settings file
    When the file states a grace of 2 s and the process gets SIGHUP
    Then its log states that the settings were applied with 5 s
    And the process ends within 2 s after SIGTERM

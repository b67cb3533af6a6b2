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

Feature: Callers may send further requests before the first is answered

  Scenario: Requests that are sent together get their own responses in order
    Given an entry VM with 2 targets
    When a caller sends 6 requests at once on one connection
    Then the 6 responses arrive in order, each with the id of its request
    And each of the requests ran once

  Scenario: Requests behind a response that closes the connection reach no target
    Given an entry VM with 1 target that works for 0.4 s
    When a caller sends 4 requests at once and a planned stop begins during the first
    Then the connection closes after 1 whole response, which announces it
    And 1 of the requests ran

  Scenario: A caller that leaves with further requests sent stops its running request
    Given an entry VM with 1 target in mode "hang"
    When a caller sends 3 requests at once and leaves 0.3 s after the first runs
    Then the running request is cut at its target within 0.5 s
    And 1 of the requests ran

  Scenario: A caller that leaves at once after several requests leaves none running
    Given an entry VM with 1 target in mode "hang"
    When a caller sends 3 requests at once and leaves without a wait
    Then at most the first request ran, and it is cut within 0.5 s

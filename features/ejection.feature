Feature: Unhealthy targets are ejected within the floor and returned after trials

  Scenario: No sequence of ejections, returns and list changes breaches the floor
    Then the floor is kept in any sequence of ejections, returns and list changes

  Scenario: The least unhealthy targets return when the list shrinks
    Given an ejector with 10 targets and a floor of 0.6
    When the targets 1 to 4 are ejected with rising suspicions
    And the targets 6 to 10 leave the list
    Then the targets 3 and 4 are out of rotation

  Scenario: A clearly worse target is ejected in place of a less unhealthy one
    Given an ejector with 10 targets and a floor of 0.6
    When the targets 1 to 4 are ejected with rising suspicions
    And the target 5 is ejected with suspicion 9
    Then the target 5 is out of rotation
    And the target 1 is in rotation

  Scenario: The floor keeps a slightly worse target in rotation
    Given an ejector with 10 targets and a floor of 0.6
    When the targets 1 to 4 are ejected with rising suspicions
    And the target 5 is ejected with suspicion 1.2
    Then the target 5 is in rotation

  Scenario: Three successful trials return a target, whose load then ramps up
    Given an ejector with 10 targets and a floor of 0.6
    When the target 1 is ejected with suspicion 2
    And 1.0 seconds pass
    Then the target 1 gets no trial
    When 1.5 seconds pass
    And 3 trials of the target 1 succeed
    Then the target 1 is in rotation
    And the target 1 gets 10% of its load

  Scenario: Each failed trial doubles the backoff before the next one
    Given an ejector with 10 targets and a floor of 0.6
    When the target 1 is ejected with suspicion 2
    And 2.5 seconds pass
    And a trial of the target 1 fails
    And 2.5 seconds pass
    Then the target 1 gets no trial
    When 2.5 seconds pass
    Then the target 1 gets a trial

  Scenario: Only idempotent requests are sent as trials
    Given a dispatcher on a virtual clock with an ejected target due for a trial
    Then none of 50 at-most-once requests is sent to that target
    And 1 idempotent request is sent to that target while the trial runs

  Scenario: A running daemon sends no requests to an ejected target
    Given a fleet with 3 targets and 1 daemons
    When the target "target1" responds with errors only
    And the workspace "shop" makes 300 requests GET "/find/cartridge" through "vm1"
    Then the daemon "vm1" has ejected "target1"
    And at least 28 of the last 30 requests were served by other targets than "target1"

  Scenario: A daemon records the load that a target reports
    Given a fleet with 2 targets and 1 daemons
    When the target "target1" is busy with 4 requests of other callers
    Then the daemon "vm1" records load of other VMs at "target1" only

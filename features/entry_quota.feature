Feature: Workspaces get their rate over all VMs together, and no more

  Digests between VMs travel 0.3 s, as between data centres and regions.

  Scenario Outline: A workspace that asks many times its rate gets its rate
    Given 36 VMs and a workspace with a rate of <rate> and a burst of <burst>
    When it asks 0.6 times its rate for 6 s
    And it asks <factor> times its rate for 8 s
    Then no 5 s see more than the rate and the burst allow
    And the last 5 s admit at least 0.8 of the rate

    Examples:
      | rate | burst | factor |
      | 12   | 12    | 4.7    |
      | 64   | 64    | 4.7    |
      | 64   | 64    | 8      |
      | 12   | 12    | 8      |

  Scenario Outline: A workspace within its rate is hardly refused
    Given 36 VMs and a workspace with a rate of <rate> and a burst of <burst>
    When it asks 0.62 times its rate for 30 s
    Then at most <share> of its requests are refused

    Examples:
      | rate | burst | share |
      | 12   | 12    | 0.03  |
      | 64   | 64    | 0.005 |

  Scenario Outline: A workspace that asks a little too much gets its whole rate
    Given 36 VMs and a workspace with a rate of <rate> and a burst of <rate>
    When it asks 1.3 times its rate for 20 s
    Then no 5 s see more than the rate and the burst allow
    And the last 15 s admit at least 0.98 of the rate

    Examples:
      | rate |
      | 12   |
      | 64   |

  Scenario: A VM that is cut off serves callers within its part of the rate
    Given 36 VMs and a workspace with a rate of 64 and a burst of 64
    When it asks 0.6 times its rate for 6 s
    And 1 VM is cut off for 4 s
    And it asks 0.6 times its rate for 4 s
    Then at most 0.01 of its requests are refused

  Scenario: Both sides of a partition stay within the rate together
    Given 36 VMs and a workspace with a rate of 64 and a burst of 64
    When it asks 0.6 times its rate for 6 s
    And the VMs are cut into two halves
    And it asks 0.6 times its rate for 2 s
    And it asks 4.7 times its rate for 7 s
    Then no 5 s see more than the rate and the burst allow

  Scenario: Restarts of most VMs mint no second burst for a workspace over its rate
    Given 36 VMs and a workspace with a rate of 64 and a burst of 64
    When it asks 4.7 times its rate for 6 s
    And 20 of the VMs start anew
    And it asks 4.7 times its rate for 6 s
    Then no 5 s see more than the rate and the burst allow

  Scenario: Restarts in series mint no requests for a workspace over its rate
    Given 6 VMs and a workspace with a rate of 20 and a burst of 20
    When it asks 4 times its rate for 6 s
    And 3 of its VMs start anew each 0.8 s for 6 s while it asks 4 times its rate
    Then no 5 s see more than the rate and the burst allow

  Scenario: A lowered rate holds from the next window on
    Given 36 VMs and a workspace with a rate of 64 and a burst of 64
    When it asks 1.5 times its rate for 6 s
    And its rate becomes 8 and its burst 8
    And it asks 8 times its rate for 12 s
    Then no 5 s of the last 6 s see more than the rate and the burst allow

  Scenario Outline: A refusal states that <why>
    Given one of 36 VMs that counts a workspace with a rate of 20
    And it is asked once a second while the others report <others> per second for <heard> s
    When no other VM is heard for <silent> s
    And callers ask the VM for <asked> requests of it per second for 1 s
    Then most of its refusals state "<reason>" and "<text>"

    Examples:
      | why                            | others | heard | silent | asked | reason       | text                                          |
      | the workspace is over its rate | 60     | 4     | 0.01   | 10    | over-rate    | the workspace is over its rate                |
      | the VM is cut off              | 10     | 4     | 3      | 10    | cut-off      | some VMs of the fleet do not reach this VM    |
      | the VM has just started        | 10     | 0     | 0.01   | 10    | just-started | this VM has just begun to count the workspace |

  Scenario: A refusal of what comes to one VM at once states so
    Given one of 36 VMs that counts a workspace with a rate of 200
    And it is asked once a second while the others report 5 per second for 4 s
    When callers ask the VM for 40 requests of it at once
    Then most of its refusals state "unreported" and "came to this VM at once"

  Scenario: A VM that is cut off states that a workspace is over its rate if it is
    Given one of 36 VMs that counts a workspace with a rate of 20
    And it is asked once a second while the others report 10 per second for 4 s
    When no other VM is heard for 3 s
    And callers ask the VM for 60 requests of it per second for 2 s
    Then its last refusal states "over-rate"

  Scenario: VMs that count only their own admissions are caught
    Given 36 VMs and a workspace with a rate of 64 and a burst of 64
    And VMs that exchange no digests and take the whole rate
    When it asks 4.7 times its rate for 8 s
    Then some 5 s see more than the rate and the burst allow

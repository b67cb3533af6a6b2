Feature: Workspaces get their rate over all VMs together, and exceed it by at most a tolerance

  Digests between VMs take 0.3 s, as between data centres and regions. The tolerance is
  that of the platform: a tenth of what rate and burst allow in 5 s, and 20 requests.

  Scenario Outline: A workspace that requests many times its rate gets its rate
    Given 36 VMs and a workspace with a rate of <rate> and a burst of <burst>
    When it requests 0.6 times its rate for 6 s
    And it requests <factor> times its rate for 8 s
    Then in no 5 s more is admitted than rate, burst and tolerance allow
    And in the last 5 s at least 0.8 of the rate is admitted

    Examples:
      | rate | burst | factor |
      | 12   | 12    | 4.7    |
      | 64   | 64    | 4.7    |
      | 64   | 64    | 8      |
      | 12   | 12    | 8      |

  Scenario Outline: Few requests of a workspace within its rate are refused
    Given 36 VMs and a workspace with a rate of <rate> and a burst of <burst>
    When it requests 0.62 times its rate for 30 s
    Then at most <share> of its requests are refused

    Examples:
      | rate | burst | share |
      | 12   | 12    | 0.03  |
      | 64   | 64    | 0.005 |

  Scenario Outline: A workspace slightly over its rate gets its whole rate
    Given 36 VMs and a workspace with a rate of <rate> and a burst of <rate>
    When it requests 1.3 times its rate for 20 s
    Then in no 5 s more is admitted than rate, burst and tolerance allow
    And in the last 15 s at least 0.98 of the rate is admitted

    Examples:
      | rate |
      | 12   |
      | 64   |

  Scenario: A partitioned VM serves callers within its part of the rate
    Given 36 VMs and a workspace with a rate of 64 and a burst of 64
    When it requests 0.6 times its rate for 6 s
    And 1 VM is partitioned from the others for 4 s
    And it requests 0.6 times its rate for 4 s
    Then at most 0.01 of its requests are refused

  Scenario: Both sides of a partition stay within the rate together
    Given 36 VMs and a workspace with a rate of 64 and a burst of 64
    When it requests 0.6 times its rate for 6 s
    And the VMs are partitioned into two halves
    And it requests 0.6 times its rate for 2 s
    And it requests 4.7 times its rate for 7 s
    Then in no 5 s more is admitted than rate, burst and tolerance allow

  Scenario: Restarts of most VMs admit no second burst of a workspace over its rate
    Given 36 VMs and a workspace with a rate of 64 and a burst of 64
    When it requests 4.7 times its rate for 6 s
    And 20 of the VMs restart
    And it requests 4.7 times its rate for 6 s
    Then in no 5 s more is admitted than rate, burst and tolerance allow

  Scenario: Repeated restarts admit no excess requests of a workspace over its rate
    Given 6 VMs and a workspace with a rate of 20 and a burst of 20
    When it requests 4 times its rate for 6 s
    And 3 of its VMs restart each 0.8 s for 6 s while it requests 4 times its rate
    Then in no 5 s more is admitted than rate, burst and tolerance allow

  Scenario: A lowered rate applies from the next window on
    Given 36 VMs and a workspace with a rate of 64 and a burst of 64
    When it requests 1.5 times its rate for 6 s
    And its rate becomes 8 and its burst 8
    And it requests 8 times its rate for 12 s
    Then in no 5 s of the last 6 s more is admitted than rate, burst and tolerance allow

  Scenario Outline: A refusal states that <why>
    Given one of 36 VMs and a workspace with a rate of 20
    And the VM receives a request per second while the others report <others> per second for <time> s
    When no digest of another VM arrives for <gap> s
    And callers of the workspace send the VM <rate> requests per second for 1 s
    Then most of the VM's refusals state "<reason>" and "<text>"

    Examples:
      | why                            | others | time  | gap    | rate  | reason       | text                                          |
      | the workspace is over its rate | 60     | 4     | 0.01   | 10    | over-rate    | the workspace is over its rate                |
      | the VM is cut off              | 10     | 4     | 3      | 10    | cut-off      | this VM does not hear the whole fleet         |
      | the VM has just started        | 10     | 0     | 0.01   | 10    | just-started | this VM has just begun to count the workspace |

  Scenario: A refusal states that too many requests arrived at one VM at once
    Given one of 36 VMs and a workspace with a rate of 200
    And the VM receives a request per second while the others report 5 per second for 4 s
    When callers of the workspace send the VM 40 requests at once
    Then most of the VM's refusals state "unreported" and "came to this VM at once"

  Scenario: A partitioned VM states over-rate if the whole rate would not suffice either
    Given one of 36 VMs and a workspace with a rate of 20
    And the VM receives a request per second while the others report 10 per second for 4 s
    When no digest of another VM arrives for 3 s
    And callers of the workspace send the VM 60 requests per second for 2 s
    Then the VM's last refusal states "over-rate"

  Scenario: This test detects VMs that count only their own admissions
    Given 36 VMs and a workspace with a rate of 64 and a burst of 64
    And VMs that exchange no digests and each admit the whole rate
    When it requests 4.7 times its rate for 8 s
    Then in some 5 s more is admitted than rate, burst and tolerance allow

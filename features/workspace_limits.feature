Feature: A workspace gets what its limit over windows states, and never more

  The limit over any 5 s is rate x 5 + burst. A tenth of it and 20 requests are tolerated
  for imprecision between VMs and are not handed out.

  Scenario: A steady demand above the rate fills the limit
    Given 98 VMs and a workspace with a rate of 15 and a burst of 15
    When it requests 1.67 times its rate for 60 s
    Then in the last 50 s at least 0.96 of its limit is admitted
    And in no 5 s more is admitted than rate, burst and tolerance allow

  Scenario: A variant that hands out no burst fails that test
    Given 98 VMs and a workspace with a rate of 15 and a burst of 15
    And quotas of a variant that hands out no burst
    When it requests 1.67 times its rate for 60 s
    Then in the last 50 s less than 0.96 of its limit is admitted

  Scenario: A burst after idle time is admitted
    Given 98 VMs and a workspace with a rate of 15 and a burst of 15
    When it requests 0 times its rate for 8 s
    And it requests 4 times its rate for 1 s
    Then at most 0.05 of its requests are refused

  Scenario: A variant that keeps its whole limit in a partition exceeds it
    Given 98 VMs and a workspace with a rate of 64 and a burst of 64
    And quotas of a variant that keeps its whole limit in a partition
    When the VMs are partitioned into two halves
    And it requests 4.7 times its rate for 9 s
    Then in some 5 s more is admitted than rate, burst and tolerance allow

  Scenario: A variant that sees a growing demand only slowly exceeds the limit
    Given 36 VMs and a workspace with a rate of 64 and a burst of 64
    And quotas of a variant that sees a growing demand only slowly
    When it requests 0.6 times its rate for 6 s
    And it requests 8 times its rate for 8 s
    Then in some 5 s more is admitted than rate, burst and tolerance allow

  Scenario: Beyond its limit a workspace loses its less urgent requests first
    Given 98 VMs, a workspace with a rate and burst of 15 and 25 requests per second of three ranks
    When it has sent for 10 s and sends for 20 s
    Then at most 0.02 of its requests of rank 0 are refused
    And at most 0.4 of its requests of rank 1 are refused
    And at least 0.7 of its requests of rank 2 are refused
    And its limit and the tolerance are not exceeded

  Scenario: Digests without ranks fail that test
    Given 98 VMs, a workspace with a rate and burst of 15 and 25 requests per second of three ranks
    And digests without the less urgent part of the usage
    When it has sent for 10 s and sends for 20 s
    Then at least 0.02 of its requests of rank 0 are refused

  Scenario Outline: A workspace with <limits> is stated and gets a default
    Given a stored workspace with the limits <limits>
    Then its rate is <rate>, its burst <burst> and the problem "<problem>"

    Examples:
      | limits                             | rate | burst | problem       |
      | {}                                 | 0    | 0     | no-rate       |
      | {"rate_per_s": null}               | 0    | 0     | no-rate       |
      | {"rate_per_s": -1}                 | 0    | 0     | rate-invalid  |
      | {"rate_per_s": 1e300, "burst": 5}  | 0    | 0     | rate-invalid  |
      | {"rate_per_s": "x"}                | 0    | 0     | rate-invalid  |
      | {"rate_per_s": 3, "burst": -2}     | 3    | 3     | burst-invalid |
      | {"rate_per_s": 3, "burst": [1]}    | 3    | 3     | burst-invalid |
      | {"rate_per_s": 3, "burst": 2}      | 3    | 2     | none          |

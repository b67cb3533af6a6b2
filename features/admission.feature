Feature: Under load a service serves its urgent requests first

  In the simulations 40 VMs in two data centres send to 16 targets of 3 slots: bill
  (rank 0, 96 ms), order (rank 1, 250 ms) and tariff (rank 2, 600 ms, which may take
  4 s). At the normal load 0.65 of the slots are busy. The trouble lasts 8.5 s; it
  states by what factor a kind sends more, or what else differs.

  Scenario Outline: Urgent requests are served in the trouble <trouble>
    Given the trouble <trouble>
    When the load is simulated
    Then at least <bill> of bill and <order> of order are on time
    And at least <gain> more of the value is delivered than with admits_all=true
    And no kind is served less than a quarter as often as all requests

    Examples:
      | trouble                                 | bill | order | gain  |
      | tariff=4                                | 0.75 | 0.75  | 0.3   |
      | order=4                                 | 0.65 | 0.35  | 0.2   |
      | workspace_rate=60                       | 0.75 | 0.7   | 0.3   |
      | refused_share=0.55 retries="value"      | 0.85 | 0.9   | -0.01 |
      | tariff=4 queue_per_slot=0 retries="value" | 0.8  | 0.8   | 0.25  |
      | slow_targets=5 order=1.3 tariff=1.3     | 0.75 | 0.65  | 0.05  |
      | order=2 tariff=2.5 retries_at_once=true | 0.7  | 0.6   | 0.3   |
      | order=1.4 tariff=1.4 center_share=0.9   | 0.9  | 0.95  | -0.01 |

  Scenario: Nothing waits or is refused at a normal load
    Given the trouble tariff=1
    When the load is simulated
    Then no request waited and none was refused

  Scenario: VMs have about the same level
    Given the trouble tariff=4
    When the levels of the VMs are read after 6 s
    Then they differ by at most 0.5 and all exceed 0

  Scenario: One VM with absurd reports does not close a service for the others
    Given the trouble false_load=1000
    When the load is simulated
    Then at least 0.95 of bill and 0.95 of order are on time
    And at least 0.1 more of the value is delivered than with trusts_reports=true

  Scenario: Lost reports leave each VM with what it sees itself
    Given the trouble loses_reports=true tariff=3
    When the load is simulated
    Then at least 0.6 of bill and 0.45 of order are on time
    And at least 0.2 more of the value is delivered than with admits_all=true

  Scenario: Without recent reports nothing is withheld
    Given a VM that knew a load of 4 requests per slot
    When 3 s pass without reports
    Then its level is 0

  Scenario: A workspace that sends more than others loses its requests first
    Then at a share of 0.7 a workspace with 2 of 40 gets 1.0 to 1.0
    And at a share of 0.7 a workspace with 20 of 40 gets 0.39 to 0.41
    And at a share of 0.3 a workspace with 2 of 40 gets 0.5 to 0.6
    And at a share of 0.3 a workspace with 20 of 40 gets 0.05 to 0.15

  Scenario Outline: A rank of <value> in the configuration is clamped and reported
    Then the rank <value> is read as <rank> and reported as <problem>

    Examples:
      | value  | rank | problem      |
      | -3     | 0    | negative     |
      | 1e300  | 9    | huge         |
      | "high" | 0    | not-a-number |
      | null   | 0    | missing      |

  Scenario: Refusals of targets reach the other VMs once
    Then 3 refusals that a VM reports to the aggregator reach other VMs, but not itself

  Scenario: A loaded service refuses its less urgent requests before they run
    Given an entry VM with 2 targets
    And its routes have the ranks 0, 1 and 2 and its service a load of 3 per slot
    Then of 20 GET /lookup/1 at least 20 get 200
    And of 20 GET /sheet/1 at least 10 get 503

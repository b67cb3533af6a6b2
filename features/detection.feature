Feature: Unhealthy targets are detected by the evidence of all VMs

  Scenario: Lost, duplicated and reordered evidence digests count each exchange at most once
    Then for any loss, duplication and order the received counts never exceed the sent ones

  Scenario: The next digest contains the evidence of a lost one
    Given a peer whose digests carry 10 failures each
    When the second of 3 digests is lost
    Then the received failures since the first digest are 20

  Scenario: A sender that resets its sums adds no false evidence
    Given a peer whose digests carry 10 failures each
    When the peer resets its sums after 2 digests
    Then the received failures since the first digest are 10

  Scenario: A running request is counted as late before it ends
    Given a monitor whose targets respond in 20 ms
    When a request has run for 200 ms
    Then one late exchange is counted, also after its end

  Scenario: A VM that finds most targets unhealthy suspects none on its own evidence
    Given a monitor whose targets respond in 20 ms
    When all 6 targets fail one after another in 20 rounds
    Then no target is suspected

  Scenario: A failing target is suspected while the service's other targets are healthy
    Given a monitor whose targets respond in 20 ms
    When one target of 6 fails and the others respond in each of 40 rounds
    Then only that target is suspected

  Scenario: A single peer's evidence is not enough to suspect a target
    Given a monitor whose targets respond in 20 ms
    When the peer "vm2" reports 10 failures of a target that is healthy for this VM
    Then no target is suspected

  Scenario: Evidence digests stay within their byte budget with many peers and targets
    Given a VM with 100 peers and 400 failing targets
    When 20 seconds pass on a virtual clock
    Then the VM sent at most 4096 bytes per second and a digest to every peer

  Scenario Outline: Every registered detector suspects a dead target and no healthy one
    Given the detector "<name>" with threshold <threshold>
    Then it suspects a dead target within 60 requests and a healthy one never

    Examples:
      | name        | threshold |
      | consecutive | 5         |
      | outlier     | 0.2       |
      | phi         | 8         |
      | cusum       | 18        |

  Scenario: A daemon receives the failures that another one observes as evidence
    Given a fleet with 3 targets and 2 daemons
    When the workspace "shop" makes 200 requests GET "/find/cartridge" through "vm1"
    Then the daemon "vm2" receives digests from "vm1" within 5 seconds
    When the target "target1" responds with errors only
    And the workspace "shop" makes 200 requests GET "/find/cartridge" through "vm1"
    Then the daemon "vm2" counts failures of "target1" within 5 seconds

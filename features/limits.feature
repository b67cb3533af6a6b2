Feature: A workspace's rate and burst hold over all VMs

  Scenario: Admissions stay within rate and burst on explored schedules
    When 60 schedules of the limits protocol are explored with seed 1
    Then every schedule held

  Scenario Outline: The exploration catches a broken variant of the token protocol
    When 300 schedules of the limits protocol are explored with seed 1 and "<variant>"
    Then a schedule failed

    Examples:
      | variant                        |
      | loans-live-twice-as-long       |
      | tokens-return-with-ended-loans |
      | restart-without-waiting        |

  Scenario: VMs without units borrow from the owners
    Given 4 VMs that share a workspace of rate 8 and burst 12
    When VM "d" is asked for 12 admissions
    And the simulated VMs run for 1.0 s
    Then at least 11 and at most 20 requests were admitted

  Scenario: Units and loans serve on while the store is unavailable
    Given 4 VMs that share a workspace of rate 8 and burst 12
    When VM "a" is asked for 1 admissions
    And VM "b" is asked for 1 admissions
    And the simulated VMs run for 1.0 s
    And the simulated store is unavailable
    And the simulated VMs run for 4.0 s
    And VM "d" is asked for 8 admissions
    And the simulated VMs run for 1.0 s
    Then at least 8 and at most 12 requests were admitted

  Scenario: A planned stop gives units up without waiting for the lease
    Given 4 VMs that share a workspace of rate 8 and burst 12
    When every VM is asked for 3 admissions
    And the simulated VMs run for 3.0 s
    And the owner of most units stops as planned
    And the simulated VMs run for 8.0 s
    And every VM is asked for 3 admissions
    And the simulated VMs run for 8.0 s
    Then no units belong to the VM that went

  Scenario: Units of a crashed VM stay out until its lease has ended
    Given 4 VMs that share a workspace of rate 8 and burst 12
    When every VM is asked for 3 admissions
    And the simulated VMs run for 3.0 s
    And the owner of most units crashes
    And the simulated VMs run for 8.0 s
    Then some units belong to the VM that went

  Scenario: Units of a crashed VM return after its lease
    Given 4 VMs that share a workspace of rate 8 and burst 12
    When every VM is asked for 3 admissions
    And the simulated VMs run for 3.0 s
    And the owner of most units crashes
    And the simulated VMs run for 300.0 s
    Then no units belong to the VM that went

  Scenario: A higher rate waits until every owner has applied it
    Given 4 VMs that share a workspace of rate 8 and burst 12
    When every VM is asked for 3 admissions
    And the simulated VMs run for 3.0 s
    And the limits change to rate 20 and burst 16
    And VM "a" applies the limits
    And VM "b" applies the limits
    And the simulated VMs run for 5.0 s
    Then the rates of all VMs add up to at most 8
    When VM "c" applies the limits
    And VM "d" applies the limits
    And the simulated VMs run for 15.0 s
    Then the rates of all VMs add up to 20

  Scenario: A grant for the former incarnation is not taken by the next
    When a restarted VM gets a loan that its predecessor asked for
    Then it holds no loan

  Scenario: A session is not taken for over because its predecessor was observed
    When a VM that watched a session sees the units of the next one
    Then it does not take them

  Scenario: Loans refuse less inside the rate than a static split and admit no more
    When limits are measured for 12 VMs over 3 virtual seconds
    Then nothing was admitted above the rate
    And every shape of demand is refused less often than with a static split

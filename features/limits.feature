Feature: A workspace's rate and burst hold over all VMs

  A unit is 1/1000 of a workspace's rate and burst; the ledger in the store records the VM
  that owns it. A loan is a part of an owner's rate and burst that another VM has for a
  short time. A schedule is a random series of requests, faults and changes of the limits
  for 4 simulated VMs on a virtual clock.

  Scenario: Admissions stay within rate and burst in all explored schedules
    When 60 schedules of the limits protocol are explored with seed 1
    Then every schedule passed its checks

  Scenario Outline: The exploration catches a broken variant of the token protocol
    loans-live-twice-as-long: loans are used for longer than their owner treats them as lent.
    tokens-return-with-ended-loans: the owner adds the tokens of a loan that ended.
    restart-without-waiting: a restarted VM uses the units of its former incarnation while
    loans of that incarnation are valid.

    When 300 schedules of the limits protocol are explored with seed 1 and "<variant>"
    Then a schedule failed its checks

    Examples:
      | variant                        |
      | loans-live-twice-as-long       |
      | tokens-return-with-ended-loans |
      | restart-without-waiting        |

  Scenario: VMs without units borrow from the owners
    Given 4 VMs that share a workspace of rate 8 and burst 12
    When VM "d" receives 12 requests
    And the simulated VMs run for 1.0 s
    Then at least 11 and at most 20 requests were admitted

  Scenario: Requests are admitted from units and loans while the store is unavailable
    Given 4 VMs that share a workspace of rate 8 and burst 12
    When VM "a" receives 1 requests
    And VM "b" receives 1 requests
    And the simulated VMs run for 1.0 s
    And the simulated store is unavailable
    And the simulated VMs run for 4.0 s
    And VM "d" receives 8 requests
    And the simulated VMs run for 1.0 s
    Then at least 8 and at most 12 requests were admitted

  Scenario: A planned stop releases units before the end of the lease
    Given 4 VMs that share a workspace of rate 8 and burst 12
    When every VM receives 3 requests
    And the simulated VMs run for 3.0 s
    And the owner of most units stops as planned
    And the simulated VMs run for 8.0 s
    And every VM receives 3 requests
    And the simulated VMs run for 8.0 s
    Then the VM that stopped owns no units

  Scenario: Other VMs cannot acquire units of a crashed VM before its lease has ended
    Given 4 VMs that share a workspace of rate 8 and burst 12
    When every VM receives 3 requests
    And the simulated VMs run for 3.0 s
    And the owner of most units crashes
    And the simulated VMs run for 8.0 s
    Then the VM that stopped owns some units

  Scenario: Other VMs acquire the units of a crashed VM after its lease has ended
    Given 4 VMs that share a workspace of rate 8 and burst 12
    When every VM receives 3 requests
    And the simulated VMs run for 3.0 s
    And the owner of most units crashes
    And the simulated VMs run for 300.0 s
    Then the VM that stopped owns no units

  Scenario: A higher rate takes effect when every owner has applied it
    Given 4 VMs that share a workspace of rate 8 and burst 12
    When every VM receives 3 requests
    And the simulated VMs run for 3.0 s
    And the configured limits change to rate 20 and burst 16
    And VM "a" applies the configured limits
    And VM "b" applies the configured limits
    And the simulated VMs run for 5.0 s
    Then the rates of all VMs add up to at most 8
    When VM "c" applies the configured limits
    And VM "d" applies the configured limits
    And the simulated VMs run for 15.0 s
    Then the rates of all VMs add up to 20

  Scenario: A restarted VM ignores a grant for its former incarnation
    It would count the loan from a later time than the owner, and use it for too long.

    When a restarted VM receives a loan that its former incarnation requested
    Then it has no loan

  Scenario: A session is not mistaken for ended because an earlier one was observed
    Otherwise other VMs would acquire units that the VM of the session still uses.

    When a VM that observed a session observes the next one of the same VM
    Then it does not treat the next session as ended

  Scenario: With loans fewer requests are refused than with fixed equal parts and none admitted above the rate
    When limits are measured for 12 VMs over 3 virtual seconds
    Then no request was admitted above the rate
    And fewer requests are refused than with fixed equal parts, however demand is spread over VMs

  Scenario: Daemons that borrow over the bus admit no more than rate and burst
    Given a fleet with 1 targets and 3 daemons
    When a workspace of rate 5 and burst 10 sends 90 requests through all daemons
    Then at least 8 requests and no more than rate and burst were answered with status 200

  Scenario: Units that an unconfirmed write releases stay unused until a newer ledger is read
    If the write took effect, another VM may have acquired them.

    When a write that leaves 100 of 500 units gets no response
    Then 100 units are usable until a newer version is read

  Scenario: Units add no tokens for the time before they were acquired
    When a VM without units acquires all units after 10 s
    Then it has no tokens

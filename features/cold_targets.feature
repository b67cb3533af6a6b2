Feature: A cold target gets few requests from all VMs together

  In the simulations 92 VMs share 96 targets, of which the 60 of one data centre stop
  answering, restart and are listed as cold 1 s later. A cold target tolerates 4.7
  requests per second; the bound is 15 in any second.

  Scenario Outline: A data centre returns cold <mechanism> while <trouble>
    When targets return cold <mechanism> while <trouble>
    Then a cold target gets at most <most> requests in any second
    And no request is refused

    Examples:
      | mechanism   | trouble                                   | most |
      | with owners | all is well                               | 15   |
      | with owners | the VMs' lists of VMs differ by 5 names   | 15   |
      | with owners | the VMs are cut in halves                 | 15   |
      | with owners | all VMs have just started                 | 15   |
      | with owners | one target restarts within 1 s            | 15   |
      | with owners | all is normal and no target restarts      | 15   |

  Scenario Outline: The bound is exceeded <variant>
    When targets return cold <variant>
    Then a cold target gets more than 15 requests in some second

    Examples:
      | variant                                                          |
      | without owners while all is well                                 |
      | without owners while one target restarts within 1 s              |
      | with owners by first lists of VMs while all VMs have just started |

  Scenario: An entry that turns cold is applied to a known target, and VMs without a list send nothing
    Given a VM without a list of VMs and a target that it has used
    When the entry of the target states that it is cold for 6 s
    Then the VM may not use it until 6 s have passed

  Scenario Outline: Invalid limits of cold targets, <start> s and <rate> per s, become safe ones
    When a service states <start> and <rate> as its limits of cold targets
    Then its limits are <limits> and the problems are <problems>

    Examples:
      | start | rate  | limits | problems                              |
      | null  | null  | none   | none                                  |
      | 8     | 4.7   | 8 4.7  | none                                  |
      | null  | 4.7   | 30 4.7 | cold-start-invalid                    |
      | 8     | null  | 8 4    | cold-rate-invalid                     |
      | -1    | 0     | 30 4   | cold-start-invalid, cold-rate-invalid |
      | 1e300 | "5"   | 30 4   | cold-start-invalid, cold-rate-invalid |
      | NaN   | 1e400 | 30 4   | cold-start-invalid, cold-rate-invalid |
      | true  | []    | 30 4   | cold-start-invalid, cold-rate-invalid |

  Scenario: A request that only a cold target could serve is refused at once
    Given an entry VM whose only target is cold for 60 s
    When a caller sends GET /lookup/1
    Then the caller gets 503 with a time to retry
    And no request ran
    And the log names the refusal "targets-cold"

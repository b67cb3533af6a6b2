Feature: Retries are spent where they matter most, within the budget of each VM

  The load is that of admission.feature, without admission, so that only the retries
  differ. All VMs together may send 0.2 times their requests plus 170 retries in 10 s.

  Scenario: Urgent requests get the retries while targets refuse 0.55 of their arrivals
    Given the trouble refused_share=0.55 admits_all=true retries="value"
    When the load is simulated
    Then at least 0.85 of bill are on time, and 0.01 more than by arrival
    And in any 10 s the VMs send at most 0.2 times their requests plus 170 retries

  Scenario: No retry is spent on callers who can come back when all targets refuse
    Given the trouble refused_share=1.0 admits_all=true retries="value"
    When the load is simulated
    Then order and tariff get at most 0.1 of the retries that they get by arrival
    And in any 10 s the VMs send at most 0.2 times their requests plus 170 retries

  Scenario: VMs without reports of others stay within the bound
    Given the trouble refused_share=0.55 loses_reports=true retries="value"
    When the load is simulated
    Then in any 10 s the VMs send at most 0.2 times their requests plus 170 retries

  Scenario Outline: A repeat with <fields> is <result>
    Then with 4 of 6 repeats left, a repeat is <result> with <fields>

    Examples:
      | fields                                   | result         |
      | position=0                               | granted        |
      | position=1                               | granted        |
      | position=3                               | reserved       |
      | position=3 has_not_run=0                 | granted        |
      | position=2 is_hedge=1                    | reserved       |
      | position=1 is_hedge=1 level=0.2          | service-loaded |
      | position=0 left_s=0.2                    | time           |
      | position=0 queue_s=2                     | time           |
      | position=1 refused_share=0.7             | targets-refuse |
      | position=0 refused_share=0.7             | granted        |
      | position=1 refused_share=0.7 left_s=0.5  | granted        |

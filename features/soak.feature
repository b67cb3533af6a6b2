Feature: A soak on real processes finds what breaks a promise

  Scenario: A short soak breaks no promise
    When a soak of 6 s is run with seed 7
    Then it broke no promise

  Scenario Outline: The check of <promise> accepts valid records and finds a violation
    Given records in which all promises are kept
    Then no promise is broken
    When <event>
    Then only "<promise>" is broken

    Examples:
      | promise              | event                                                       |
      | at_most_once         | an order runs at two targets                                |
      | true_refusals        | an order that ran gets 503                                  |
      | whole_answers        | a successful response is incomplete                         |
      | right_workspace      | a request with a key of one workspace runs for another      |
      | withdrawn_keys       | a request runs 5.5 s after its key was withdrawn            |
      | newest_configuration | a lookup follows the old route 2.5 s after the route moved  |
      | no_step_back         | a VM returns to the old route after the new one             |
      | rates                | the limited workspace runs 160 requests in 4 s              |
      | repeats              | lookups are repeated 100 times                              |
      | leaving_targets      | a request reaches a target 3 s after it started to drain    |
      | planned_stops        | a forwarded request is cut by a stop                        |

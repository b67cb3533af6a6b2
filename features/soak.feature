Feature: A soak over real processes finds what breaks a promise

  Scenario: A short soak holds
    When a soak of 6 s is played with seed 7
    Then it broke no promise

  Scenario Outline: The check of <promise> accepts what is allowed and finds what is not
    Given records in which everything holds
    Then no promise is broken
    When <event>
    Then only "<promise>" is broken

    Examples:
      | promise              | event                                              |
      | at_most_once         | an order runs at two targets                       |
      | true_refusals        | an order that ran is answered 503                  |
      | whole_answers        | a success is not whole                             |
      | right_workspace      | a request runs as another workspace                |
      | withdrawn_keys       | a request runs 5.5 s after its key was withdrawn   |
      | newest_configuration | a lookup runs by the old route 2.5 s after a move  |
      | no_step_back         | a VM goes back to the old route after the new one  |
      | rates                | the limited workspace runs 160 requests in 4 s     |
      | repeats              | lookups are repeated 100 times                     |
      | leaving_targets      | a request reaches a target 3 s after it has left   |
      | planned_stops        | a request that was passed on is cut by a stop      |

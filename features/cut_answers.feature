Feature: A target that stops in the middle of an answer's framing gives no whole answer

  A framing is what surrounds the body: the head, also behind informational answers, the
  lines of chunks, and trailers. A cut answer must not reach a caller as a whole one.

  Scenario Outline: <framing> that is cut at any byte by <end> gives no success
    Given an entry VM and a target that sends <framing>
    When callers send GET and POST requests for each byte at which the target ends with <end>
    Then no caller got a success, and callers got 502 or a visibly broken response
    And the whole answer is a success

    Examples:
      | framing                 | end   |
      | a head                  | close |
      | a head                  | reset |
      | a head without a length | close |
      | a head behind 100       | close |
      | a head behind 103       | close |
      | a head behind 103       | reset |
      | chunks                  | close |
      | chunks                  | reset |
      | chunks with trailers    | close |

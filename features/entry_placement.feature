Feature: Requests are sent to targets that are likely to serve them in time

  In the simulations 18 VMs in two data centres share 12 targets of 6 slots, on a virtual
  clock. The score of a request is 1 if its response comes within the objective of 1 s,
  0.3 if it comes later, and 0 without a response. Requests lose what their score lacks
  to 1.

  Scenario Outline: At-most-once requests score better than by random choice while <trouble>
    Given callers that send <rate> requests per second in each data centre
    And <trouble>
    When the load is simulated for 20 s with seed <seed>
    Then at-most-once requests lose at most <share> of the score that a random choice loses
    And the mean of their scores is at least <score>

    Examples:
      | rate | trouble                                                          | seed | share | score |
      | 40   | 0.3 of the targets fail 0.85 of their requests in periods of 5 s | 1    | 0.35  | 0.94  |
      | 40   | 0.3 of the targets fail 0.85 of their requests in periods of 5 s | 2    | 0.35  | 0.94  |
      | 57   | 0.3 of the targets fail 0.85 of their requests in periods of 5 s | 1    | 0.45  | 0.90  |
      | 57   | 0.3 of the targets fail 0.85 of their requests in periods of 5 s | 2    | 0.45  | 0.90  |
      | 50   | 0.17 of the targets take 5 times as long                         | 1    | 0.60  | 0.85  |
      | 50   | 0.17 of the targets take 5 times as long                         | 2    | 0.60  | 0.85  |

  Scenario Outline: Resets of one target are learned by all VMs from those that saw them
    Given callers that send <rate> requests per second in each data centre
    And 0.3 of the targets reset 0.85 of their requests in periods of 5 s
    When the load is simulated for 20 s with seed <seed>
    Then at-most-once requests lose at most <share> of the score that a random choice loses
    And they lose more than that while VMs keep missing responses to themselves

    Examples:
      | rate | seed | share |
      | 40   | 1    | 0.35  |
      | 40   | 2    | 0.35  |
      | 57   | 1    | 0.45  |
      | 57   | 2    | 0.45  |

  Scenario Outline: A cut of <what> makes no other VM avoid the targets behind it
    Given callers that send 40 requests per second in each data centre
    And <what> gets no response from the targets of the other data centre
    When the load is simulated for 20 s with seed 1
    Then VMs that are not cut send at least 0.7 of their usual part to these targets

    Examples:
      | what             |
      | one VM           |
      | one data centre  |

  Scenario: A VM without responses of most targets suspects its own path
    Given a VM whose last requests to 2 of 8 targets were answered
    When its requests to the other 6 targets get no response
    Then it reports at most 4 of them

  Scenario: One VM counts as one witness whatever it reports
    Given a judge of reports
    When a VM reports each 0.1 s for 6 s that a target does not respond
    Then at most 3 of its reports count

  Scenario: Idempotent requests are hardly affected by targets that fail in periods
    Given callers that send 40 requests per second in each data centre
    And 0.3 of the targets fail 0.85 of their requests in periods of 5 s
    When the load is simulated for 20 s with seed 1
    Then the mean score of idempotent requests is at least 0.97

  Scenario: Every healthy target stays in use while many fail
    Given callers that send 40 requests per second in each data centre
    And 0.3 of the targets fail 0.85 of their requests in periods of 5 s
    When the load is simulated for 20 s with seed 3
    Then in each 2 s at least 0.7 of the targets receive requests

  Scenario: A new target receives requests within 2 s
    Given a VM that knows 5 loaded targets
    When a cold target is listed and 2 s of requests pass
    Then it received at least 1 request

  Scenario: Cold targets receive requests in each 2 s although warm ones are faster
    Given callers that send 40 requests per second in each data centre
    And 4 of the targets stay cold
    When the load is simulated for 20 s with seed 1
    Then in each 2 s at least 0.9 of the targets receive requests

  Scenario: At-most-once requests avoid a target whose failure another VM reports
    Given a VM that knows 5 loaded targets
    When another VM reports a failure of one of them
    Then none of 50 at-most-once requests is sent there

  Scenario: Downloads stay in their data centre while it has capacity
    Given a VM that knows targets in its own and another region
    Then none of 50 downloads leaves the data centre

  Scenario: The suspicion of a target follows Bayes' rule and decays
    Given a target without evidence
    When it fails once
    Then its suspicion is over 0.8
    When 12 s pass for it
    Then its suspicion is under 0.25
    When it serves 5 requests
    Then its suspicion is under 0.03

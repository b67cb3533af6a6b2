Feature: Operators observe the fleet through metrics, health checks and events

  Scenario: Metrics show requests, refusals and the configuration of one daemon
    Given a fleet with 1 targets and 2 daemons
    When the workspace "shop" sends GET "/find/x" through "vm1"
    And a caller without a key sends GET "/find/x" through "vm1"
    Then the metrics of "vm1" contain these samples
      | sample                                             |
      | primroseturn_request_seconds_count 1.0             |
      | primroseturn_refusals_total{type="key-refused"} 1.0 |
      | primroseturn_configuration_version 5.0             |
      | primroseturn_targets{state="live"} 1.0             |
      | primroseturn_unready{reason="draining"} 0.0        |
      | primroseturn_ejections 0.0                         |
    And the metrics of "vm2" contain these samples
      | sample                                             |
      | primroseturn_request_seconds_count 0.0             |

  Scenario: Every metric of the operators' page exists
    Given a fleet with 1 targets and 2 daemons
    When the workspace "shop" sends GET "/find/x" through "vm1"
    And a caller without a key sends GET "/find/x" through "vm1"
    Then "vm1" has every metric that the operators' page names

  Scenario: Daemons exchange clock probes, by which a time line corrects clock offsets
    Given a fleet with 1 targets and 2 daemons for operators
    Then the events file holds probes in both directions within 5 s

  Scenario: No metric label or value shows a caller's key or a workspace
    Given a fleet with 1 targets and 1 daemons
    When the workspace "shop" sends GET "/find/x" through "vm1"
    Then the metrics of "vm1" show neither the key nor the name of "shop"

  Scenario: A daemon without a configuration is live but not ready
    Given a fleet with 1 targets and 1 daemons
    When a daemon "vm9" starts while the store has an outage
    Then "vm9" is live
    And "vm9" is not ready because of "not-configured"

  Scenario: A daemon that drains or is isolated is not ready
    Given a fleet with 1 targets and 1 daemons
    Then "vm1" becomes ready
    When "vm1" begins to drain
    Then "vm1" is not ready because of "draining"
    When the isolation check of "vm1" fails
    Then "vm1" is not ready because of "isolated"

  Scenario: The catalogue page lists exactly the events of the code
    Then the page of events is what "primroseturn events" prints
    And every defined event is used outside its definition

  Scenario: A running fleet emits only events of the catalogue page
    Given a fleet with 1 targets and 2 daemons for operators
    When the workspace "shop" sends GET "/find/x" through "vm1"
    And a caller without a key sends GET "/find/x" through "vm2"
    And the operator runs "set workspace lab rate=5 burst=5"
    Then the events file holds only events of the page, with their names

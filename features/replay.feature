Feature: Traces replay through the daemon's decision code with stated outcomes

  Scenario Outline: One data centre meets the stated outcomes of a trace
    When the trace "<trace>" of "<size>" is replayed for one data centre
    Then all its stated outcomes are met

    Examples:
      | size   | trace             |
      | kokjar | slow-target       |
      | kokjar | partial-errors    |
      | kokjar | healthy           |
      | armor  | slow-target       |
      | armor  | one-class         |
      | armor  | one-way-partition |

  Scenario: The same trace and seed give the same report
    When the trace "full-outage" of "armor" is replayed twice for one data centre
    Then both reports are equal and all stated outcomes are met

  Scenario: A missed outcome gives exit code 1 and names the trace
    Given a trace file whose stated outcome cannot be met
    When the command replays it
    Then the exit code is 1 and the output names the missed outcome

  Scenario Outline: A malformed trace gives exit code 2 and names the line
    Given a trace file with the line <line>
    When the command replays it
    Then the exit code is 2 and the output names the line

    Examples:
      | line                                                                  |
      | {"kind":"fleet","seed":1,"duration_s":-1}                             |
      | {"kind":"comet"}                                                      |
      | {"kind":"fleet","seed":1,"duration_s":1,"extra":2}                    |
      | [1,                                                                   |

  Scenario: The generator writes the shipped traces
    Then the generator writes exactly the shipped traces

  Scenario: A daemon writes a trace that replay accepts
    Given a fleet whose daemon records a trace
    When the workspace "shop" makes 30 requests GET "/find/cartridge" through "vm1"
    Then the recorded trace replays with 30 requests

  Scenario: A full disk for the recorded trace fails no request
    Given a fleet whose daemon records a trace to a full disk
    When the workspace "shop" makes 120 requests GET "/find/cartridge" through "vm1"
    Then each of the 120 requests gets 200
    And the daemon stops without an error

Feature: Event files of several processes merge into one time line

  Scenario: An effect is not shown before its cause although the clocks differ
    Given event files of "vm1" and "vm2" whose clock is 90 s behind
    When the time line is printed as JSON
    Then "change seen" on "vm2" follows "admin-change" on "vm1" by 0.05 s within 0.02 s

  Scenario: A stepped wall clock does not reorder the events of a process
    Given event files of "vm1" and "vm2" whose clock is 0 s behind
    And the wall clock of "vm2" steps back by 3600 s half-way
    When the time line is printed as JSON
    Then the events of each process are in the order in which they were written

  Scenario: Corrected times are within the stated error for random offsets and delays
    Then 200 seeded fleets with random offsets and delays are corrected within the error

  Scenario Outline: Filters select the matching events only
    Given event files of "vm1" and "vm2" whose clock is 0 s behind
    When the time line is printed as JSON with "<filter>"
    Then the time line has <count> events

    Examples:
      | filter             | count |
      | --event 201        | 2     |
      | --request r1       | 2     |
      | --request r0       | 1     |
      | --workspace shop   | 3     |
      | --workspace shop --event 201 | 1 |
      | --target none      | 0     |

  Scenario: The picture is an SVG document and the same on every run
    Given event files of "vm1" and "vm2" whose clock is 5 s behind
    When the time line is drawn twice
    Then both pictures are the same SVG document and name both VMs

  Scenario: A truncated last line is counted and an unreadable file is refused
    Given event files of "vm1" and "vm2" whose clock is 0 s behind
    And the last line of an event file is truncated
    When the command "timeline" runs on the event files
    Then the command exits with code 0
    And its output contains "1 lines are not events"
    When the command "timeline /nonexistent/events.jsonl" is called
    Then the command exits with code 2

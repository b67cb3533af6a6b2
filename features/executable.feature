Feature: The product is one executable file

  Scenario: The executable runs in an empty environment and unpacks itself only below SHIV_ROOT
    Given the executable is built without a network
    When the executable runs "--version" in an empty environment
    Then the command exits with code 0
    And its output is the version of the product
    When the executable runs "demo --seconds 2" in an empty environment
    Then the command exits with code 0
    And the command took at most 20 s
    And its output contains "operations that ran twice: 0"
    And its output does not contain "MISSED"
    When the executable runs "settings check missing.json" in an empty environment
    Then the command exits with code 2
    When the executable runs "timeline ../events.jsonl --svg picture.svg" in an empty environment
    Then the command exits with code 1
    And its output contains "this command needs matplotlib"
    And all that it unpacked is below SHIV_ROOT

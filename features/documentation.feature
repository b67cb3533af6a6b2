Feature: The documentation matches the product

  Scenario: Every relative link of a page leads to a file
    Then every relative link of the pages leads to a file

  Scenario: The index of operators' pages lists every page
    Then the index of operators' pages lists every page

  Scenario: Every command that a page names exists
    Then every command that a page names has a help text

  Scenario: The README has the commands that install and run the demo and the tests
    Then the README has the line "    pip install -e '.[dev]' && primroseturn demo"
    And the README has the line "    pip install -e '.[dev]' && python -m features.run"

Feature: Commands report their outcome by an exit code

  Scenario Outline: An invalid command line or a missing settings file gives exit code 2 and no traceback
    When the command "<command>" is called
    Then the command exits with code 2
    And its output does not contain "Traceback"

    Examples:
      | command                            |
      | no-such-command                    |
      | daemon                             |
      | settings check /nonexistent/a.json |

  Scenario: The page of exit codes is up to date
    Then the page of exit codes lists exactly the codes of the command line

  Scenario: A reader that ends early, as head does, causes no traceback
    When the output of the command "events" is closed before it is read
    Then the command exits with code 1
    And its output does not contain "Broken"

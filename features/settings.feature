Feature: Invalid settings, control frames and administration calls get typed errors

  Scenario: The page of settings is complete and up to date
    Then the page of settings is what "primroseturn settings reference" prints
    And every field of the settings has a meaning

  Scenario Outline: An invalid setting is reported with its path and what was expected
    When settings with "<field>" set to <value> are checked
    Then the command exits with code 2
    And its output contains "$.<field>"
    And its output contains "<expected>"

    Examples:
      | field                        | value         | expected        |
      | callers.address.port         | 70000         | <= 65535        |
      | admin.address.host           | "proxy.local" | proxy.local     |
      | admin.address.host           | "10.0.0.256"  | 10.0.0.256      |
      | keys.isolation_policy        | "loose"       | loose           |
      | claims.slots                 | 0             | >= 1            |
      | store.url                    | "ftp://x"     | ftp://x         |

  Scenario: An error never shows a secret of the settings
    Then 400 seeded invalid settings are refused without showing their secrets

  Scenario: Arbitrary bytes as settings give a typed failure
    Then 600 seeded byte strings as settings give a typed failure

  Scenario: Arbitrary and damaged control frames never raise an untyped error
    Then 1000 seeded frames decode to a typed message or a typed failure

  Scenario: Arbitrary calls to the administration API get typed errors
    Given a fleet with 1 targets and 1 daemons for operators
    Then 300 seeded calls to the administration API cause no server error

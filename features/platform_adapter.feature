Feature: The adapter translates the platform's formats and refuses invalid ones

  Scenario: A settings file becomes the settings of an entry VM
    Given the platform's settings file
    Then it is read as VM "edge-1" of data centre "a-1" with callers on port 8689
    And its bounds are 5 s for withdrawn keys and 6 s for a stop
    And it bounds neither evacuations nor cold targets

  Scenario: The bounds of evacuations and cold targets are read where they are stated
    Given the platform's settings file with bounds of evacuations and cold targets
    Then it bounds evacuations by 5 s, and cold targets by 1.5 times their rate plus 8

  Scenario: Unknown fields are ignored and missing bounds have defaults
    Given the platform's settings file with an unknown table and without its table of bounds
    Then its bounds are 5 s for withdrawn keys and 6 s for a stop

  Scenario Outline: The refusal of an invalid settings file names the field
    Given the platform's settings file with <change>
    Then it is refused with "<text>"

    Examples:
      | change                     | text                  |
      | no VM name                 | node                  |
      | ports that are not numbers | internal_ports        |
      | a callers' address of "x"  | HOST:PORT             |
      | text that is not TOML      | valid TOML            |

  Scenario Outline: The command that checks settings names the invalid field, <change>
    When "primroseturn settings check" reads the platform's settings file with <change>
    Then it exits with code <code> and its output contains "<text>"

    Examples:
      | change                     | code | text                  |
      | no change                  | 0    | settings are valid    |
      | no VM name                 | 2    | $.self                |
      | ports that are not numbers | 2    | $.network             |
      | a callers' address of "x"  | 2    | HOST:PORT             |
      | text that is not TOML      | 2    | valid TOML            |

  Scenario: The command exits with code 2 without a settings file
    When "primroseturn entry" runs with a settings file that does not exist
    Then it exits with code 2

  Scenario: A stored configuration is translated to routes, the longest prefix first
    Given a stored configuration with two routes, a split, a key and no limits
    Then its version is 12 and the first route has the longer prefix
    And requests of a route of an unknown type are at-most-once
    And the key belongs to workspace "shop" with a rate of 64

  Scenario Outline: A configuration with a field of a wrong type is refused
    Given a stored configuration of which "<field>" is <value>
    Then it is refused as invalid

    Examples:
      | field         | value       |
      | version       | "newest"    |
      | virtual_hosts | 7           |
      | tenants       | [{}]        |

  Scenario: Any value in the target list is decoded to a target or a typed failure
    Then any JSON value as an entry gives a target or a failure that names the entry

  Scenario: Hop-by-hop headers, keys and forged headers are not forwarded
    Given a caller's headers with a key, a forged workspace, target and hop-by-hop field
    Then the target receives the headers of the VM in their place

  Scenario Outline: The store's client gets <result> for <call>
    Given the store's stand-in
    Then <call> gives <result>

    Examples:
      | call                                   | result                         |
      | a read of an absent object             | nothing                        |
      | a create of an existing object         | a version conflict             |
      | a replace at another revision          | a version conflict             |
      | a delete at another revision           | a version conflict             |
      | a watch from a dropped revision        | an error for the lost history  |
      | a list of 1200 objects                 | all of them                    |
      | a stale list after a change            | the objects before it          |
      | a list after a change                  | the objects after it           |
      | a call above the rate                  | an unavailable-store error     |
      | a write whose response is lost         | an error with unknown outcome  |
      | a write that was refused with 429      | an error with known outcome    |
      | a PUT that changes nothing             | the same revision              |

  # A page of 1 MB takes 0.84 s at 10 Mbit/s, more than the timeout of a call, and was
  # requested again and again.
  Scenario Outline: A read whose body arrives with pauses of <pause> s gets <result>
    Given a store that sends a value in 8 parts with pauses of <pause> s
    Then a read with a timeout of 0.5 s gets <result>

    Examples:
      | pause | result     |
      | 0.1   | the value  |
      | 1.0   | no value   |

Feature: Requests stay in the regions that their route and workspace allow

  Scenario Outline: No attempt leaves the allowed regions, whatever the state of the targets <mechanism>
    Given a VM whose targets in three regions change their state at random
    When it chooses targets for 4000 attempts that may use only region "s", <mechanism>
    Then <share> of them are outside the region

    Examples:
      | mechanism               | share          |
      | with the restriction    | none           |
      | without the restriction | at least a half |

  Scenario Outline: The restrictions of the route <route> and of the workspace <workspace> both hold
    Given a configuration in which the route allows <route> and the workspace <workspace>
    Then a request may use the regions <allowed>
    And the problems of the configuration are <problems>

    Examples:
      | route                 | workspace    | allowed | problems                           |
      | null                  | null         | all     | none                               |
      | []                    | null         | all     | none                               |
      | ["r", "s"]            | null         | r,s     | none                               |
      | ["r", "s"]            | ["s", "t"]   | s       | none                               |
      | ["r"]                 | ["s"]        | none    | none                               |
      | "r"                   | null         | none    | regions-mistyped                   |
      | {"r": 1}              | null         | none    | regions-mistyped                   |
      | 0                     | ["r"]        | none    | regions-mistyped                   |
      | [1, "r"]              | null         | r       | regions-mistyped                   |
      | [null]                | null         | none    | regions-mistyped                   |
      | ["nowhere"]           | null         | nowhere | region-unknown                     |
      | ["nowhere", "r"]      | ["r", 1e400] | r       | regions-mistyped, region-unknown   |

  Scenario: Retries and split routes stay in the region, and faults of a restriction allow nothing
    Given an entry VM with a target in region "r" and one in region "s" that resets half
    When a split route whose heavier service is in region "r" allows ["s"]
    And a caller sends 20 times GET /bound/1
    Then the target in region "r" received no request
    When a split route whose heavier service is in region "r" allows [7]
    And a caller sends 3 times GET /bound/1
    Then the caller gets 503 each time
    And the log states "no-target-in-region" 3 times and "regions-mistyped" once
    When a split route whose heavier service is in region "r" allows null
    And a caller sends 20 times GET /bound/1
    Then the target in region "r" received requests

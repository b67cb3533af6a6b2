Feature: Bytes without end from a target end no request late, wrongly or for others

  Scenario Outline: An answer that goes on after its start is visibly broken in time
    Given an entry VM with 1 target that answers "<mode> fast"
    When a patient caller sends <request>
    Then the caller sees a broken answer within 1.5 s
    And no target sends an answer without end 0.5 s later
    And answers without end are logged and count against their target

    Examples:
      | mode      | request       |
      | chunks    | GET /sheet/1  |
      | unframed  | GET /sheet/1  |
      | terabytes | GET /sheet/1  |
      | chunks    | GET /lookup/1 |
      | chunks    | POST /order/1 |
      | unframed  | POST /order/1 |
      | terabytes | POST /order/1 |
      | error     | POST /order/1 |

  Scenario Outline: An answer without end is no longer read when its caller has left
    Given an entry VM with 1 target that answers "<mode>"
    When a caller sends <request> and leaves after 0.4 s
    Then no target sends an answer without end 0.5 s later

    Examples:
      | mode           | request       |
      | chunks fast    | GET /sheet/1  |
      | unframed fast  | GET /sheet/1  |
      | chunks slow    | GET /lookup/1 |
      | terabytes fast | POST /order/1 |

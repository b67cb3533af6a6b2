Feature: Clients that stop, flood or read slowly neither end nor block a VM

  Guards against clients whose connections take the memory or the descriptors of an
  entry process, also after they have left. The process may use four fifths of its memory. All clients keep their
  connections open while GET /calm/1 is sent, which goes to a target that responds as
  usual. Modes of the target of other requests are those of memory.feature.

  Scenario Outline: <count> clients of kind <kind> leave a VM alive and serving
    Given an entry VM of 120 MB as a process and a target in mode "<mode>" for sheets
    And its process may open <descriptors> descriptors
    When <count> clients of kind "<kind>" keep their connections to <address> open
    Then an ordinary request is answered 200
    And the VM lives within 96 MB and <descriptors> descriptors
    When they leave
    Then at most 64 descriptors stay open

    Examples: Bodies that stop 1 byte short
      | kind              | address   | mode | count | descriptors |
      | length            | callers   | deaf | 200   | 1024        |
      | chunks            | callers   | deaf | 200   | 1024        |
      | length, no route  | callers   | deaf | 200   | 1024        |
      | chunks, no route  | callers   | deaf | 200   | 1024        |

    Examples: The readiness address
      | kind              | address   | mode | count | descriptors |
      | silent            | readiness | deaf | 300   | 1024        |
      | half head         | readiness | deaf | 300   | 1024        |
      | length            | readiness | deaf | 200   | 1024        |
      | chunks            | readiness | deaf | 200   | 1024        |
      | fields            | readiness | deaf | 300   | 1024        |
      | pipelined         | readiness | deaf | 60    | 1024        |

    Examples: The limit of descriptors
      | kind              | address   | mode | count | descriptors |
      | silent            | callers   | deaf | 300   | 128         |
      | half head         | callers   | deaf | 300   | 128         |
      | length            | callers   | deaf | 300   | 128         |
      | silent            | readiness | deaf | 300   | 128         |
      | half head         | readiness | deaf | 300   | 128         |

  Scenario: Slow readers of large responses leave a VM alive, and serving once they left
    Given an entry VM of 120 MB as a process and a target in mode "sound" for sheets
    And its process may open 1024 descriptors
    When 200 clients of kind "slow reader" keep their connections to callers open
    Then the VM lives within 96 MB and 1024 descriptors
    When they leave
    Then at most 64 descriptors stay open
    And an ordinary request is answered 200

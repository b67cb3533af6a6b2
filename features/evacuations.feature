Feature: An evacuated data centre gets no requests

  Data centre "a" has the VMs and target t1, and data centre "b" has target t2.

  Scenario: The targets of an evacuated data centre get nothing until the object is removed
    Given 3 entry VMs where data centres may be evacuated
    # Where t1 can be used, VMs of "a" would send nothing to "b" anyway.
    And target "t1" is unlisted
    When data centre "b" is evacuated
    Then no VM sends requests to "b" 1 s later
    When the store is unavailable for 3 s
    Then no VM sends requests to "b" 0 s later
    When the store responds again
    And the evacuation of "b" is removed
    Then every VM sends requests to "b" 2 s later

  Scenario Outline: An evacuation is in force in time although <count> store pollers in turn <fault>
    Given 6 entry VMs where data centres may be evacuated
    When "b" is evacuated and the first <count> VMs <fault> before they have read it
    Then "b" is evacuated at all other VMs within 3.2 s of its acknowledgement

    Examples:
      | count | fault          |
      | 1     | end            |
      | 3     | end            |
      | 2     | lose the store |

  Scenario: A VM whose data centre is cut off from the store learns of an evacuation from another
    Given 2 entry VMs where data centres may be evacuated, and one VM in "b"
    When the VMs of "a" lose the store and "b" is evacuated
    Then "b" is evacuated at all other VMs within 5 s of its acknowledgement

  Scenario: Requests are refused when all data centres are evacuated, and attempts complete
    Given 1 entry VMs where data centres may be evacuated
    When data centre "b" is evacuated
    Then no VM sends requests to "b" 0.5 s later
    And a request under way is served and a further one is refused within 0.2 s

  Scenario: A VM that starts sends nothing to an evacuated data centre
    Given 1 entry VMs where data centres may be evacuated
    When data centre "b" is evacuated
    And a VM starts whose first list of evacuations takes 1 s
    Then it refuses requests and is not ready until it knows the evacuations

  Scenario Outline: <oddity> is ignored, logged once and counted
    Given 1 entry VMs where data centres may be evacuated
    When the store holds <oddity>
    And data centre "b" is evacuated
    Then no VM sends requests to "b" 0.5 s later
    And the evacuation was skipped as "<reason>" and nothing else is evacuated

    Examples:
      | oddity                                 | reason              |
      | an evacuation of "nowhere"             | unknown-data-center |
      | an evacuation of "a" that is no object | mistyped            |
      | an unreadable evacuation of "a"        | unreadable          |

  Scenario Outline: Targets are followed though reading the evacuations <fault>
    Given 2 entry VMs where data centres may be evacuated
    When reading the evacuations <fault> at all VMs
    And the entry of the first target is removed
    Then no VM sends it requests 1.9 s later

    Examples:
      | fault               |
      | fails in this VM    |
      | fails in the store  |
      | gets no response    |

  Scenario Outline: Views with newer evacuations and older targets, or the reverse, <result> by <revisions>
    Then two VMs of which each has something newer <result> with <revisions>

    Examples:
      | revisions                  | result      |
      | a revision for each        | merge       |
      | the revision of the list   | don't merge |

  Scenario: VMs of the former version and of this one run together
    Then a VM that follows evacuations does not rely on a status of the former version

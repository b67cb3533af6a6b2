Feature: An entry VM accepts only well-formed datagrams of its own fleet

  "a:vm2" stands for the VM "vm2" of data centre "a"; the entry VM is "vm1" of "a".

  Scenario: Malformed, foreign and oversized datagrams are dropped, counted and logged
    Given an entry VM beside the listed VMs "a:vm2, b:vm3"
    When it receives each of these datagrams
      | datagram                                | reason    |
      | undecodable bytes                       | malformed |
      | no bytes                                | malformed |
      | a truncated digest                      | malformed |
      | a digest with text in place of a number | malformed |
      | a digest of the next protocol           | foreign   |
      | a digest under an earlier tag           | foreign   |
      | a digest of 1500 bytes                  | oversized |
      | a message without a handler             | unhandled |
    Then it drops each for its reason and logs each reason and its sender once
    And a digest of "vm2" is accepted

  Scenario: Digests and notices with invalid values are dropped, counted and logged
    Given an entry VM beside the listed VMs "a:vm2, b:vm3"
    When it receives each of these datagrams
      | datagram                             | reason    |
      | a digest with a negative count       | malformed |
      | a digest with a count of 2 to the 63 | malformed |
      | a digest with a negative age         | malformed |
      | a notice of a VM with the port 99999 | malformed |
      | a notice of a VM with a host name    | malformed |
      | a notice of a VM without a name      | malformed |
    Then it drops each for its reason and logs each reason and its sender once
    And a digest of "vm2" is accepted
    And it sends digests to the other VMs

  Scenario: A notice with an invalid port does not close the VM's socket
    Given an entry VM beside the listed VMs "a:vm2, b:vm3"
    When it receives a notice of a VM with the port 99999
    Then it sends digests to the other VMs

  Scenario: Objects in the store that describe VMs with invalid values are logged and skipped
    Given an entry VM beside the listed VMs "a:vm2, b:vm3" and these objects
      | name | host      | port  |
      | vm4  | 127.0.0.1 | 99999 |
      | vm5  | 127.0.0.1 | many  |
      | vm6  | host-6    | 9     |
    Then 3 VMs are known to it
    And its log says that it skipped 3 objects
    And it sends digests to the other VMs

  Scenario: Forged messages and messages of unregistered VMs are dropped
    Given an entry VM beside the listed VMs "a:vm2, b:vm3"
    When it receives each of these datagrams
      | datagram                                                           | reason     |
      | a digest of a VM that is not registered                            | unknown_vm |
      | a stop notice of a VM that is not registered                       | unknown_vm |
      | a digest in the name of this VM                                    | forged     |
      | a stop notice in the name of this VM                               | forged     |
      | a stop notice of "vm2" that "vm3" sends                            | forged     |
      | a digest of data centre "b" that "vm2" sends                       | forged     |
      | a digest of data centre "a" that "vm3" sends                       | forged     |
      | a digest without a data centre that "vm3" of data centre "b" sends | forged     |
    Then it drops each for its reason and logs each reason and its sender once
    And 3 VMs are known to it
    And its bucket of "shop" counts no request of other VMs
    And a digest of "vm2" is accepted

  Scenario: Digests of VMs that announced their start or left are accepted
    Given an entry VM beside the listed VMs "a:vm2, b:vm3"
    When it receives the start notice of "vm4" of "a"
    Then a digest of "vm4" is accepted
    When the list of VMs has only "a:vm2, b:vm3" again
    Then 3 VMs are known to it
    And a digest of "vm4" is accepted

  Scenario: A flood of malformed datagrams is counted and does not flood the log
    Given an entry VM beside the listed VMs "a:vm2, b:vm3"
    When it receives 3000 malformed datagrams
    Then its metrics count 3000 more control messages dropped as "malformed"
    And its log holds 1 to 3 lines about dropped messages
    And a digest of "vm2" is accepted

Feature: An entry VM uses only well-formed datagrams of its own fleet

  Scenario: Malformed, foreign and oversized datagrams are dropped, counted and logged
    Given an entry VM beside the listed VMs "a:vm2, b:vm3"
    When it gets each of these datagrams
      | datagram                             | reason    |
      | bytes without a meaning              | malformed |
      | nothing                              | malformed |
      | a digest that is cut short           | malformed |
      | a digest with text for a number      | malformed |
      | a digest of the next protocol        | foreign   |
      | a digest under an earlier tag        | foreign   |
      | a digest of 1500 bytes               | oversized |
      | a message that nothing handles       | unhandled |
    Then it drops each for its reason and logs each reason and its sender once
    And a digest of "vm2" is used

  Scenario: A flood of malformed datagrams floods no log and is counted
    Given an entry VM beside the listed VMs "a:vm2, b:vm3"
    When it gets 3000 malformed datagrams
    Then its metrics count 3000 more control messages dropped as "malformed"
    And its log holds 1 to 3 lines about dropped messages
    And a digest of "vm2" is used

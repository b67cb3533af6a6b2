Feature: Control messages are authenticated, and invalid ones do not stop a bus

  Scenario: Malformed and oversized frames are counted and refused
    Given two buses over TCP
    When 5 malformed and 2 oversized frames are sent to the second bus
    Then the second bus has refused 5 malformed and 2 oversized frames
    And the second bus replies to the first

  Scenario: A peer without an allowed CURVE key gets no reply
    Given two buses over TCP with CURVE keys
    Then the second bus replies to the first
    And a bus with an unknown key gets no reply from the second bus

  Scenario: A message under the name of another peer is refused
    Given two buses over TCP with CURVE keys
    Then a message under the name of the first bus with another allowed key is refused

  Scenario: A slow handler delays no other message
    Given two buses over TCP
    Then a request gets its reply while another one waits for 1 s

  Scenario: A bus works after the address of a connected peer was removed and set again
    Given two buses over TCP
    Then the second bus replies to the first
    When the address of the second bus is removed from the first and set again
    Then the second bus replies to the first

  Scenario Outline: A message to a peer that <how> does not prevent messages to other peers
    Given two buses over <transport>
    And the first bus has the address of "third", a peer that <how>
    When the first bus sends a message to "third" and then to "second"
    Then the second bus receives the message
    And the first bus has dropped 1 message that could not be transmitted

    Examples:
      | transport           | how                               |
      | TCP with CURVE keys | has a key that is no CURVE key    |
      | UDP                 | has a port that no socket can use |

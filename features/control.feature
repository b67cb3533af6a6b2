Feature: Control messages are authenticated, and bad ones end nothing

  Scenario: Malformed and oversized frames are counted and dropped
    Given two buses over TCP
    When 5 malformed and 2 oversized frames are sent to the second bus
    Then the second bus has dropped 5 malformed and 2 oversized frames
    And the second bus answers the first

  Scenario: A peer without an allowed CURVE key gets no answer
    Given two buses over TCP with CURVE keys
    Then the second bus answers the first
    And a stranger gets no answer from the second bus

  Scenario: A peer that speaks for another one is refused
    Given two buses over TCP with CURVE keys
    Then a message in the name of the first bus under another allowed key is dropped

  Scenario: A slow handler delays no other message
    Given two buses over TCP
    Then a request is answered while another one waits for 1 s

  Scenario: A bus goes on after it has forgotten a peer that it talked to
    Given two buses over TCP
    Then the second bus answers the first
    When the first bus forgets the second and learns it again
    Then the second bus answers the first

  Scenario Outline: A peer that <how> takes no message from the other peers
    Given two buses over <carrier>
    And the first bus knows "third", a peer that <how>
    When the first bus sends a message to "third" and then to "second"
    Then the second bus gets the message
    And the first bus has dropped 1 message that could not be handed over

    Examples:
      | carrier             | how                               |
      | TCP with CURVE keys | has a key that is no CURVE key    |
      | UDP                 | has a port that no socket can use |

Feature: Links between entry instances

  Scenario Outline: Every type of peer message can be encoded and decoded
    Guards against a message type that cannot be sent.
    When a peer message of each type with seed <seed> is encoded and decoded
    Then each is equal to the one sent

    Examples:
      | seed |
      | 1    |
      | 2    |

  Scenario Outline: A damaged frame is refused
    Guards against frames that raise an exception in the event loop or change
    state.
    When the frame <frame> is decoded
    Then it is refused as "invalid_message" naming the peer

    Examples:
      | frame                 |
      | empty                 |
      | random bytes          |
      | text instead of a map |
      | a list                |
      | no type               |
      | an unknown type       |
      | a type that is a list |
      | a missing field       |
      | an unknown field      |
      | text for a number     |
      | a wrong state         |
      | a number as a record  |
      | text for a list       |
      | deep nesting          |
      | trailing bytes        |

  Scenario: A truncated frame is refused
    Guards against a truncated frame that decodes as another message.
    When every truncation of a frame of each type is decoded
    Then every truncation is refused as "invalid_message"

  Scenario: A randomly damaged frame is refused or yields a valid message
    Guards against an exception that the adapter does not handle.
    When 5000 frames with random damage, seed 1, are decoded
    Then each is refused or a peer message

  Scenario: Links carry messages both ways and refuse damaged frames
    Guards against an unlisted instance that gets no replies, and against a
    damaged or oversized frame that affects more than its own link.
    Given two linked peer adapters of which only the first knows the second
    Then each can send to the other
    And a damaged, a text and an oversized frame are each counted and change nothing
    And a message to an unknown peer is counted as "not_linked"
    And the link works again afterwards

Feature: Links between entry instances

  Scenario Outline: Every peer message survives its encoding
    Guards against a message type that cannot be sent.
    When a peer message of each type with seed <seed> is encoded and decoded
    Then each is equal to the one sent

    Examples:
      | seed |
      | 1    |
      | 2    |

  Scenario Outline: A damaged frame is refused
    Guards against frames that raise in the loop or change state.
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
      | a number as a mark    |
      | text for a list       |
      | deep nesting          |
      | trailing bytes        |

  Scenario: No truncation of any message is taken
    Guards against a cut frame that decodes as another message.
    When every truncation of a frame of each type is decoded
    Then every truncation is refused as "invalid_message"

  Scenario: Random damage is refused or yields a valid message
    Guards against an exception that the adapter does not expect.
    When 5000 frames with random damage, seed 1, are decoded
    Then each is refused or a peer message

  Scenario: Links carry messages both ways and refuse damage
    Guards against an instance in nobody's list that cannot be answered, and
    against a damaged or over-long frame that ends more than its link.
    Given two linked peer adapters of which only the first knows the second
    Then each can send to the other
    And a damaged, a text and an over-long frame are each counted and change nothing
    And a message to an unknown peer is counted as "not_linked"
    And the link works again afterwards

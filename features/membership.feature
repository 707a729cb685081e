Feature: Membership

  Scenario Outline: A silent peer becomes suspect and then dead
    Guards against loans to a silent peer and work for a dead one.
    Given two linked entry instances
    When the second one is silent for <silence> s
    Then the first one holds it for <state>

    Examples:
      | silence | state   |
      | 1.0     | live    |
      | 2.6     | suspect |
      | 5.6     | dead    |

  Scenario Outline: A leaving mark belongs to one incarnation
    Guards against a restarted instance that stays marked, and against a
    leaving one that gets work again because the platform's list lags.
    Given members that list "x" with incarnation "i1"
    When "x" is marked as leaving and listed as <listed> with "<incarnation>"
    Then "x" is <found> among the executors

    Examples:
      | listed  | incarnation | found  |
      | live    | i1          | absent |
      | leaving | i1          | absent |
      | live    | i2          | found  |
      | leaving | i2          | absent |

  Scenario: Leaving marks are bounded and end everywhere
    Guards against memory that grows with every instance that ever left, and
    against marks that instances learn from each other forever.
    Given a settled world of 6 entry instances with one mark each
    Then every member knows 6 marks
    And after 700 s no member knows a mark
    And 10000 further marks leave at most 4096

  Scenario Outline: A list that tells nothing is not taken
    Guards against an instance that forgets everybody in a fault of the
    platform.
    Given members that list "x" with incarnation "i1"
    When the platform's list is <answer>
    Then "x" is found among the executors

    Examples:
      | answer     |
      | empty      |
      | unreadable |
      | unchanged  |

  Scenario: A late message of a superseded incarnation is dropped
    Guards against a restarted peer that an old "leaving" takes out again.
    Given two linked entry instances
    When the second one restarts and a leaving heartbeat of before arrives
    Then the first one holds it for live
    And the late heartbeat was counted as "superseded_incarnation"

  Scenario: A leaving heartbeat is final for its incarnation
    Guards against messages of two connections that overtake each other.
    Given two linked entry instances
    When a live heartbeat of the second one arrives after its leaving one
    Then the first one does not count it among the live entries

  Scenario: A short heartbeat of an unknown incarnation changes nothing
    Guards against a beat that refreshes the wrong incarnation.
    Given two linked entry instances
    When a beat with a wrong tag arrives from the second one
    Then the first one asks who it is and keeps its last time

  Scenario Outline: A message that names another sender is refused
    Guards against a peer that speaks for others.
    Given two linked entry instances
    When a <message> in the name of another sender arrives
    Then it is counted as "peer_mismatch" and no peer changes

    Examples:
      | message   |
      | heartbeat |
      | roster    |

  Scenario Outline: Every instance is linked to every data centre
    Guards against instances that no other data centre hears.
    Given data centres with <sizes> entry instances
    Then each pair in a data centre is linked
    And each instance has links to and from every other data centre
    And no instance has more than <most> links

    Examples:
      | sizes             | most |
      | 3 3 2             | 7    |
      | 1 5               | 5    |
      | 27 27 27 27 27 27 | 36   |
      | 27 13 20          | 36   |

  Scenario: Peer frames stay within the budget at the size to design for
    Guards against heartbeats that use up the 5 KB/s of an instance; a full
    mesh of whole heartbeats took 52 KB/s.
    When 162 entry instances in 6 data centres run for 10 s
    Then no instance sends more than 2500 bytes of peer frames a second

  Scenario: A dead peer is forgotten after a while
    Guards against memory that grows with every replaced instance.
    Given two linked entry instances
    When the second one is replaced and silent for 62 s
    Then the first one holds no state for it

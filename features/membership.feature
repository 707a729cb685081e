Feature: Membership

  Scenario Outline: A peer that sends nothing becomes suspect and then dead
    Guards against slot loans to a peer without heartbeats and against work for a
    dead one.
    Given two linked entry instances
    When the second instance sends nothing for <silence> s
    Then the first instance considers it <state>

    Examples:
      | silence | state   |
      | 1.0     | live    |
      | 2.6     | suspect |
      | 5.6     | dead    |

  Scenario Outline: A leaving record belongs to one incarnation
    Guards against a restarted instance that still counts as leaving, and
    against a leaving one that gets work again because the platform's list is
    out of date.
    Given members that list "x" with incarnation "i1"
    When "x" is marked as leaving and listed as <listed> with "<incarnation>"
    Then "x" is <found> among the executors

    Examples:
      | listed  | incarnation | found  |
      | live    | i1          | absent |
      | leaving | i1          | absent |
      | live    | i2          | found  |
      | leaving | i2          | absent |

  Scenario: Leaving records are bounded and expire everywhere
    Guards against memory that grows with every instance that ever left, and
    against records that instances pass on to each other without end.
    Given 6 connected entry instances with one leaving record each
    Then every instance has 6 leaving records
    And after 700 s no instance has a leaving record
    And 10000 further leaving records leave at most 4096

  Scenario Outline: An empty, unreadable or unchanged list is not adopted
    Guards against an instance that removes all others when the platform fails.
    Given members that list "x" with incarnation "i1"
    When the platform's list is <answer>
    Then "x" is found among the executors

    Examples:
      | answer     |
      | empty      |
      | unreadable |
      | unchanged  |

  Scenario: A late message of a superseded incarnation is dropped
    Guards against a late "leaving" heartbeat of a former incarnation that
    removes a restarted peer.
    Given two linked entry instances
    When the second instance restarts and an older leaving heartbeat arrives
    Then the first instance considers it live
    And the late heartbeat was counted as "superseded_incarnation"

  Scenario: A leaving heartbeat is final for its incarnation
    Guards against messages that are reordered because they use two connections.
    Given two linked entry instances
    When a live heartbeat of the second instance arrives after its leaving one
    Then the first instance does not list it as live

  Scenario: A short heartbeat of an unknown incarnation changes nothing
    Guards against a short heartbeat that updates the state of another
    incarnation.
    Given two linked entry instances
    When a short heartbeat with a wrong tag arrives from the second instance
    Then the first instance requests a full heartbeat and changes nothing

  Scenario Outline: A message that names another sender is refused
    Guards against a peer that changes the state of another one.
    Given two linked entry instances
    When a <message> in the name of another sender arrives
    Then it is counted as "peer_mismatch" and no peer changes

    Examples:
      | message   |
      | heartbeat |
      | roster    |

  Scenario Outline: Every instance is linked to every data centre
    Guards against instances whose heartbeats reach no other data centre.
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

  Scenario: Peer frames stay within the budget in a large deployment
    Guards against heartbeats that exceed the 5 KB/s of an instance; a full mesh
    of full heartbeats took 52 KB/s.
    When 162 entry instances in 6 data centres run for 10 s
    Then no instance sends more than 2500 bytes of peer frames a second

  Scenario: The state of a dead peer is removed
    Guards against memory that grows with every replaced instance.
    Given two linked entry instances
    When the second instance is removed and sends nothing for 62 s
    Then the first instance has no state for it

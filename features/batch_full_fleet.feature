Feature: Long-running tasks in a fleet that they nearly fill

  Scenario Outline: Long-running tasks run again where there is capacity
    Guards against long-running tasks that wait although there has been free
    capacity for them twice over for 3 s. Finite jobs use the rest, some of them
    cannot be done, and workers flap, fail or stall what they run, or refuse
    calls, while instances are slow, killed or added.
    Given a random fleet that long-running tasks nearly fill, by seed <seed>
    When events follow each other in 2 rounds
    Then every long-running task was restarted in time
    And no invariant was violated

    Examples:
      | seed |
      | 3    |
      | 21   |

  Scenario Outline: Long-running tasks run again although workers hang
    Guards against the same beside workers that look sound, and refuse all calls
    or ignore starts for up to 25 s.
    Given a random fleet that long-running tasks nearly fill, by seed <seed>
    When events of all kinds follow each other in 2 rounds
    Then every long-running task was restarted in time
    And no invariant was violated

    Examples:
      | seed  |
      | 45002 |
      | 45021 |

  Scenario Outline: Failures of a step that cannot be done suspend no worker
    Guards against sound workers that get no starts, so that long-running tasks
    wait although there is capacity, because tasks failed there that fail on all
    workers; and against a worker that fails all runs and is not suspended.
    Given two workers and two steps, the first with <done> of 5 tasks done
    When tasks of the first step fail <first> times on the first worker
    And tasks of the second step fail <second> times on the first worker
    And tasks of the first step fail <elsewhere> times on the second worker
    Then the first worker is <state>

    Examples:
      | done | first | second | elsewhere | state         |
      | 0    | 3     | 0      | 0         | not suspended |
      | 0    | 3     | 1      | 0         | not suspended |
      | 0    | 2     | 1      | 0         | suspended     |
      | 0    | 2     | 1      | 1         | not suspended |
      | 1    | 3     | 0      | 0         | suspended     |
      | 1    | 3     | 0      | 1         | suspended     |

  Scenario: One failure after a suspension does not cause another one
    Guards against a worker that recovered and is suspended again, and again,
    because of single tasks that fail by their own fault.
    Given two workers and two steps, the first with 1 of 5 tasks done
    When tasks of the first step fail 3 times on the first worker
    And 6 s pass after the failures
    And tasks of the second step fail 1 times on the first worker
    Then the first worker is not suspended

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

  Scenario Outline: A step that fails everywhere does not suspend workers
    Guards against sound workers that get no starts, so that long-running tasks
    wait although there is capacity, because tasks failed there that fail on all
    workers.
    Given two workers and a step of which <done> of 5 tasks are done
    When 3 of its tasks fail on the first worker
    Then that worker is suspended
    When 1 of its tasks fails on the second worker
    Then the first worker is <state>

    Examples:
      | done | state         |
      | 0    | not suspended |
      | 1    | suspended     |

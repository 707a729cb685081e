Feature: Restarts of long-running tasks

  Scenario Outline: Long-running tasks run again soon after faults
    Guards against accepted long-running tasks without a run although there is
    capacity. A task runs again at the latest when 6 s have passed since its
    last run and 3 s more, and these 3 s and the 4 s before them were without
    disturbance; workers that drain and exit and instances that shut down are
    none.
    Given a random deployment with long-running jobs, by seed <seed>
    When disturbances and planned work follow each other in <rounds> rounds
    Then every long-running task was restarted in time
    And no invariant was violated

    Examples:
      | seed | rounds |
      | 1    | 2      |
      | 2    | 2      |
      | 3    | 2      |
      | 4    | 2      |
      | 5    | 2      |
      | 6    | 2      |
      | 7    | 2      |
      | 8    | 2      |
      | 123  | 3      |
      | 76   | 2      |
      | 61   | 2      |
      | 63   | 2      |

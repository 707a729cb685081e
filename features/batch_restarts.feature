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
      | 4    | 2      |
      | 123  | 3      |
      | 76   | 2      |
      | 61   | 2      |
      | 63   | 2      |
      | 322  | 1      |
      | 634  | 2      |
      | 700  | 2      |
      | 9040 | 2      |
      | 9059 | 2      |
      | 9073 | 2      |
      | 9038 | 2      |

  Scenario Outline: Long-running tasks run again after a data centre was cut off
    Guards against tasks without a run for 10 s and more after a data centre was
    cut off from the others and from the store for 6.5 s, while workers crashed
    or were replaced and half of all instances had been restarted before.
    Given a large deployment with long-running jobs, by seed <seed>
    When a data centre is cut off after restarts of half of all instances
    Then every long-running task was restarted in time
    And no invariant was violated

    Examples:
      | seed |
      | 2    |
      | 5    |
      | 14   |

  Scenario Outline: Workers that lose the store run each task once
    Guards against tasks that run twice, or wait too long, after a worker was cut
    off from the store alone, while it drained, its owner was restarted or killed,
    or no instance reached it.
    Given a random deployment with long-running jobs, by seed <seed>
    When single workers are cut off from the store in <rounds> rounds
    Then no invariant was violated
    And every long-running task was restarted in time

    Examples:
      | seed | rounds |
      | 1    | 2      |
      | 6    | 2      |
      | 13   | 2      |
      | 18   | 2      |

  Scenario Outline: Workers behind cuts that close connections run each task once
    Guards against tasks that run twice after the same cuts, where connections
    are closed as by the exit of a worker that drains.
    Given a random deployment with long-running jobs, by seed <seed>
    When single workers are cut off, also by resets, in <rounds> rounds
    Then no invariant was violated
    And every long-running task was restarted in time

    Examples:
      | seed | rounds |
      | 28   | 2      |
      | 51   | 2      |

Feature: Moves of long-running tasks between partitions

  Scenario: A task is not moved back to a partition that could not run it
    Guards against a task that moves from one partition to another forever:
    summaries show free capacity, but not that each worker there may run only
    one task of the step.
    Given six partitions with one worker each
    When 8 jobs with one task for each of five workers are submitted
    And 20 s pass in all partitions
    Then all tasks of the jobs run
    When a worker with a task of each job crashes
    And 16 s pass in all partitions
    Then all tasks of the jobs run
    And the workers of all partitions have recorded no violation

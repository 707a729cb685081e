Feature: Room in other partitions for the tasks of several lost workers

  Scenario Outline: All tasks of several lost workers run again in time
    Guards against long-running tasks that wait while other partitions have had
    room for them twice over for 3 s: their own partition, which is full, lost
    several workers, and sent its tasks away a few jobs at a time.
    When <lost> workers of each of <sources> full partitions are lost
    And <targets> other partitions have <room> times the room for their tasks
    And the jobs have <widths> tasks
    Then all tasks run again in time

    Examples:
      | sources | lost | targets | room | widths  |
      | 1       | 16   | 4       | 3.0  | 1       |
      | 2       | 16   | 4       | 1.2  | 1       |
      | 1       | 24   | 2       | 3.0  | 1, 2, 4 |

  Scenario: Tasks of lost workers move without a further delay
    Guards against a wait that adds to that for the end of leases: a task that
    has lost its run moved after the delay of other tasks, and only with the
    next periodic check.
    When 4 workers of each of 1 full partitions are lost
    And 2 other partitions have 3.0 times the room for their tasks
    And the jobs have 1 tasks
    Then the tasks move within 0.15 s of the end of their runs

Feature: Pending jobs that have moved

  Scenario Outline: Waiting jobs that move after their owner was replaced
    Guards against callers being told that few jobs are pending: a new owner
    moved jobs that had not started, as its worker left, with run numbers that
    rise above those of former owners. These were taken for runs that had begun.
    Given 6 jobs whose tasks <kind> and wait for memory in their partition
    When the owner of the partition <event>
    And the worker of the partition leaves, so that the jobs move
    Then every instance gives 6 jobs as pending
    When the owner of the other partition is killed
    Then every instance gives 6 jobs as pending

    Examples:
      | kind         | event      |
      | yield        | stays      |
      | yield        | shuts down |
      | yield        | is killed  |

  Scenario Outline: Jobs that have started are not pending after a move
    Guards against callers being told that jobs wait whose tasks have run: they
    have saved no progress, so that only the record of the move can say it.
    Given 6 jobs whose tasks <kind> and run in their partition
    When the owner of the partition <event>
    And the worker of the partition leaves, so that the jobs move
    Then every instance gives 0 jobs as pending
    When the owner of the other partition is killed
    Then every instance gives 0 jobs as pending

    Examples:
      | kind         | event      |
      | yield        | stays      |
      | yield        | is killed  |

Feature: Probation of workers whose tasks fail

  Scenario Outline: A worker on which every task fails gets at most 9
    Guards against a faulty worker that gets all waiting tasks, since it looks
    free whenever its tasks have failed.
    Given a worker with <before> finished tasks
    When it gets as many tasks as allowed and each fails after <delay> s
    Then it failed fewer than 10 tasks before its probation

    Examples:
      | before | delay |
      | 0      | 0.0   |
      | 0      | 4.0   |
      | 50     | 0.0   |
      | 50     | 4.0   |

  Scenario: Delays between trials double until a trial succeeds
    Guards against trials of a faulty worker that come too often or stop.
    Given a worker with 0 finished tasks
    When it gets as many tasks as allowed and each fails after 0.0 s
    Then its trials come after 30, 60, 120 and 240 s
    And it may get 8 tasks again after a trial has finished

  Scenario: A job that fails on all workers puts none on probation
    Guards against one faulty job that keeps sound workers from getting tasks.
    Given a worker with 0 finished tasks
    When it gets as many tasks as allowed and each fails after 0.0 s
    And the job of these tasks is found to fail on all workers
    Then the worker is not on probation

  Scenario Outline: Failures are weighed against the usual share
    Guards against sound workers that get no tasks for 30 s as some failed there
    by chance, where many tasks fail by themselves. Also guards against a faulty
    worker that is not put on probation.
    Given a worker with 400 ended tasks, of which <usual> failed
    When <failures> more tasks fail on it
    Then the worker is <state> probation

    Examples:
      | usual | failures | state  |
      | 0     | 2        | not on |
      | 0     | 3        | on     |
      | 20    | 3        | not on |
      | 20    | 4        | on     |
      | 80    | 6        | not on |
      | 80    | 8        | on     |
      | 160   | 8        | on     |

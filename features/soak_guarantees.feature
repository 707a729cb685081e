Feature: Checks of a soak

  Scenario Outline: A soak notices: <guarantee>
    Guards against a check that never finds a violation.
    Given a job of two steps on workers with 2 processors
    When <event>
    Then the violated guarantee is "<guarantee>"

    Examples:
      | event                                                 | guarantee                                |
      | a task starts on a second worker while it runs        | one run at a time                        |
      | a task starts again after its end was acknowledged    | done tasks do not run again              |
      | a task has started again when its end is acknowledged | done tasks do not run again              |
      | a task of the second step starts at once              | order of steps                           |
      | three tasks of one processor start on one worker      | capacity                                 |
      | a task starts though its job was refused              | refused jobs never start                 |
      | a running task's job is shown as completed            | completed jobs are done                  |
      | an accepted job is shown as gone                      | accepted jobs stay known                 |
      | a task starts 4 s after its job was cancelled         | cancelled tasks do not start             |
      | a task starts with another spec                       | specs stay unchanged                     |
      | a task starts from a checkpoint that no run saved     | checkpoints were saved by an earlier run |
      | two instances send commands with one fencing token    | one owner per fencing token              |
      | nothing runs for 5 s while a worker is idle           | accepted jobs make progress              |

  Scenario: A job without a violation
    Guards against checks that report violations of correct runs.
    Given a job of two steps on workers with 2 processors
    When the job is accepted, runs in order and is shown as completed
    Then no guarantee is violated

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

  Scenario Outline: The time for which a process can shut down is limited
    Guards against a check that counts the time for which a process is paused,
    so that it can't handle SIGTERM, or that does nothing after a pause.
    Given an instance that needs <work> s of run time to end after SIGTERM
    When it is paused from <start> s to <end> s and gets SIGTERM at <sigterm> s
    Then "processes end after SIGTERM" is violated: <violated>

    Examples:
      | work | start | end | sigterm | violated |
      | 1.5  | 0.0   | 6.0 | 0.2     | no       |
      | 1.5  | 1.0   | 9.0 | 0.8     | no       |
      | 6.5  | 3.0   | 4.0 | 0.2     | no       |
      | 7.5  | 0.0   | 0.0 | 0.2     | yes      |
      | 7.5  | 0.0   | 3.0 | 3.2     | yes      |
      | 7.5  | 0.0   | 9.0 | 0.2     | yes      |
      | 7.5  | 3.0   | 8.0 | 0.2     | yes      |

  Scenario: A process that started during a pause is not paused
    Guards against a check that waits for the end of a fault that does not
    affect the process.
    Given an instance that needs 7.5 s of run time to end after SIGTERM
    And it was started while a fault paused its former process
    When it is paused from 0 s to 0 s and gets SIGTERM at 0.2 s
    Then "processes end after SIGTERM" is violated: yes

  Scenario: A process that does not end is killed
    Guards against instances that are not restarted after a violation.
    Given an instance that needs 1000 s of run time to end after SIGTERM
    When it is paused from 0 s to 0 s and gets SIGTERM at 0.2 s
    Then "processes end after SIGTERM" is violated: yes
    And the process has ended

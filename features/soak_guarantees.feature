Feature: Checks of a soak

  Scenario Outline: A soak notices: <promise>
    Guards against a soak that finds nothing because its check is dead.
    Given a job of two steps on a worker of 2 cores
    When <event>
    Then the broken promise is "<promise>"

    Examples:
      | event                                             | promise                     |
      | a task starts on a second worker while it runs    | one run at a time           |
      | a task starts again after its end was noted       | done work is not run again  |
      | a task has started again when its end is noted    | done work is not run again  |
      | a task of the second step starts at once          | order of steps              |
      | three tasks of one core start on one worker       | capacity                    |
      | a task starts though its job was refused          | refused work never starts   |
      | a running task's job is shown as completed        | completed is true           |
      | an accepted job is shown as gone                  | accepted work is known      |
      | a task starts 4 s after its job was cancelled     | cancelled work does not start |
      | a task starts with another spec                   | specs are kept              |
      | a task starts from a checkpoint that nobody saved | checkpoints are kept        |
      | two instances give orders with one token          | one owner a token           |
      | nothing runs for 5 s while a worker is idle       | accepted work goes on       |

  Scenario: An orderly job breaks no promise
    Guards against checks that always find something.
    Given a job of two steps on a worker of 2 cores
    When the job is accepted, runs in order and is shown as completed
    Then no promise is broken

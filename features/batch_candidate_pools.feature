Feature: Workers on which a scheduling pass may start tasks

  Scenario: A large long-running task runs again beside small tasks
    Guards against a long-running task that waits for as long as there are small
    tasks of its priority: each of them started as soon as the end of another
    one had freed enough processors for it.
    Given four workers with 8 processors, and two long-running tasks of 5
    And tasks of one processor that ask for more than there are, by seed 1
    When a worker with a long-running task crashes
    Then every long-running task runs again within 9 s
    And no invariant was violated

  Scenario Outline: Only some tasks leave capacity free for a waiting task
    Guards against a waiting long-running task that others overtake, and against
    one that keeps more than those from the worker nominated for it.
    Given a worker with 8 processors and 6 runs estimated at 1 s
    And a long-running task of 5 processors that has waited for 1 s
    When <kind> of one processor is submitted
    Then a pass starts <count> of its tasks

    Examples:
      | kind                                               | count |
      | a finite task that comes before the waiting task   | 0     |
      | a finite task that comes after the waiting task    | 0     |
      | a finite task of a higher priority                 | 1     |
      | a long-running task                                | 1     |

  Scenario Outline: No capacity is left free for a task that it does not help
    Guards against processors that stay idle for a task that cannot use them, or
    that does not wait here any more.
    Given a worker with 8 processors and 6 runs estimated at <estimate> s
    And a long-running task of 5 processors that has waited for 1 s
    But <circumstance>
    When a finite task that comes after the waiting task of one processor is submitted
    Then a pass starts 1 of its tasks

    Examples:
      | estimate | circumstance                            |
      | 60       | nothing else is known of it             |
      | 1        | it requires a label that no worker has  |
      | 1        | its job was cancelled                   |
      | 1        | a move of its job is in flight          |
      | 1        | it is opportunistic                     |

  Scenario: Capacity is left free for several waiting tasks
    Guards against one worker whose capacity is meant for two tasks that do not
    fit there together.
    Given two workers with 8 processors and 6 runs estimated at 1 s each
    And a job with 3 long-running tasks of 5 processors that have waited for 1 s
    Then each worker is nominated for one of them

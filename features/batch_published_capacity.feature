Feature: Free capacity that owners publish

  Scenario: Tasks of a lost worker move to many workers with room for one each
    Guards against long-running tasks that wait although there is room: a summary
    that names eight workers shows room for eight tasks, the others wait for the
    next summaries.
    Given a worker with 40 long-running tasks beside 48 workers with room for one
    When the worker with the long-running tasks crashes
    Then all 40 tasks run 7 s later

  Scenario: A task is deducted from a worker that can take it
    Guards against tasks that move to where there is no room: a task that was
    deducted from the worker with most processors, which has no memory for it,
    left the worker with memory free for the next one.
    Given a partition with free processors on one worker and memory on another
    When owners choose a partition for 2 tasks that fit on the latter
    Then 1 of them is sent there

  Scenario Outline: Free capacity of <worker> is not published
    Guards against tasks that move to a partition and wait there, as its owner
    starts nothing on the worker that has the room.
    Given a partition with an idle worker that is <worker>
    Then its summary shows no room for a task

    Examples:
      | worker                |
      | not in the roster     |
      | withheld by its owner |
      | refusing calls        |

  Scenario: Versions that differ read each other's summaries
    Guards against an upgrade in which owners of one version see no room in the
    partitions of the other, or cannot read their summaries at all.
    Given a partition of 32 workers with the labels of 4 racks
    Then an owner of the version before reads its stored summary with 4 rooms
    And a stored summary of that version shows room for 4 tasks

  Scenario: The summary of a partition of 32 workers is small
    Guards against traffic between zones, which is priced: all instances read all
    summaries about once a second.
    Given a partition of 32 workers with the labels of 4 racks
    Then its stored summary takes at most 1000 bytes

  Scenario Outline: Room is published before a suspension ends
    Guards against a long-running task that waits for up to 1.2 s more than the
    5 s for which a worker with room for it is suspended.
    Given a task whose worker has crashed, beside a worker suspended for <time> s
    Then the task runs 0.4 s after that

    Examples:
      | time |
      | 7.1  |
      | 7.4  |
      | 7.7  |

  Scenario Outline: Moves of many tasks are planned at little cost
    Guards against an owner that renews its leases late: several times a second
    it plans for all waiting tasks, with the free capacity of all workers of all
    partitions, and handles nothing else meanwhile.
    Given 70 jobs of <width> waiting long-running tasks with <limit> on a worker
    And 25 other partitions of 32 workers with <cores> processors free
    When their owner plans moves
    Then <tasks> tasks move at the cost of at most <calls> calls of functions

    Examples:
      | width | limit | cores | tasks | calls  |
      | 1     | 0     | 1     | 0     | 100000 |
      | 14    | 0     | 1     | 0     | 100000 |
      | 14    | 1     | 1     | 0     | 100000 |
      | 1     | 0     | 9     | 32    | 60000  |
      | 14    | 0     | 9     | 98    | 250000 |

  Scenario Outline: The partition of a wide job is chosen at little cost
    Guards against an instance that answers callers late, as it compares the
    partitions for each job that it accepts.
    Given 25 other partitions of 32 workers with 9 processors free
    When an instance chooses a partition for a job of <width> tasks
    Then this takes at most <calls> calls of functions

    Examples:
      | width | calls |
      | 1     | 2000  |
      | 40    | 7000  |
      | 160   | 11000 |

  Scenario: A waiting long-running task moves before finite jobs
    Guards against finite jobs that take the only room elsewhere, as they were
    accepted earlier, while a long-running task waits.
    Given a finite job, and a younger long-running one, that wait for a worker
    When another partition has room for one of them
    Then the long-running task moves there

  Scenario: Capacity that is left free for a waiting task is not shown to others
    Guards against finite jobs that move to and fro, as no task of theirs may
    start where a worker is nominated for a long-running task.
    Given a worker with 8 processors and 6 runs estimated at 1 s
    And a long-running task of 5 processors that has waited for 1 s
    Then the summary shows room for long-running tasks and none for finite ones

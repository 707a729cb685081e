Feature: Moves of long-running tasks between partitions

  Scenario: A task is not moved back to a partition that could not run it
    Guards against a task that moves from one partition to another forever:
    summaries show free capacity, but not that each worker there may run only
    one task of the step.
    Given 6 partitions with one worker each
    When 8 jobs with one task for each of five workers are submitted
    And 20 s pass in all partitions
    Then all tasks of the jobs run
    When a worker with a task of each job crashes
    And 16 s pass in all partitions
    Then all tasks of the jobs run
    And the workers of all partitions have recorded no violation

  Scenario: A job runs in many partitions
    Guards against a task that waits for good: a job may run in so many
    partitions only, and none of them had room for another task of it.
    Given 24 partitions with one worker each
    When a job with one task for each of 24 workers is submitted
    And 40 s pass in all partitions
    Then all tasks of the jobs run
    When the job is cancelled
    And 3 s pass in all partitions
    Then no task runs

  Scenario: A task that no worker may run is not moved
    Guards against moves without end: each worker of all partitions had a task of
    the step, of which it may run one only, and free capacity for another.
    Given 12 partitions with one worker each
    When a job with one task for each of 18 workers is submitted
    And 12 s pass in all partitions
    Then 12 tasks run
    And no task is moved in the next 10 s
    When another worker joins a partition
    And 3 s pass in all partitions
    Then 13 tasks run

  Scenario: Tasks that no worker with room may run move seldom
    Guards against writes of moves without end: summaries show free capacity on
    workers that lack the label of the tasks, and all with the label are full.
    Given 4 partitions with one worker with a label and one without each
    When 20 tasks that need a label more than all workers can run are submitted
    And 8 s pass in all partitions
    Then at most 150 tasks are moved in the next 10 s

  Scenario: A started job moves to where its next step can run
    Guards against an accepted job that never goes on: no partition has the
    workers for all of its steps together any more, and steps that were done
    counted among them.
    Given two partitions, and only one that has workers for a job of two steps
    When the worker for the second step is lost while the first step runs
    And 30 s pass in all partitions
    Then the job is completed
    And the workers of all partitions have recorded no violation

  Scenario: A started job moves to where its next step has room
    Guards against a job that moves to and fro: its largest step, which was done,
    decided whether a partition had room, and not the step that waits.
    Given two partitions, and only one that has workers for a job of two steps
    When the first step needs more than the other partition has free
    And the worker for the second step is lost while the first step runs
    And 30 s pass in all partitions
    Then the job is completed
    And the workers of all partitions have recorded no violation

  Scenario Outline: A waiting task learns of room in another data centre in time
    Guards against a long-running task that has no run for 3 s although another
    data centre has room for two such tasks: the age of the summary there and
    the interval of reads added up to 2.65 s, and a store call that gets no
    answer takes 0.9 s.
    Given three data centres in full use and a long-running task that waits
    When a job in another data centre is cancelled after <phase> s
    Then the task runs 2.1 s after the end of the cancelled tasks

    Examples:
      | phase |
      | 0.0   |
      | 0.3   |
      | 0.6   |
      | 0.9   |
      | 1.2   |
      | 1.5   |
      | 1.8   |
      | 2.1   |

  Scenario Outline: A waiting task starts in time although a store call is lost
    Guards against the same where the store does not answer one call on the way.
    Given three data centres in full use and a long-running task that waits
    When a job in another data centre is cancelled after <phase> s
    And the next <call> of each instance gets no answer
    Then the task runs 2.6 s after the end of the cancelled tasks

    Examples:
      | phase | call              |
      | 0.0   | read of summaries |
      | 1.8   | read of summaries |
      | 0.0   | move              |
      | 0.9   | move              |
      | 1.8   | move              |

  Scenario Outline: Tasks of a lost worker run elsewhere in time
    Guards against long-running tasks that wait although another partition has
    room: their worker is lost, and owners end or the store fails as they move.
    In 378 their job had reached the highest number of partitions.
    When sequence <seed> of moves is played
    Then all its tasks run again in time

    Examples:
      | seed |
      | 61   |
      | 120  |
      | 176  |
      | 375  |
      | 378  |
      | 449  |
      | 578  |

  Scenario Outline: A job whose finite step precedes a long-running one moves
    Guards against accepted work that never goes on: no finite task of a job with
    a long-running step ever moved, though its partition had lost its workers and
    another one had room.
    Given 1 partitions with one worker each
    When a job with a finite step before a long-running one is submitted
    And another worker joins a partition
    And the first worker crashes <seconds> s later
    And 26 s pass
    Then 2 tasks run
    And no invariant was violated

    Examples: While the finite step runs, or after it
      | seconds |
      | 1       |
      | 3       |
      | 9       |

  Scenario Outline: An opportunistic job leaves a partition without its memory
    Guards against accepted work that never runs again: a job with opportunistic
    tasks moved by the load of processors alone, and stayed where no worker was
    left with the memory that a task requests.
    Given a partition with a large and a small worker, and another with <others>
    When an opportunistic job that only a large worker can hold is submitted
    And the first worker crashes <seconds> s later
    And 26 s pass
    Then every task of the job <outcome>
    And no invariant was violated

    Examples:
      | others         | seconds | outcome       |
      | a large worker | 2       | is done       |
      | a small worker | 2       | waits         |

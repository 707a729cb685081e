Feature: Long-running tasks that wait, or lose their runs, in spite of room

  Scenario Outline: A task gets a worker nominated although it moves
    Guards against a long-running task that moves to and fro between its own
    partition, where finite tasks use all that is freed, and one that shows free
    capacity on workers that it must not use. It never waits long enough in one
    partition to get a worker nominated there.
    Given a partition full of small tasks beside one with room on workers of another <kind>, by seed <seed>
    When a worker with a large long-running task crashes there
    Then the large long-running tasks run 15 s later

    Examples:
      | kind    | seed |
      | label   | 1    |
      | label   | 3    |
      | service | 1    |

  Scenario Outline: Runs outlast a store that fails just after a takeover
    Guards against sound workers whose runs lapse: the first roster of an owner
    names workers that have not answered yet, and cannot be withdrawn while the
    store is unavailable, so that the owner extends no leases there.
    Given workers that answer within 0.2 s, with long-running tasks
    When an owner is killed, and the store fails for 6 s once it has a successor
    Then every run that existed before still exists, by seed <seed>

    Examples:
      | seed |
      | 1    |

  Scenario Outline: Runs outlast a short outage just after a takeover
    Guards against the same for any outage: the leases that the killed owner had
    extended end 2.5 s after the takeover.
    Given workers that answer within 0.2 s, with long-running tasks
    When an owner is killed, and the store fails for <outage> s once it has a successor
    Then every run that existed before still exists, by seed <seed>

    Examples:
      | outage | seed |
      | 2.5    | 1    |
      | 3.5    | 1    |
      | 3.5    | 2    |
      | 3.5    | 3    |

  Scenario: A task moves to workers with memory
    Guards against a long-running task that waits for good: a summary names the
    eight workers with most free processors, and these have no memory left.
    Given a partition of eight workers without memory and two with both
    When a worker of another partition with a long-running task crashes
    Then the large long-running tasks run 9 s later

  Scenario: Many waiting tasks do not take long in a pass
    Guards against a pass that delays polls and renewals: it searched all runs of
    the partition anew for each of many waiting steps that no worker can take.
    Given 32 workers with 20 long runs and 150 jobs that have waited for 1 s
    Then the next pass estimates at most 640 waits for workers

  Scenario: A failing worker is suspended whatever failed elsewhere before
    Guards against long-running tasks that start again and again on workers that
    fail all runs. No task of a long-running step is ever done, so that it counts
    as the cause of all failures once two of its runs have failed on two workers.
    Given a long-running job of which a run has failed on each of four workers
    When the workers of its partition fail all runs
    Then all of its tasks run in the other partition 5 s later

  Scenario Outline: Repeated effects lose no progress
    Guards against tasks that run twice: a repetition while a commit is in flight
    lets two commits overlap. The second one acknowledges ends of runs that only
    the first one writes, which conflicts, and the owner is killed.
    Given finite jobs and a store whose calls take 0.3 s, by seed <seed>
    When an owner repeats its effects, and is killed 10 s later
    Then no invariant was violated after 15 s

    Examples:
      | seed |
      | 1    |
      | 2    |

  Scenario Outline: A start without an answer does not outlast its worker
    Guards against a long-running task that waits for 12.5 s, the time within
    which a restarted worker may carry out a late start, although its worker has
    been lost for good and the leases there have expired.
    Given long-running tasks whose starts <what>
    When a worker with such a start crashes, by seed <seed>
    Then every long-running task was restarted in time

    Examples:
      | what               | seed |
      | arrive too late    | 1    |
      | arrive too late    | 2    |
      | lose their answers | 1    |
      | lose their answers | 2    |

  Scenario Outline: A start without an answer is stopped at a worker that returns
    Guards against a task that runs twice: its worker was lost for longer than
    the list shows it, the task was started elsewhere, the worker has started
    again under its id, and the first start arrives there.
    Given long-running tasks whose starts arrive 11 s late
    When a worker with such a start crashes and is back <back_s> s later, by seed <seed>
    Then every long-running task was restarted in time
    And no invariant was violated

    Examples:
      | back_s | seed |
      | 2.0    | 1    |
      | 7.0    | 1    |
      | 9.0    | 2    |

  Scenario Outline: A worker that refuses all calls does not keep its tasks
    Guards against a long-running task that waits until its worker answers polls
    again: they are refused, so that its run has lapsed, but its owner counts
    each of them as an extension of the lease.
    Given four long-running tasks on eight workers, by seed <seed>
    When a worker refuses <share> of the calls in each 0.1 s, for <refusal_s> s
    Then no long-running task was without a run for more than 1 s
    And no invariant was violated

    Examples:
      | seed | share | refusal_s |
      | 1    | 1.0   | 15        |
      | 1    | 1.0   | 30        |
      | 2    | 0.95  | 30        |
      | 3    | 0.8   | 30        |
      | 4    | 0.5   | 30        |

  Scenario Outline: Workers that answer polls but no starts do not keep a task
    Guards against a long-running task that is started again and again on an
    empty worker that never carries out a start, beside sound workers with room.
    Given four long-running tasks on eight workers, by seed <seed>
    And <hanging> idle workers of their partition answer no starts
    When a worker with a long-running task is lost for good
    Then no long-running task was without a run for more than 9 s
    And no invariant was violated

    Examples:
      | hanging | seed |
      | 1       | 1    |
      | 1       | 2    |
      | 2       | 1    |
      | 4       | 1    |

  Scenario Outline: A start that reaches a worker as soon as it has returned
    Guards against a task that runs twice: the owner learns that the worker has
    returned, and stops the start there, only with its next read of the list.
    Given long-running tasks whose starts arrive <late_s> s late
    When a worker with such a start crashes and is back <back_s> s later, by seed 1
    Then no invariant was violated

    Examples:
      | late_s | back_s |
      | 7.4    | 7.0    |
      | 9.4    | 9.0    |
      | 11.7   | 11.0   |

Feature: Departure of workers and owners

  Scenario: Long-running tasks leave a draining worker before it exits
    Guards against long-running tasks that stay on a worker until it exits
    although others have capacity, so that they wait until their owner has
    found out.
    Given an owner of three workers with long-running tasks
    When a worker with long-running tasks drains for 4 s and then exits
    And 9 s pass after the departure
    Then no task was without a run for more than 1 s
    And no invariant was violated

  Scenario: Tasks of a worker that exits soon after its notice start again
    Guards against a wait for the lease of runs that ended with their worker:
    the worker announced its departure, and the platform's list lacks it.
    Given an owner of three workers with long-running tasks
    When a worker with long-running tasks announces its departure
    And the worker exits as soon as its owner has read the list
    And 7 s pass after the departure
    Then no task was without a run for more than 5 s
    And no invariant was violated

  Scenario: A new owner does not wait for a worker that announced its departure
    Guards against a successor that waits until the leases of all former runs
    must have expired, although the only worker without a listing has left.
    Given an owner of three workers with long-running tasks
    When a worker with long-running tasks announces its departure
    And the worker exits and its owner is killed when the owner has read the list
    And 9 s pass after the departure
    Then no task was without a run for more than 7 s
    And no invariant was violated

  Scenario: Tasks of a crashed worker start again if workers grant long leases
    Guards against tasks that wait for a lease of 10 s, the longest that some
    deployments grant, after their worker has crashed.
    Given an owner of three workers that grant leases of 10 s
    When a worker with long-running tasks crashes
    And 9 s pass after the departure
    Then no task was without a run for more than 7 s
    And no invariant was violated

  Scenario: A draining worker that still runs its tasks has not left
    Guards against tasks that run twice: an entry may disappear during an
    outage of the store although its worker continues to run.
    Given an owner of three workers in full use
    When a worker drains and its entry disappears for 3 s
    And 12 s pass after the departure
    Then no task was without a run for more than 1 s
    And no invariant was violated

  Scenario: An entry that returns does not end the runs of its worker
    Guards against tasks that run twice: the entry of a draining worker
    disappeared during an outage of the store and returned 2 s after it, while
    the worker did not answer.
    Given an owner of three workers in full use
    When a draining worker does not answer and its entry disappears for 2 s
    And 2.4 s pass after the departure
    Then no task runs on a worker that joined meanwhile
    When 12 s pass after the departure
    Then no invariant was violated

  Scenario: An owner with ends to commit gives up its partitions at a shutdown
    Guards against an owner that exits without waiting for its commits and
    leaves its keys in the store until their lease expires, so that its
    partitions have no owner meanwhile.
    Given an owner of three workers with short tasks
    When the owner is asked to shut down while ends wait for their commit
    And 1 s pass
    Then the process has ended and another instance owns the partition
    And no invariant was violated

  Scenario: An owner that shuts down in a store outage releases its leases
    Guards against long-running tasks that wait for leases which ended long ago:
    the owner exited while it could not store when they expire, and its successor
    assumed that a worker which had left was polled until then.
    Given an owner of three workers with long-running tasks
    When a worker exits in a store outage of 4 s in which the owner shuts down
    And 12 s pass after the departure
    Then no task was without a run for more than 9 s
    And no invariant was violated

  Scenario Outline: Any instance acquires a partition of its data centre soon
    Guards against a partition without an owner for seconds: the random part of
    an instance's delay had no upper bound, and only that instance was left.
    Given an instance with <processors> processors that owns <owned> partitions
    Then it would acquire each of 1000 partitions within <seconds> s

    Examples:
      | processors | owned | seconds |
      | 0.2        | 0     | 0.7     |
      | 0.2        | 8     | 1.5     |
      | 2.0        | 8     | 1.5     |

  Scenario: A former owner's draining worker beyond a cut has not left
    Guards against tasks that run twice: a successor in another data centre takes
    a draining worker whose entry expired during a cut as gone, although the
    former owner inside the cut extends the leases of its runs.
    Given an owner of three workers in full use and an instance elsewhere
    When the data centre of the draining worker is cut off for 16 s
    And 4 s pass after the departure
    Then no invariant was violated

  Scenario: Tasks that only one worker may run do not all leave for it
    Guards against a run that is stopped although no worker can take its task:
    another task of its step, which allows one task a worker, leaves at the same
    time for the only free worker.
    Given an owner of three workers with two tasks that must not share one
    When both workers with tasks drain
    And 4 s pass after the departure
    Then no task was without a run for more than 1 s
    And no invariant was violated

  Scenario: Leases outlast the takeover of a partition after a kill
    Guards against runs that lapse, although their workers are sound, because
    the longest delay of an acquisition adds up with the store lease.
    Given three small instances that own six partitions
    When the owner of the partition with runs is killed late in a long poll
    Then no run of the partition was started again

  Scenario: A successor does not wait again for a worker that has left
    Guards against waits that add up in planned work: the owner has given up the
    runs of a departed worker and shuts down before the tasks could move, and its
    successor waits for the same worker from the beginning.
    Given a partition in full use beside empty ones
    When a worker drains and exits and its owner shuts down 4 s later
    And 12 s pass after the departure
    Then no task was without a run for more than 9 s
    And no invariant was violated

  Scenario: A task whose worker crashed moves at once to another partition
    Guards against a long-running task that waits for its own partition, which has
    no other worker, for longer than a new one would: it moves alone, and nothing
    is lost by it.
    Given a worker with a long-running task and another partition
    When the worker with the task crashes
    And 9 s pass after the departure
    Then no task was without a run for more than 6.8 s
    And no invariant was violated

  Scenario: A new owner starts nothing by an old list of workers
    Guards against starts on a worker that announced its departure more than 2 s
    before: an instance that owned nothing had sent a slow read of the list
    before the announcement, and became the owner before the answer.
    Given an owner of three workers with long-running tasks
    When the owner is killed and a worker drains during a slow read of the list
    And jobs are submitted for 6 s
    Then nothing was started on that worker 2 s after its announcement
    And no invariant was violated

  Scenario Outline: A draining worker that is cut off keeps its runs
    Guards against tasks that run twice: the entry of a draining worker expired
    while it was cut off, and <who> took the worker as gone, although the leases
    of its runs had not ended.
    Given an owner of three workers with long-running tasks
    When a draining worker is cut off, its entry expires and <event>
    And 12 s pass after the departure
    Then no invariant was violated
    And no task was without a run for more than 9 s

    Examples:
      | who           | event               |
      | its owner     | its owner continues |
      | a new owner   | its owner is killed |

  Scenario Outline: A draining worker that only its owner reaches keeps its runs
    Guards against tasks that run twice: the entry of a draining worker expired
    because it had lost the store, its owner extended the leases of its runs, and
    <who> took the worker as gone without calling it.
    Given an owner of three workers with long-running tasks
    When a draining worker loses the store for 8 s and then <event>
    And 12 s pass after the departure
    Then no invariant was violated
    And no task was without a run for more than 9 s

    Examples:
      | who         | event                                               |
      | a new owner | its owner shuts down                                |
      | a new owner | its owner is killed                                 |
      | a new owner | its owner shuts down and no instance reaches it     |
      | a new owner | its owner is killed and no instance reaches it      |
      | its owner   | no instance reaches it                              |

  Scenario Outline: A draining worker behind a cut by resets keeps its runs
    Guards against tasks that run twice: connections that a cut had closed and an
    entry that expired soon after were taken for the exit of a draining worker,
    so that its tasks started elsewhere before its leases had ended.
    Given an owner of three workers with long-running tasks
    When a draining worker loses the store, and after <seconds> s all instances by resets
    And 12 s pass after the departure
    Then no invariant was violated
    And no task was without a run for more than 9 s

    Examples:
      | seconds |
      | 0.2     |
      | 0.8     |
      | 1.4     |
      | 2       |
      | 2.6     |
      | 3.2     |
      | 4       |

  Scenario: A new owner continues the runs of a worker that has lost the store
    Guards against runs that lapse, though their worker is sound and answers,
    because only the platform's list told a new owner where to call it.
    Given an owner of three workers with long-running tasks
    When a worker loses the store for 8 s and then its owner is killed
    And 12 s pass after the departure
    Then no task was without a run for more than 0 s
    And no invariant was violated

  Scenario: A crash of a worker together with a kill of its owner
    Guards against tasks without a run for 11 s and more: the successor, which was
    the same instance started again, waited as if its own former process could
    still extend the leases of the worker that had crashed.
    Given the only instance with long-running tasks on three workers
    When a worker crashes, its owner is killed and starts again 1.5 s later
    And 14 s pass after the departure
    Then no task was without a run for more than 9 s
    And no invariant was violated

  Scenario: An owner that shuts down waits for the answers to its starts
    Guards against long-running tasks without a run for 10 s: the owner resigned
    while a start was in flight, so that its release left the worker out, and the
    worker was lost before its successor called it.
    Given an owner of three workers with long-running tasks
    When its owner is asked to shut down with a start in flight to a worker
    And that worker is lost 0.02 s later
    And 14 s pass after the departure
    Then no task was without a run for more than 8 s
    And no invariant was violated

  Scenario: An owner that shuts down releases a lease with an unanswered start
    Guards against the same wait if the start gets no answer, because the worker
    was lost before it arrived.
    Given an owner of three workers with long-running tasks
    When a worker is lost and its owner is asked to shut down after a start
    And 14 s pass after the departure
    Then no task was without a run for more than 8 s
    And no invariant was violated

  Scenario: A process ends only after its releases are stored
    Guards against a successor that waits for leases without knowing their end:
    the process exited with the writes of its releases still in flight.
    Given an owner of three workers with long-running tasks
    When the owner is asked to shut down and its release gets no answer
    Then the process has not ended 0.5 s later
    And the process ends within 3 s

  Scenario: Another instance succeeds a killed owner of a crashed worker
    Guards against tasks without a run for 11 s and more: the successor waited as
    if the killed owner still extended the leases of a worker that the platform's
    list lacks and that does not answer.
    Given an owner of three workers with long-running tasks
    When a worker crashes and its owner is killed
    And 14 s pass after the departure
    Then no task was without a run for more than 9 s
    And no invariant was violated

  Scenario Outline: A killed owner has stored that a worker has exited
    Guards against a successor that waits as if the killed owner still extended
    the leases of a worker that announced its departure and closed its
    connections, until it had been silent for 1.5 s.
    Given an owner of three workers with long-running tasks
    When a worker with long-running tasks announces its departure
    And the worker exits as soon as its owner has read the list
    And its owner is killed <delay> s later
    And 10 s pass after the departure
    Then no task was without a run for more than 6.8 s
    And no invariant was violated

    Examples:
      | delay |
      | 0.4   |
      | 0.8   |
      | 1.2   |

  Scenario: A read of the list of workers that never ends is repeated
    Guards against an owner that starts nothing any more because an unexpected
    error ended one read of the list without a result.
    Given an owner of three workers with short tasks
    When the result of a read of the list is lost
    And 8 s pass after the departure
    Then the owner has read the list in the last 2 s

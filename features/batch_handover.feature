Feature: Handover of workers between owners

  Scenario: A new owner that extends leases before it knows the runs
    Guards against tasks that run twice: a new owner extended the leases on a
    worker whose runs it did not know yet, lost the worker, and took the runs
    there as ended with the leases of the former owner.
    Given an owner in the same data centre of three workers with long-running tasks
    When lists of jobs take 0.2 s
    And the owner is killed
    And the new owner loses the worker as soon as it is active
    Then the worker has seen the token of the new owner
    When 20 s pass
    Then no invariant was violated

  Scenario Outline: An owner that shuts down without a stored release
    Guards against tasks that run twice: the owner ended its store lease although
    its release was not stored, and its successor counted the end of the owner
    key as that of an owner whose last renewal was a lifetime of the key ago.
    Given an owner in the same data centre of three workers with long-running tasks
    When the releases of the owner <fault>
    And only that owner reaches the worker
    And the owner shuts down
    And 20 s pass
    Then no invariant was violated

    Examples:
      | fault         |
      | are refused   |
      | get no answer |

  Scenario: A worker that refuses calls is no witness for its new owner
    Guards against tasks that run twice: a host refused a call under load, before
    the worker had seen the new owner's token. The new owner took the refusal as
    an answer that the former owner would notice, but the former owner still
    reached all workers and extended the leases of the runs there.
    Given an owner in the same data centre of three workers with long-running tasks
    When the owner loses the store 0 s later
    And the next owner reaches one worker, which refuses its calls
    And its first read of the roster is refused
    And that owner loses this worker after the first refusal
    And 6 s pass
    And that owner reaches a worker other than those two
    And 12 s pass
    Then no invariant was violated

  Scenario: A worker that restarted before a start arrived late
    Guards against tasks that run twice: the owner named no end of the leases on
    a worker that had restarted, so that its successor, which did not reach the
    worker, waited only as for a killed owner. The start arrived after that.
    Given an owner of three workers whose starts are carried out 5.5 s late
    When the worker restarts
    And only that owner reaches the worker
    And the owner shuts down
    And 20 s pass
    Then no invariant was violated

  Scenario: An acquisition that finds the store lease lost
    Guards against tasks that run twice: the reply to an acquisition said that
    the store lease was lost. The owner obtained a new lease and took it as the
    confirmation of the partition that it still held, which had a successor.
    Given an owner in the same data centre of three workers with long-running tasks
    And the owner of another partition is killed
    When the owner loses the store 3 s later
    And only the other instance reaches the worker and reaches no other worker
    And the owner reaches the store again just before it acquires that partition
    And its renewals and its calls that show its successor get no answer
    And 2 s later its calls get answers again
    Then it has not acquired that partition
    When 9 s pass
    Then no invariant was violated

  Scenario: A job that moves after its runs were settled by time
    Guards against two runs of a task with the same number: the next owner knew
    no run of the job, waited until it had ended, and moved the job, whose runs
    in the other partition were numbered from the start.
    Given a job that only one worker of its data centre has room for
    When the owner is killed
    And only that owner reaches the worker
    And 15 s pass
    Then the job has been started in the other data centre
    And no two runs of the job have the same number
    And no invariant was violated

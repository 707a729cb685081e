Feature: Communication of an owner with its workers

  Scenario: Confirmed stops do not multiply the polls of a worker
    Guards against long polls that use all connections to a worker, so that
    commands wait behind calls that wait for a run to end.
    Given an owner with one worker that runs 8 long-running jobs
    When the jobs are cancelled 0.3 s apart
    And the owner runs for another 6 s
    Then no more than one poll of a kind was in flight to a worker
    And the worker runs nothing

  Scenario: The answer to a poll before a rejoin changes nothing
    Guards against a second long poll beside the one in flight, sent because
    the answer to an older poll was treated as its answer.
    Given an owner with a long poll waiting at a worker
    When the worker leaves and joins again
    And the earlier long poll is answered
    Then the owner sends no poll and waits for the current one

  Scenario Outline: Leases are extended while the store is unavailable
    Guards against runs whose leases expire because their owner waits for a
    commit before it polls again, while answers to commands count as
    contact.
    Given an owner with a long poll waiting at a worker
    When an end is listed and the store does not answer <calls> for 10 s
    And the worker answers a command every 0.25 s
    Then no lease had less than <share> of its duration left

    Examples:
      | calls                        | share |
      | transactions                 | 0.67  |
      | transactions and renewals    | 0.67  |

  Scenario: Runs continue when a delayed process misses the answers to starts
    Guards against mass stops and restarts that discard running work because
    the owner's process itself was delayed.
    Given an owner with 4 workers that run nothing
    When 24 tasks are started and the answers of all starts are lost
    And the owner runs for another 6 s
    Then every task was started once
    And no invariant was violated

  Scenario: A start that never arrives is repeated without waiting for a lease
    Guards against tasks that wait for a lease to expire although a
    responding worker shows that it does not run them.
    Given an owner with 4 workers that run nothing
    When 8 tasks are started and all starts arrive only after 2 to 12 s
    And the owner runs for another 1.5 s
    Then every task runs or has ended
    When the owner runs for another 20 s
    Then no invariant was violated

  Scenario: A start that never left the process is repeated
    Guards against tasks that wait for a stop or for a lease to expire
    although no worker can have received their start.
    Given an owner with 2 idle workers and a task that it started
    When the start could not be sent from this process
    Then the task is queued again and no stop is sent
    And a scheduling pass starts it on the other worker

  Scenario: Calls that fail in this process do not mark workers unresponsive
    Guards against an owner that, when its own process is delayed, marks all
    workers as unresponsive at once and stops extending their leases.
    Given an owner with 2 idle workers and a task that it started
    When the start gets no answer because of this process
    Then the owner sends a short poll that extends the lease
    When the short poll gets no answer because of this process
    Then the owner sends a short poll that extends the lease
    When the owner has had no answer from the worker for 4 s
    And the short poll gets no answer because of this process
    Then the owner sends a short poll that does not extend the lease

  Scenario: Pace commands of a run are sent one at a time
    Guards against an older pace command that overtakes a newer one, and
    against commands that accumulate at a worker.
    Given an owner with an opportunistic run
    When it sets the pace of the run to 40, 60 and 20 percent
    Then only a pace command of 40 percent is in flight
    When that command is confirmed
    Then only a pace command of 20 percent is in flight

  Scenario: A pace command without an answer is sent again
    Guards against runs that stay slow, or keep disturbing serving tasks,
    because their pace command never arrived.
    Given an owner with an opportunistic run
    When it sets the pace of the run to 40, 60 and 100 percent
    And that command gets no answer
    And the owner adjusts the paces of the worker
    Then only a pace command of 100 percent is in flight

  Scenario: A newer incarnation of a worker carries out a start
    Guards against a task that runs twice: the answer came from another
    incarnation than the owner had addressed, and the start was treated as
    refused although the run existed.
    Given a data centre of two workers with a delay of 20 ms per command
    When a worker restarts with starts in flight and is listed later
    Then every job is stored as completed without duplicate runs

  Scenario: A delayed start arrives at a newer incarnation of its worker
    Guards against a task that runs twice: the former incarnation had
    confirmed a stop of the start, or its lease had expired, and the new
    incarnation knows of neither.
    Given a data centre of two workers whose starts get no answer
    When jobs are submitted and the workers restart before the starts arrive
    Then every job is stored as completed without duplicate runs
    And no abandoned start is recorded any more

  Scenario Outline: A worker that may be used again is used at once
    Guards against long-running tasks that wait until the next periodic checks
    although a worker may be used before.
    Given an idle worker that is unusable as it is <reason>
    When 0.1 s later it <event>
    Then a scheduling pass is due within 0.01 s of that

    Examples:
      | reason    | event                |
      | refusing  | may be used again    |
      | suspended | may be used again    |
      | silent    | answers without runs |
      | unlisted  | answers without runs |
      | orphans   | answers without runs |

  Scenario: Calls that never get a reply are not kept
    Guards against memory that grows for as long as a worker is known, by calls
    whose reply was lost in this process.
    When one call in 4 to a worker gets no reply at all for 100 s
    Then leases of at most 4 calls are kept
    And the latest end of a lease is that of the last call

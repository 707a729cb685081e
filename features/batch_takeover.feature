Feature: Loading of a partition by its new owner

  Scenario: A job accepted while its owner loads is not lost
    Guards against a job that is never run: its record was written after the
    store had answered an older read and the watch returned it before that
    answer, which lacks the job and must not discard the change.
    Given a loading owner that watches the job records
    When the watch returns a new job
    And the read in flight returns no jobs
    And the owner has loaded everything else
    Then the owner knows the new job

  Scenario: A new owner does not treat former leases as expired
    Guards against runs that are adopted and then started a second time: the
    new owner had not requested any lease itself and so treated the leases
    of the former owner as expired.
    Given an active owner that has just called a worker
    When the worker first refuses as unhealthy, with no clock reading
    And the worker lists a run for the first time
    And the owner checks for expired leases
    Then the run is still known on the worker

  Scenario: A refusal with a clock reading says nothing about leases
    Guards against the same fault if the first answer of the worker is a
    refusal that contains its clock.
    Given an active owner that has just called a worker
    When the worker first refuses as unhealthy, with its clock reading
    And the worker lists a run for the first time
    And the owner checks for expired leases
    Then the run is still known on the worker

  Scenario: Leases on an unresponsive worker are not extended
    Guards against tasks that wait forever on a worker that no longer
    exists, because each attempt to reach it requests a longer lease.
    Given an active owner that has just called a worker
    When the worker lists a run for the first time
    And the worker does not answer for 8 s
    Then the task of the run is queued again

  Scenario: An owner that reaches no worker does not treat runs as ended
    Guards against tasks that run again after they were done. While a data
    centre was unreachable, its owner kept extending leases there, and an
    owner outside started all tasks again as soon as it reached the first
    worker.
    Given an active owner that has just called a worker
    When the worker does not answer for 20 s
    Then runs of former owners may still exist on the worker

  Scenario: A worker is not used before it has listed its runs
    Guards against starts on a worker whose current runs are not known.
    Given an active owner that has just called a worker
    When the worker confirms a command but has listed nothing
    Then no task may start on the worker

  Scenario: A job whose start got no answer still counts as pending
    Guards against callers being told that no job is pending, while starts
    are not answered and no task has started.
    Given an active owner that has just called a worker
    When the worker lists no runs
    And the start of the task is not answered
    Then the owner publishes the job as pending
    When the start of the task is confirmed later
    Then the owner does not publish the job as pending

  Scenario: Another worker at the same address ends the replaced worker's runs
    Guards against waiting for tasks whose worker has been replaced.
    Given an active owner that has just called a worker
    When the worker lists a run for the first time
    And another worker answers at its address
    Then the task of the run is queued again

  Scenario: Another worker at the address ends the wait for former runs
    Guards against jobs that wait for runs of a former owner although their
    worker has been replaced.
    Given an active owner that waits for former runs on a worker
    When another worker answers at its address
    Then no former run is waited for

  Scenario: A release that is read again does not extend its leases
    Guards against jobs that wait again for leases that a former owner released,
    because a failed watch made the new owner read the release once more.
    Given an active owner that waits for former runs on a worker
    When it reads a release of 4 s, and the same release 3 s later
    Then it waits for the leases until 4 s after the first read

  Scenario: A release that is read late corrects the roster
    Guards against tasks that run twice: an owner whose store lease was revoked
    stored its release after the successor's first roster had named an earlier
    end of the leases there, by which the next successor would go.
    Given an active owner that waits for former runs on a worker
    When it reads a release of 60 s 1 s later
    Then it writes a roster that names 60 s for the leases there

  Scenario: A job continues after a failed read that follows a failed move
    Guards against a job that is never started again after its move
    conflicted and a read of its record failed.
    Given an active owner that has just called a worker
    When the move of a waiting job conflicts
    And the job's record is read at the second attempt
    Then the job may start

  Scenario: A job starts nothing while the outcome of its move is unknown
    Guards against a task that two owners run: a read of the unchanged
    record let the owner that was moving the job start the task, and then
    the write that moved it took effect.
    Given an active owner that has just called a worker
    When the move of a waiting job is not answered
    And a read of all job records shows the job unchanged
    Then the job starts nothing

  Scenario Outline: The late outcome of a move does not tell that of the next
    Guards against a task that two owners run: the record showed that a move had
    taken effect, the job moved again, and then the answer to the first move
    allowed the owner to start a task that the second one moves.
    Given an active owner that has just called a worker
    When the record shows that tasks of a waiting job have moved
    And the job moves again before the first move <answer>
    Then the job starts nothing

    Examples:
      | answer                                        |
      | is confirmed                                  |
      | conflicts                                     |
      | is not answered and conflicts when sent again |

  Scenario: A replaced owner reads a job newer than its successor
    Guards against a task that two owners run: the successor assumes that
    former owners do not know a job that is newer than the successor's
    owner key.
    Given an active owner that has just called a worker
    When the owner reads the job records
    Then the read includes the owner key
    When it reads a newer owner key and a still newer job
    Then it has resigned and does not know the job

  Scenario: A replaced owner watches a job newer than its successor
    Guards against the same fault if the watch returns the changes one by
    one.
    Given an active owner that has just called a worker
    When it watches a newer owner key and a still newer job
    Then it has resigned and does not know the job

  Scenario: A list whose later pages are newer than its owner key
    Guards against the same fault if the pages of a list are not one
    snapshot.
    Given an active owner that has just called a worker
    When a later page of the list shows a job newer than the first page
    Then it waits for the watch to return the job

  Scenario: A list requested before the takeover is read again
    Guards against a task that runs again after it was done: the list showed
    the job as it was before the former owner had ended it.
    Given an instance with a read of the job records in flight
    When it acquires the partition again
    And the read returns a job of the partition
    Then it reads the job records again

  Scenario: Progress requested before the takeover is read again
    Guards against the same fault if the progress that was read is older
    than the last commit of the former owner.
    Given an instance with a read of the progress in flight
    When it acquires the partition again
    And a later read returns a job of the partition
    And the read of the progress returns nothing
    Then it reads the progress again

  Scenario: An older list does not restore a job that was moved away
    Guards against a task that two owners run: the list was requested before
    the move and answered after it.
    Given an active owner that has just called a worker
    When the move of a waiting job to another partition is confirmed
    And a read of all job records shows the job before its move
    Then the owner does not know the job

  Scenario: A change older than the list is ignored
    Guards against a task that two owners run: a watch from before the
    takeover returned a job that had been moved away since, as the list
    shows.
    Given a loading owner that watches the job records
    When the read in flight returns no jobs
    And the watch returns a job change older than the read
    And the owner has loaded everything else
    Then the owner does not know the job

  Scenario: A job whose tasks ran under former owners is not moved whole
    Guards against tasks that run again after they were done: a new owner
    had received ends of the job but not committed them, and treated the job
    as not started.
    Given an active owner of a job of two steps
    When the worker lists the end of the first step
    And the second step waited and another partition has free capacity
    Then the owner moves nothing

  Scenario: A job with progress in the store is not moved whole
    Guards against the same fault if the owner does not know of the
    progress: the transaction that moves the job must then fail.
    Given an active owner of a job of two steps
    When the first step waited and another partition has free capacity
    Then the move of the job requires that the store has no progress of it

  Scenario: A poll of an unresponsive worker acknowledges no ends
    Guards against lost ends, which make their tasks run again: a restarted
    worker numbers its ends from 1 again and would discard those up to the
    position that its former incarnation had reached.
    Given an active owner that has just called a worker
    When the ends of the worker up to position 7 are stored
    And the worker does not answer a poll
    Then the next poll acknowledges no ends

  Scenario: A restarted worker gets no starts and no acknowledgements
    Guards against the same fault, and against starts on an incarnation
    whose runs are not known, until the platform's list shows the new
    incarnation.
    Given an active owner that has just called a worker
    When the ends of the worker up to position 7 are stored
    And a newer incarnation of the worker answers a poll
    Then no task may start on the worker even after the refusal pause
    And the next poll acknowledges no ends

  Scenario: An owner that loaded slowly waits for the listings
    Guards against tasks that run again after they were done: the leases of
    former owners had expired while the owner loaded, and it started their
    tasks before any worker had listed its ends.
    Given an owner that loads for 20 s after a worker has answered
    When the owner has just become active
    Then no job of former owners may start
    When 2 s pass without a listing
    Then the jobs of former owners may start

  Scenario: Run numbers increase across owners and moves
    Guards against two runs of a task with the same number: a worker treats
    the second as the first, and failed runs with the same number count as
    one attempt.
    Given a job that moves between partitions whose owners are replaced
    Then the run numbers of each owner exceed those of all former owners

  Scenario: Job records are read after the progress of the jobs
    Guards against tasks that run again after they were done: a cancellation
    removed the record and the progress of a job between the two reads, and
    the owner treated the job as one without progress.
    Given an owner that has just acquired a partition
    Then it has requested the progress and not the job records
    When it receives the progress
    Then it requests the job records

  Scenario: Ends whose commit conflicted are not acknowledged before storage
    Guards against tasks that run again after a takeover: the record of
    their job was read again after a conflict, and the next commit
    acknowledged ends whose effect was not in the store.
    Given an active owner of a job of two steps
    When the worker lists the end of the first step
    And the commit of that end conflicts with a newer record of the job
    Then the ends of the worker are not acknowledged
    When the newer record has been read
    Then the end is committed again

  Scenario: A worker that restarts during a commit is acknowledged no ends
    Guards against tasks that run again although they were done: the position of
    the former incarnation made the new one discard ends that nobody had seen.
    Given an active owner of a job of two steps
    When the worker lists the end of the first step
    And the worker restarts while the commit of that end is in flight
    Then no end of the new incarnation is acknowledged

  Scenario: A job cancelled while its moved progress is read stays removed
    Guards against starts of tasks of a cancelled job: the progress was read
    before the cancellation, and the answer arrived after the removal of the
    job.
    Given an active owner that has just called a worker
    When a job moves here with its progress
    And the job is cancelled while the read of the progress is in flight
    Then the owner does not know the job

  Scenario: A job that returns before its move is confirmed is rebuilt
    Guards against tasks that run again after they were done, and against a
    job that no owner runs: the new owner had moved the job back, with
    progress, while the answer to the first move was in flight.
    Given an active owner of a job of two steps
    When the job moves away and back with progress before the move is confirmed
    Then the owner reads the progress of the job
    When the first move is confirmed
    And the progress of the job is read
    Then the owner knows the job with the first step done

  Scenario: A listing without all ends does not end a run
    Guards against tasks that run again after they were done: a worker lists
    at most 500 ends at a time, and the end of a run may not be among them.
    Given an active owner that has just called a worker
    When the worker lists a run for the first time
    And a later listing contains only the first of many ends
    Then the run is still known on the worker

  Scenario: A listing without all ends does not rule out former runs
    Guards against the same fault after a takeover: tasks of former owners
    would be started although their ends exist beyond the listed ones.
    Given an active owner that has just called a worker
    When a later listing contains only the first of many ends
    Then runs of former owners may still exist on the worker

  Scenario: A run whose job record changes during the list is not stopped
    Guards against a takeover that stops long-running tasks: another
    instance wrote the record while the list was read, so the record was
    left to the watch, and the first listing arrived before it.
    Given a loading owner whose job record changes during the list
    When the worker lists a run of the job
    Then the run is not stopped

  Scenario: A delayed older listing does not end a run
    Guards against tasks that run twice: in a delayed process the answers to
    two polls overtook each other, and the older one, from before the start
    was carried out, was treated as the newer one.
    Given an active owner that has just called a worker
    When the worker lists no runs
    And the start of the task is not answered
    And a listing with the run arrives, and then an older one without it
    Then the run is still known on the worker

  Scenario Outline: The last proof of a former owner bounds the wait for its runs
    Guards against tasks that run twice: the wait took the end of the key for its
    expiry. It counts from the last write that the former owner made under its
    key, if this instance knows when the store had it, else from the key's end.
    Given a new owner that finds a settled roster of a process of another instance
    And that <proof>
    When a worker of that roster answers
    Then former runs on silent workers are awaited for <seconds> s from its start

    Examples:
      | proof                                                        | seconds |
      | knew nothing of the former owner's summary                   | 6.7     |
      | knew the former owner's summary for 0 s                      | 6.7     |
      | knew the former owner's summary for 1 s                      | 5.7     |
      | knew the former owner's summary for 2.5 s                    | 4.2     |
      | knew the former owner's summary for 20 s                     | 4.1     |
      | knew an older summary, and the roster for 1 s                | 5.7     |
      | reads that another owner knew the summary for 2.5 s          | 4.2     |
      | reads that another owner knew the summary for 1 s            | 5.7     |
      | reads that another owner knew the roster for 2.5 s           | 6.7     |
      | knew no summary, and the roster for 1 s                      | 5.7     |

  Scenario Outline: The wait for former runs depends on who may still extend leases
    Guards against tasks that run twice: another owner may still extend leases on
    workers that send no listing, also one before an owner of this instance that
    had not learned of all its runs, until it learns of its successor. That a
    worker answers proves nothing about an owner that did not have it.
    Given a new owner that finds <roster> of <process>
    When <event>
    Then former runs on silent workers are awaited for <seconds> s from its start

    Examples:
      | process                                     | roster                                    | event                          | seconds |
      | an earlier process of the same instance     | a settled roster                          | a worker of that roster answers | 6.1     |
      | an earlier process of the same instance     | a settled roster                          | no worker answers              | 6.1     |
      | an earlier process of the same instance     | an unsettled roster                       | a worker of that roster answers | 6.7     |
      | an earlier process of the same instance     | an unsettled roster                       | no worker answers              | 52.9    |
      | a process of the same name at other address | a settled roster                          | a worker of that roster answers | 6.7     |
      | a process of the same name at other address | a settled roster                          | no worker answers              | 52.9    |
      | a process of another instance               | a settled roster                          | a worker of that roster answers | 6.7     |
      | a process of another instance               | a settled roster                          | no worker answers              | 52.9    |
      | a process of another instance               | an unsettled roster whose workers are new | a worker of that roster answers | 52.9    |
      | this process                                | a settled roster                          | a worker of that roster answers | 6.7     |
      | this process                                | a settled roster                          | no worker answers              | 52.9    |

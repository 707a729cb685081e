Feature: Callers' calls to the batch core

  Scenario: The store's answer to the write of a job is lost
    Guards against telling the caller that a job was refused although its record
    was stored and it will run.
    Given one instance with a store
    When a job is submitted while the store's answers are lost
    Then the caller is not told that the job was refused
    And the job's record exists

  Scenario: Calls are refused while the store is unreachable
    Guards against calls that wait for a store that is known to fail, and
    against the answer that a job does not exist from an instance that cannot
    read it.
    Given one instance with a store
    When the store has been unreachable for 2 s
    And a job is submitted to the instance
    And the state of the job is requested
    Then both calls are refused within 10 ms
    And no record of the job exists

  Scenario Outline: One call without an answer does not show an outage
    Guards against calls that are refused without trying the store, which has
    answered calls that were sent after the one that got no answer.
    Given an instance that sent its last answered renewal 0.5 s ago
    When a store call that was sent <age> s ago gets no answer
    Then the store counts as <state>

    Examples:
      | age | state       |
      | 0.9 | available   |
      | 0.3 | unavailable |

  Scenario: Callers retry during a store outage of some seconds
    Guards against callers that use all of their few attempts within one
    outage.
    Given one instance with a store
    When the store has been unreachable for 2 s
    And a job is submitted to the instance
    Then the caller is asked to retry after 2 s

  Scenario: A job is submitted to two instances under the same id
    Guards against storing or running a job twice.
    Given one instance with a store
    And another instance with the same store
    When the same job is submitted to both instances
    Then both callers are told that the job is accepted
    And one record of the job exists

  Scenario: The runs of a cancelled job end
    Guards against runs that continue after the cancellation was confirmed.
    Given one instance with a store
    When a long-running job is submitted, runs and is cancelled
    Then its runs end within 1 s and none starts again

  Scenario: The state of an unknown job is requested
    Guards against an answer that does not come from the store.
    Given one instance with a store
    When the state of an unknown job is requested
    Then the caller is told that the job does not exist

  Scenario Outline: A job with unsupported requirements is rejected
    Guards against accepting a job that would then run wrongly.
    Given one instance with a store
    When a job that requires <feature> is submitted
    Then the caller is told that the job is invalid
    And no record of the job exists

    Examples:
      | feature    |
      | a gang     |
      | one rack   |
      | a schedule |

  Scenario Outline: A job with <count> steps of <tasks> tasks is rejected
    Guards against a job whose tasks fill the memory of each owner in turn.
    Given one instance with a store
    When a job with <count> steps of <tasks> tasks is submitted
    Then the caller is told that the job is invalid
    And no record of the job exists

    Examples:
      | count | tasks      |
      | 1     | 20001      |
      | 3     | 10000      |
      | 1     | 2147483647 |

  Scenario Outline: A <kind> for an id that no job can have needs no store
    Guards against a key that the store refuses, after which the instance
    considers the store unavailable and refuses all calls.
    Given one instance with a store
    When a <kind> is called for <id>
    Then it is answered before the store answers
    And the caller is told that the job does not exist

    Examples:
      | kind  | id                 |
      | state | soon               |
      | state | 00000000000000cc/1 |
      | state | 300 digits         |
      | cancel | soon              |
      | cancel | 300 digits        |

  Scenario: An older configuration arrives after a newer one
    Guards against reverting to an older version.
    Given one instance with a store
    When configuration 5 is read and then configuration 4
    Then configuration 5 is in force

  Scenario: Records of jobs that ended long ago
    Guards against a store that grows with every job, and against removing a
    state that callers may still ask for.
    Given one instance with a store
    When a job is submitted to the instance
    And 100 s pass after the submission
    Then the job's record shows that it is completed
    When 60 s pass after the submission
    Then the job's record is removed

  Scenario: A job whose owner is unreachable counts as pending
    Guards against a number of pending jobs that lacks accepted ones: the data
    centre of their partition was cut off after they were stored and before its
    owner published them.
    Given an instance beside a data centre that has all workers
    When that data centre is cut off and the instance accepts a job
    And 6 s pass after the submission
    And the number of pending jobs is requested
    Then the caller is told of 1 pending job

  Scenario: A job that is cancelled before its late write never runs
    Guards against a job that runs although its cancellation was acknowledged:
    the write of its record took effect after a DELETE that found no job.
    Given one instance with a store
    And another instance with the same store
    When a job is submitted and its write will take effect seconds later
    And the job is cancelled at the other instance
    Then the caller is told that the job does not exist
    When 12 s pass after the submission
    Then the job was never started
    And the other instance tells that the job does not exist

  Scenario: A job that was cancelled before its submission is refused
    Guards against a caller that is told that a job was accepted which never
    runs, because its id was cancelled before.
    Given one instance with a store
    When the unknown job is cancelled and submitted after that
    Then the caller is told that the job was refused as cancelled
    When 12 s pass after the submission
    Then the job was never started

  Scenario: The state of a job cancelled before its submission is removed
    Guards against a store that grows with each DELETE of an unknown job.
    Given one instance with a store
    When the unknown job is cancelled
    And 160 s pass after the submission
    Then the job's record is removed

  Scenario: A cancellation without partitions is not acknowledged
    Guards against the answer that a job does not exist from an instance that
    has stored nothing which would stop a late write of the job.
    Given one instance with a store that has no partitions
    When the unknown job is cancelled
    Then the caller is asked to retry after 1 s

  Scenario Outline: Cancelled jobs do not start while writes are late
    Guards against starts after an acknowledged cancellation, starts of refused
    jobs and accepted jobs that never end, whichever writes take effect late.
    Given two instances with a store, by seed <seed>
    When 80 jobs are submitted and some are cancelled while writes are late
    Then no job started 3 s after its cancellation was acknowledged
    And no refused job was started
    And all accepted jobs that were not cancelled are completed

    Examples:
      | seed |
      | 1    |
      | 2    |
      | 3    |
      | 4    |
      | 5    |
      | 6    |

  Scenario: Callers whose calls and answers are lost, late and repeated
    Guards against work that runs although each of its submissions was rejected,
    that runs again or after its cancellation, and against a job that is unknown
    or lost after it was accepted.
    When callers repeat their calls at any instance with the seeds 1 to 12
    Then all answers are kept

  Scenario: Callers of another queue neither see nor cancel a job
    Guards against callers who read or cancel the job of somebody else, or are
    told that theirs is accepted, because jobs were told apart by their ids alone.
    Given one instance with a store and two queues
    When a job is submitted to the instance
    And 1 s pass after the submission
    And the same id is read, cancelled and submitted in the other queue
    Then the callers are told twice that there is no such job, then "id_in_use"
    When 1 s pass after the submission
    Then the job's record shows that it is completed

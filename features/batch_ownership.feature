Feature: Ownership of partitions

  Scenario: A job of several steps is completed
    Guards against faults on the path of a job from its acceptance through
    placement and runs to its stored result.
    Given two data centres with two instances and three workers each
    When a job of two steps is submitted
    And 8 s pass
    Then every job is stored as completed
    And no invariant was violated

  Scenario: A killed owner is replaced and its runs continue
    Guards against a new owner that treats the leases of the former owner
    as expired, because it has not requested them itself, and starts the
    tasks again.
    Given two data centres with two instances and three workers each
    When long-running tasks are submitted
    And 2 s pass
    And every owner is killed
    And 4 s pass
    Then every long-running task has its first run
    And no invariant was violated

  Scenario: A new owner starts nothing before a worker has listed its runs
    Guards against starts on a worker whose runs are not known, which would
    exceed the capacity of the worker.
    Given one data centre with two instances and one full worker
    When every owner is killed while new jobs arrive
    And 12 s pass
    Then no invariant was violated

  Scenario: An owner that resumes after a pause is refused
    Guards against two owners of a partition whose commands both take
    effect.
    Given two data centres with two instances and three workers each
    When long-running tasks are submitted
    And 2 s pass
    And every owner is paused for 5 s
    And 10 s pass
    Then every partition has one owner
    And every long-running task has its first run
    And no invariant was violated

  Scenario: An owner is killed between an end and its commit
    Guards against an end that the worker discards before its effect is in
    the store, so that a successor runs the task again.
    Given two data centres with two instances and three workers each
    When every owner loses the store
    And short tasks of the owners end
    And every owner is killed
    And 20 s pass
    Then no invariant was violated
    And every accepted job has ended

  Scenario Outline: Random jobs and faults violate no invariant
    Guards against faults in combinations that no other scenario covers.
    Given two data centres with two instances and three workers each
    When random jobs and faults are injected with seed <seed>
    Then no invariant was violated
    And every accepted job has ended

    Examples:
      | seed |
      | 1    |
      | 2    |
      | 3    |
      | 4    |
      | 5    |
      | 6    |
      | 7    |
      | 8    |

  Scenario Outline: Slow lists with moves and faults violate no invariant
    Guards against tasks that run twice if a list of job records arrives
    long after the store read it, as in large deployments.
    Given three overloaded data centres of two instances and three workers each
    When excess work, slow lists and faults are injected with seed <seed>
    Then no invariant was violated
    And every accepted job has ended

    Examples:
      | seed |
      | 1    |
      | 2    |
      | 3    |
      | 4    |
      | 5    |
      | 6    |
      | 7    |
      | 8    |

  Scenario Outline: An owner is isolated with some of its workers for <time_s> s
    Guards against tasks that run twice: each of two owners treated the runs
    on workers that it did not reach as expired, while the other owner
    extended their leases. The former owner received no refusal, as it
    reached only workers that its successor did not.
    Given one partition with two instances and four workers, all in use
    When its owner and half of the workers are isolated from the rest
    And <time_s> s pass
    And the owner and these workers are reconnected
    And 12 s pass
    Then no invariant was violated

    Examples:
      | time_s |
      | 6      |
      | 9      |
      | 12     |
      | 20     |

  Scenario Outline: The first workers of a data centre get an owner soon
    Guards against long-running tasks that wait beside new workers: instances
    that own no partition read the list of workers seldom, as owners read it
    too, but where a data centre had no workers there are no owners.
    Given two data centres, one of them without workers, by seed <seed>
    When workers join the other one after <seconds> s
    Then they have an owner 2 s later

    Examples:
      | seed | seconds |
      | 1    | 0.5     |
      | 1    | 1.5     |
      | 1    | 2.5     |
      | 2    | 0.5     |
      | 2    | 1.5     |
      | 2    | 2.5     |

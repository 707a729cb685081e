Feature: Jobs

  Scenario Outline: A submission with <fault> is refused as <code>
    Guards against jobs that can never run or that replace another job.
    Given a simulation of 1 entry instances and 2 workers
    When a job with <fault> is submitted
    Then the job command fails with <code> and the store has 0 job records

    Examples:
      | fault                  | code                |
      | too many processors    | job_too_large       |
      | an unknown team        | unknown_team        |
      | an unknown data centre | unknown_data_centre |
      | no size                | invalid_job         |
      | the store down         | store_unavailable   |

  Scenario Outline: A submission with <fault> cannot be made
    Guards against an invalid command that reaches the core. The command class
    checks its fields, and front ends take their refusal codes from it.
    Given a simulation of 1 entry instances and 2 workers
    When a submission of a job with <fault> is made
    Then making it fails and names <field>

    Examples:
      | fault             | field      |
      | no tasks          | task_count |
      | a negative size   | cpu_millis |
      | a slash in its id | job_id     |

  Scenario: A job id is taken only once
    Guards against a second job under the id of another.
    Given a simulation of 2 entry instances and 2 workers
    When batch job "j1" of 2 tasks of 1 s is submitted
    And the job "j1" is submitted again
    Then the job command fails with duplicate_job and the store has 1 job records

  Scenario: A submission whose answer is lost is accepted once
    Guards against a submission that is refused as a duplicate of itself.
    Given a simulation of 2 entry instances and 2 workers
    When the batch store loses every answer for 1 s
    And batch job "j1" of 2 tasks of 1 s is submitted
    Then batch job "j1" finishes within 30 s
    And batch job "j1" was started 2 times

  Scenario Outline: A job is cancelled through <who>
    Guards against cancellations that only the owner can execute.
    Given a simulation of 3 entry instances and 2 workers
    When batch job "j1" of 40 tasks of 30 s is submitted
    And 4 s pass in the simulation
    And the job "j1" is cancelled through <who>
    And 6 s pass in the simulation
    Then the job command shows state cancelled
    And no worker runs a task of job "j1"
    And the owner keeps no state of job "j1"

    Examples:
      | who           |
      | its owner     |
      | another instance  |

  Scenario Outline: Cancelling <job> fails with <code>
    Guards against cancellations without effect that are answered as done.
    Given a simulation of 2 entry instances and 2 workers
    When batch job "short" of 1 tasks of 1 s is submitted
    And 10 s pass in the simulation
    And the job "<job>" is cancelled through another instance
    Then the job command fails with <code> and the store has 1 job records

    Examples:
      | job   | code        |
      | short | job_ended   |
      | none  | unknown_job |

  Scenario: Many cancellations at once
    Guards against one read of the store for each cancelled job and owner.
    Given a simulation of 2 entry instances and 3 workers
    When 60 jobs are submitted and all are cancelled at once
    And 15 s pass in the simulation
    Then all 60 jobs are cancelled and no worker runs a task
    And the cancellations took at most 3 store calls for each job

  Scenario: Every instance shows the whole job
    Guards against counts of one partition only.
    Given a simulation of 3 entry instances and 3 racks of 2 workers
    When batch job "j1" of 60 tasks of 30 s is submitted
    And 5 s pass in the simulation
    Then every instance shows 24 running and 36 waiting tasks of job "j1"

  Scenario: A command is forwarded to the job's data centre
    Guards against refusals because the wrong instance was asked.
    Given a simulation of 1 entry instances and 2 workers
    And an entry instance in another data centre
    When a job is submitted, shown and cancelled through the other data centre
    Then each of these job commands succeeded

  Scenario Outline: A task that fails on <workers> workers
    Guards against endless attempts at a task that cannot run, and against
    jobs that fail because of faulty workers.
    Given a simulation of 1 entry instances and 4 workers
    And <workers> batch workers fail every start
    When batch job "j1" of 1 tasks of 1 s is submitted
    And 30 s pass in the simulation
    Then the job "j1" is <state>

    Examples:
      | workers | state    |
      | 2       | finished |
      | 4       | failed   |

  Scenario: Tasks that fit on no worker move to another partition
    Guards against work that waits in a full or failed rack.
    Given a simulation of 2 entry instances and 2 racks of 2 workers
    When a job of 16 tasks of 20 s is submitted and rack 1 fails
    Then batch job "j1" finishes within 200 s
    And no batch task ran in two places and no worker exceeded its capacity

  Scenario: A slice whose unfinished tasks moved away is done
    Guards against jobs that stay active because the last commit came before
    the move.
    Given a simulation of 1 entry instances and 2 workers
    When batch job "j1" of 8 tasks of 5 s is submitted
    And 4 s pass in the simulation
    And all but the last task of job "j1" are finished and the last one moves
    And 3 s pass in the simulation
    Then the first slice of job "j1" is done

  Scenario: A waiting job shows the reason
    Guards against jobs that wait without a shown reason.
    Given a simulation of 1 entry instances and 2 workers
    When batch job "j1" of 40 tasks of 30 s is submitted
    And 5 s pass in the simulation
    Then the reason of job "j1" is "rack0: no worker has enough free capacity"

  Scenario Outline: <tasks> tasks go to <slices> of 4 partitions
    Guards against a write of the job record for every partition of a data
    centre when a job needs only one, and against all waiting tasks in one
    partition.
    When <tasks> tasks are divided over 4 partitions with free capacity for <free> each
    Then the job has <slices> slices of at most <largest> tasks

    Examples:
      | tasks | free | slices | largest |
      | 10    | 20   | 1      | 10      |
      | 50    | 20   | 3      | 17      |
      | 400   | 20   | 4      | 101     |
      | 10    | 0    | 1      | 10      |
      | 100   | 0    | 4      | 25      |

  Scenario Outline: A task that always fails ends its job with <workers> workers
    Guards against a task that is started again endlessly in a small partition.
    Given a simulation of 1 entry instances and <workers> workers
    When another batch job keeps every worker busy with short tasks
    And a job is submitted whose tasks always fail
    Then that job fails within 60 s

    Examples:
      | workers |
      | 2       |
      | 3       |
      | 4       |

  Scenario: A small job does not wait for the end of a large one
    Guards against a job whose team gets nothing while another job of the same
    urgency still has tasks to start.
    Given a simulation of 1 entry instances and 2 workers
    When batch job "j1" of 200 tasks of 2 s is submitted
    And 5 s pass in the simulation
    And a job of another kind with 4 tasks is submitted
    Then it has started 4 tasks within 10 s

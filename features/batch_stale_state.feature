Feature: State of former processes after a restart

  Scenario: A queue that was withdrawn is not in use again after restarts
    Guards against a restarted process that accepts jobs of a queue which the
    operators have withdrawn, because it knows the queue from stored records of
    its jobs.
    Given three instances, two workers and a job of a queue
    And the queue was withdrawn by a newer configuration
    When all instances are killed and start again
    Then for 10 s no instance accepts a job of that queue

  Scenario: A worker that left during a restart gets no starts
    Guards against a new owner that starts tasks on a worker which it knows only
    from the roster of the former owner, and which still answers calls.
    Given three instances, two workers and a job of a queue
    When all instances are killed and start again, and a worker left the list
    And new jobs arrive for 10 s
    Then no task was started on the worker that left
    And no invariant was violated

  Scenario: A restarted process does not use the rights of the former one
    Guards against two processes with one fencing token: a process under the
    same name that finds the owner key of the former one, whose last calls may
    still be on their way.
    Given an owner whose process is killed
    When a process under its name starts before the owner key has expired
    Then it acquires the partition under a higher fencing token only

Feature: Ownership of partitions

  Scenario Outline: Another instance continues after <loss>
    Guards against tasks that are lost, or run twice, with their owner.
    Given a simulation of 3 entry instances and 4 workers
    When batch job "j1" of 40 tasks of 5 s is submitted
    And 7 s pass in the simulation
    And the batch owner <loss>
    Then batch job "j1" finishes within <limit> s
    And no batch task ran in two places and no worker exceeded its capacity

    Examples:
      | loss                              | limit |
      | is killed                         | 60    |
      | shuts down                        | 45    |
      | is paused for 30 s                | 60    |
      | is isolated from store and peers  | 60    |
      | is isolated from everything       | 90    |

  Scenario: A shutdown hands the partition over at once
    Guards against a wait for the store lease at every restart.
    Given a simulation of 2 entry instances and 3 workers
    When batch job "j1" of 30 tasks of 5 s is submitted
    And 3 s pass in the simulation
    And the batch owner shuts down
    And 4.5 s pass in the simulation
    Then the batch owner is another instance
    And the former batch owner has exited

  Scenario: An owner key whose creation got no answer is found again
    Guards against an owner key that its owner does not know of.
    Given a simulation of 2 entry instances and 3 workers
    When the batch store loses every answer for 20 s
    And the batch owner is killed
    And 40 s pass in the simulation
    Then batch job "j1" can be submitted and finishes within 30 s
    And no batch task ran in two places and no worker exceeded its capacity

  Scenario: An outage of the store does not stop batch work
    Guards against owners that stop at the end of their store lease.
    Given a simulation of 2 entry instances and 4 workers
    When batch job "j1" of 200 tasks of 10 s is submitted
    And the batch store is down for 300 s
    Then at least 150 tasks of batch job "j1" were started
    And batch job "j1" finishes within 200 s
    And no batch task ran in two places and no worker exceeded its capacity

  Scenario: An owner without store and majority starts nothing
    Guards against two owners that both start tasks.
    Given a simulation of 1 entry instances and 4 workers
    When batch job "j1" of 200 tasks of 1 s is submitted
    And 2 s pass in the simulation
    And the batch owner is isolated from the store and 3 workers
    And 20 s pass in the simulation
    Then no batch task starts within 20 s

  Scenario: An owner whose lease expired re-creates its key and continues
    Guards against restarts of tasks that are still running.
    Given a simulation of 1 entry instances and 3 workers
    When batch job "j1" of 12 tasks of 60 s is submitted
    And 5 s pass in the simulation
    And the batch store loses the lease of the owner
    Then batch job "j1" finishes within 90 s
    And batch job "j1" was started 12 times

  Scenario: A commit before the job records were read keeps what is committed
    Guards against finished tasks that run again after a takeover.
    Given a simulation of 1 entry instances and 3 workers
    When batch job "j1" of 20 tasks of 3 s is submitted
    And 6 s pass in the simulation
    Then a batch commit without job records keeps finished tasks

  Scenario: A new owner marks the slices that the former owner finished
    Guards against jobs that stay active after their last commit.
    Given a simulation of 2 entry instances and 3 workers
    When batch job "j1" of 6 tasks of 3 s is submitted
    And the batch owner is killed after the last commit
    Then batch job "j1" finishes within 40 s
    And batch job "j1" was started 6 times

  Scenario: A takeover completes although every worker was replaced
    Guards against tasks that wait endlessly for terminated workers. A data
    centre that lost power returns with other instances.
    Given a simulation of 2 entry instances and 3 workers
    When batch job "j1" of 12 tasks of 60 s is submitted
    And 5 s pass in the simulation
    And all workers and entry instances of the simulation are replaced
    Then no batch task starts within 59 s
    And batch job "j1" finishes within 150 s
    And no batch task ran in two places and no worker exceeded its capacity

  Scenario: The views show the owner of a partition and the load of its workers
    Guards against an operator who cannot see where work runs.
    Given a simulation of 2 entry instances and 2 workers
    When batch job "j1" of 3 tasks of 60 s is submitted
    And 3 s pass in the simulation
    Then the owner's views show 2 live workers with 3 tasks and its lease
    And the other instance's views show the same owner and no workers

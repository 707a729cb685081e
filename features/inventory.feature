Feature: Inventories of workers

  Scenario: Tasks of a silent worker wait for the end of every lease
    Guards against a second run beside one that only lost its connection.
    Given a simulation of 1 entry instances and 2 workers
    When batch job "j1" of 4 tasks of 60 s is submitted
    And 5 s pass in the simulation
    And the owner loses contact to the worker with the most tasks
    And 22 s pass in the simulation
    Then batch job "j1" was started 4 times
    And batch time passes and job "j1" is started again where it was lost within 10 s
    And no batch task ran in two places and no worker exceeded its capacity

  Scenario: Tasks of a restarted worker start again at the next report
    Guards against a wait of 25 s when the worker itself says what it lost.
    Given a simulation of 1 entry instances and 2 workers
    When batch job "j1" of 8 tasks of 60 s is submitted
    And 5 s pass in the simulation
    And worker "w00" restarts
    Then batch time passes and job "j1" is started 12 times within 3 s

  Scenario: A command for a former incarnation is refused
    Guards against a start that was decided on what a worker ran before.
    Given a simulation of 1 entry instances and 1 workers
    When worker "w00" restarts
    And batch job "j1" of 1 tasks of 5 s is submitted
    And 0.02 s pass in the simulation
    Then batch job "j1" was started 0 times
    And batch job "j1" finishes within 20 s

  Scenario: An owner's start without an answer keeps its reservation
    Guards against a worker that is given more than its room.
    Given a simulation of 1 entry instances and 2 workers
    When every answer of workers is lost and job "j1" of 30 tasks is submitted
    Then batch job "j1" finishes within 120 s
    And no batch task ran in two places and no worker exceeded its capacity

  Scenario: Room that services hold is not given to tasks
    Guards against reservations that only batch work counts.
    When a report shows 3000 of 4000 thousandths held by a service
    Then 1000 thousandths are left for tasks

  Scenario: A report that is older than the last one is dropped
    Guards against an attempt that looks lost because messages overtook.
    Given a simulation of 1 entry instances and 2 workers
    When batch job "j1" of 8 tasks of 30 s is submitted
    And messages are delayed by up to 3 s for 30 s
    Then batch job "j1" finishes within 90 s
    And no batch task ran in two places and no worker exceeded its capacity

  Scenario Outline: Random faults, seed <seed>
    Guards against combinations of faults that no other scenario has.
    Given a simulation of 3 entry instances and 2 racks of 3 workers
    When random batch faults happen for 120 s with seed <seed>
    Then every batch job ends within 300 s after the faults
    And no batch task ran in two places and no worker exceeded its capacity

    Examples:
      | seed |
      | 1    |
      | 2    |
      | 3    |
      | 4    |
      | 5    |
      | 6    |

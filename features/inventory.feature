Feature: Inventories of workers

  Scenario: Tasks of an unresponsive worker wait until every lease has expired
    Guards against a second attempt beside one whose worker only lost its
    connection.
    Given a simulation of 1 entry instances and 2 workers
    When batch job "j1" of 4 tasks of 60 s is submitted
    And 5 s pass in the simulation
    And the owner loses the connection to the worker with the most tasks
    And 22 s pass in the simulation
    Then batch job "j1" was started 4 times
    And the lost tasks of batch job "j1" are started again within 10 s
    And no batch task ran in two places and no worker exceeded its capacity

  Scenario: Tasks of a restarted worker start again at the next report
    Guards against a wait of 25 s although the worker reports which tasks it
    lost.
    Given a simulation of 1 entry instances and 2 workers
    When batch job "j1" of 8 tasks of 60 s is submitted
    And 5 s pass in the simulation
    And worker "w00" restarts
    Then batch job "j1" has been started 12 times within 3 s

  Scenario: A command for a former incarnation is refused
    Guards against a start that is based on a report from before a restart.
    Given a simulation of 1 entry instances and 1 workers
    When worker "w00" restarts
    And batch job "j1" of 1 tasks of 5 s is submitted
    And 0.02 s pass in the simulation
    Then batch job "j1" was started 0 times
    And batch job "j1" finishes within 20 s

  Scenario: A start without an answer keeps its reservation
    Guards against a worker that gets more tasks than its capacity holds.
    Given a simulation of 1 entry instances and 2 workers
    When half of the messages are lost after job "j1" of 30 tasks is submitted
    Then batch job "j1" finishes within 120 s
    And no batch task ran in two places and no worker exceeded its capacity

  Scenario: Capacity that services reserve is not given to tasks
    Guards against a ledger that counts only the reservations of batch work.
    When a report shows 3000 of 4000 thousandths reserved by a service
    Then 1000 thousandths are free for tasks

  Scenario: A report that is older than the last one is dropped
    Guards against an attempt that looks lost because reports arrive out of
    order.
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

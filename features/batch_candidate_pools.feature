Feature: Workers on which a scheduling pass may start tasks

  Scenario: A large long-running task runs again beside small tasks
    Guards against a long-running task that waits for as long as there are small
    tasks of its priority: each of them started as soon as the end of another
    one had freed enough processors for it.
    Given four workers with 8 processors, and two long-running tasks of 5
    And tasks of one processor that ask for more than there are, by seed 1
    When a worker with a long-running task crashes
    Then every long-running task runs again within 9 s
    And no invariant was violated

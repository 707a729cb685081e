Feature: Checks of the simulation of batch instances

  Scenario: A start after an end that no poll has listed repeats the task
    Guards against a simulation that misses repeated work: it took the end as no
    earlier than the next listing of any worker.
    Given two simulated workers and a task that is done after 1 s on one of them
    When 1.5 s pass
    And the task starts on the other worker as run 2
    And the first end is acknowledged
    Then the simulation has found 1 task that was repeated

  Scenario: Runs of different owners may have the same number
    Guards against a simulation that takes a run for repeated work, since its
    number is that of a run which was done on another worker before.
    Given two simulated workers and a task that is done after 1 s on one of them
    When 1.5 s pass
    And a poll lists the end
    And 8 s pass, in which the lease expires
    And the task starts on the other worker as run 1
    And 1.5 s pass
    And the second end is acknowledged
    And the first end is acknowledged
    Then the simulation has found 0 tasks that were repeated

  Scenario: A start after an end that was acknowledged repeats the task
    Guards against a simulation that misses repeated work after an end that its
    owner has taken note of.
    Given two simulated workers and a task that is done after 1 s on one of them
    When 1.5 s pass
    And the first end is acknowledged
    And the task starts on the other worker as run 2
    Then the simulation has found 1 task that was repeated

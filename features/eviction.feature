Feature: Eviction

  Scenario Outline: Evicted work resumes once when <event>
    Guards against evicted work that is lost, run twice or resumed from an
    older state because an acknowledgement is late, lost or out of order.
    Given a simulation of 2 entry instances and 3 workers
    When batch job "j1" of 12 tasks of 20 s is submitted
    And 6 s pass in the simulation
    And 4 tasks of batch job "j1" are evicted while <event>
    Then batch job "j1" finishes within <limit> s
    And every batch task of "j1" that was started again has a checkpoint
    And no batch task ran in two places and no worker exceeded its capacity

    Examples:
      | event                         | limit |
      | nothing else happens          | 60    |
      | they are evicted a second time | 60   |
      | commands arrive twice         | 60    |
      | a third of the messages is lost | 150 |
      | the owner is killed           | 90    |
      | the owner is paused           | 90    |
      | the owner shuts down          | 90    |
      | the store loses answers       | 90    |
      | a worker restarts             | 90    |

  Scenario: A completion that crosses an eviction counts
    Guards against finished work that runs again.
    Given a simulation of 1 entry instances and 3 workers
    When batch job "j1" of 12 tasks of 6.005 s is submitted
    And 6 s pass in the simulation
    And 12 tasks of batch job "j1" are evicted while nothing else happens
    Then batch job "j1" finishes within 60 s
    And every batch task of "j1" that finished was started last

  Scenario: A cancellation that crosses an eviction ends the task
    Guards against evicted tasks of a cancelled job that start again.
    Given a simulation of 2 entry instances and 3 workers
    When batch job "j1" of 12 tasks of 60 s is submitted
    And 6 s pass in the simulation
    And 4 tasks of batch job "j1" are evicted while nothing else happens
    And the job "j1" is cancelled through another instance
    And 10 s pass in the simulation
    Then no worker runs a task of job "j1"
    And the owner keeps no state of job "j1"

  Scenario: A checkpoint that fails leaves the task running
    Guards against work that is lost although the eviction was abandoned.
    Given a simulation of 1 entry instances and 2 workers
    And every batch checkpoint fails
    When batch job "j1" of 4 tasks of 20 s is submitted
    And 6 s pass in the simulation
    And 4 tasks of batch job "j1" are evicted while nothing else happens
    Then batch job "j1" finishes within 40 s
    And batch job "j1" was started 4 times

  Scenario: A late acknowledgement of an earlier stop does not end a later attempt
    Guards against a task that starts again while its current attempt runs.
    Given a simulation of 1 entry instances and 2 workers
    When batch job "j1" of 1 tasks of 60 s is submitted
    And 6 s pass in the simulation
    And 1 tasks of batch job "j1" are evicted while nothing else happens
    And the second attempt of job "j1" is to be stopped but no command arrives
    And the stop of its first attempt is acknowledged once more
    Then the second attempt of job "j1" is still the current one

Feature: The policy in the handlers of batch work

  Background:
    Given a rack of 4 workers with 8 processors under the policy

  Scenario: Urgent work starts within 7.5 s on full workers
    Guards against urgent work that waits for lower work to finish.
    When lower work fills the rack
    And urgent work of 4 tasks with 4 processors is submitted
    Then all 4 urgent tasks run within 7.5 s
    And no worker holds more than its processors

  Scenario: A worker that fails everything is put aside
    Guards against a bad worker that swallows a queue of tasks.
    When one worker fails every task after 0.5 s
    And lower work fills the rack
    Then the bad worker was given fewer than 10 tasks within 20 s
    And the operator is told that it is on probation

  Scenario: A task that harms a service is throttled, then moved
    Guards against a controller that is not reached by workers' reports.
    When every worker runs a service that noisy work slows by 0.2 a processor
    And the job first of 8 noisy tasks is submitted
    Then throttle commands were sent within 30 s
    When 10 s of measurements pass
    And the job second of 8 noisy tasks is submitted
    Then the job second waits because it would slow the services

Feature: Scheduling policy in the handlers of batch work

  Background:
    Given a rack of 4 workers with 8 processors each

  Scenario: Urgent work starts within 7.5 s on full workers
    Guards against urgent work that waits for less urgent work to finish.
    When less urgent work fills the rack
    And urgent work of 4 tasks with 4 processors is submitted
    Then all 4 urgent tasks run within 7.5 s
    And no worker has more processors reserved than its capacity

  Scenario: A worker that fails all tasks is put on probation
    Guards against a faulty worker on which all tasks of a queue fail.
    When one worker fails every task after 0.5 s
    And less urgent work fills the rack
    Then the faulty worker was given fewer than 10 tasks within 20 s
    And the journal shows that it is on probation

  Scenario: One failure does not close a worker
    Guards against a sound worker that gets no starts for a second after each
    failed task. Also guards against starts without a pause on a worker on which
    all tasks fail.
    Given a rack of 1 workers with 8 processors each
    When one worker fails every task after 0.1 s
    And a job of one task with 8 processors is submitted
    Then its second start comes within 2.2 s and its third at least 1 s later

  Scenario: Tasks that slow a service are throttled and no more are placed
    Guards against workers' reports that do not reach the controller.
    When every worker runs a service that noisy work slows by 0.2 a processor
    And the job first of 8 noisy tasks is submitted
    Then throttle commands were sent within 30 s
    When 10 s of measurements pass
    And the job second of 8 noisy tasks is submitted
    Then the job second waits because it would slow the services

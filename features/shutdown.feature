Feature: Shutdown and readiness

  Scenario: A graceful shutdown completes its steps in order
    Guards against a request in flight that is interrupted (invariant I8), and
    against partitions that get no owner until a lease expires.
    Given a configured entry instance with a peer, a worker and a request
    When it is shut down with a notice period of 1 s and a limit of 30 s
    Then it is not ready at once and its peer considers it leaving
    And it accepts requests during the notice period and refuses them afterwards
    And it exits only after the request in flight was answered
    And the peer owns the partition within 5 s of the exit

  Scenario: A shutdown ends at its time limit
    Guards against a process that a stuck request keeps running forever.
    Given a configured entry instance with a peer, a worker and a request
    When its request never ends and it is shut down with a limit of 4 s
    Then it has exited after 4.5 s and not after 3.5 s

  Scenario: A second shutdown request ends the process at once
    Guards against an operator who has to kill the process.
    Given a configured entry instance with a peer, a worker and a request
    When it is shut down twice
    Then it has exited at once

  Scenario: A daemon is ready, drains and exits
    Guards against errors in the handling of signals and readiness that a
    simulation does not show.
    Given a store and an entry daemon as processes
    Then the daemon is alive but not ready without a configuration
    And the daemon is ready once a patch was accepted
    And after SIGTERM it is not ready and exits with code 0
    And after two SIGTERM a restarted daemon exits with code 0

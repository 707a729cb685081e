Feature: Shutdown and readiness

  Scenario: A graceful shutdown goes in order
    Guards against I8 (no request in flight is interrupted) and against
    partitions that wait for the end of a lease.
    Given a configured entry instance with a peer, a worker and a request
    When it is asked to end with a notice of 1 s and a limit of 30 s
    Then at once it is not ready and its peer holds it for leaving
    And during the notice it accepts requests and afterwards refuses them
    And it ends only after the request in flight was answered
    And the peer owns the partition within 5 s of the end

  Scenario: A shutdown ends at its limit
    Guards against a process that a stuck request keeps forever.
    Given a configured entry instance with a peer, a worker and a request
    When its request never ends and it is asked to end within 4 s
    Then it has ended after 4.5 s and not after 3.5 s

  Scenario: A second request to end ends at once
    Guards against an operator who has to kill the process.
    Given a configured entry instance with a peer, a worker and a request
    When it is asked to end twice
    Then it has ended at once

  Scenario: A daemon is ready, drains and exits
    Guards against a wiring of signals and readiness that no model shows.
    Given a store and an entry daemon as processes
    Then the daemon is alive but not ready without a configuration
    And the daemon is ready once a patch was accepted
    And after SIGTERM it is not ready and exits with code 0
    And after two SIGTERM a restarted daemon exits with code 0

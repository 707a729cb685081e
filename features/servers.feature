Feature: Listening sockets

  Scenario: A port that is in use makes the process exit with an exit code
    Guards against a daemon that continues without one of its interfaces. Such a
    daemon looked healthy, but its configuration status never became complete.
    Given an entry daemon whose peer port is in use
    When the daemon is started
    Then it exits with code 6 and names the error "listen_failed"

  Scenario Outline: The address <address> cannot be listened on
    Guards against a daemon that ends without one of its exit codes.
    When a socket is opened on <address>
    Then the error "listen_failed" names <address>

    Examples:
      | address         |
      | 127.0.0.1:65536 |
      | 127.0.0.1:-1    |
      | 127.0.0.1:http  |
      | 127.0.0.1       |

  Scenario: Background tasks end before the process closes its sessions
    Guards against calls that timers start while the process exits. They used
    closed sessions and were logged as faults.
    Given a background task that waits
    When the background tasks are stopped and another one is started
    Then neither task continues and no fault is reported

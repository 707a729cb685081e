Feature: Calls to workers and their metrics

  Scenario: A late event loop is logged once per interval
    Guards against unanswered calls that seem to be caused by unresponsive
    workers, and against log lines that add to an overload.
    When a loop runs its timers 0.5 s late for 12 s
    Then 3 log lines report it, with "worst_s=0.5"

  Scenario: The time for which a machine was suspended counts
    Guards against a process that acts on a store lease, or on a list of workers,
    that expired while its machine was suspended: the monotonic clock stands
    still meanwhile.
    Given a process of the platform
    When its machine is suspended for 8 s between two events
    Then at least 8 s have passed for the core

  Scenario: Log lines beyond a limit are dropped and counted
    Guards against an overload that is made worse by the log lines about it.
    When a process writes 1500 log lines at once
    Then the reader gets the first 1000 of them
    And the next log line reports that 500 were dropped

  Scenario: Calls are counted by outcome, with the connections they opened
    Guards against connections, and waits for them, that no metric shows.
    Given a worker that answers each call after 0.05 s
    When 6 commands are sent to it at once
    Then all of them are counted as answered
    And the metrics count the connections opened and the waits for them

  Scenario: Calls without an answer are counted
    Guards against lost commands that no metric shows.
    Given a worker that answers each call after 3 s
    When 1 commands are sent to it at once
    Then all of them are counted as not answered

  Scenario: An answer that arrives while the loop is blocked is accepted
    Guards against lost commands, and against workers that are considered
    unresponsive, because the process itself was late.
    Given a worker that answers each call after 0.05 s
    When 2 commands are sent to it at once and the loop is blocked for 1 s
    Then all of them are counted as answered

  Scenario: A call times out even if the loop is always late
    Guards against a late process that waits for an answer without limit.
    Given a worker that answers each call after 3 s
    When 1 commands are sent to it while the loop is blocked repeatedly
    Then the reply is NoAnswer with a cause in this process
    And the reply came within 2 s

  Scenario: A call without a free connection was not sent
    Guards against stopping and waiting for runs whose start never left the
    process, and against considering workers unresponsive because of that.
    Given a worker that answers each call after 3 s
    When 5 commands are sent to it at once
    Then 4 replies are NoAnswer
    And 1 reply is NotSent with a cause in this process

  Scenario Outline: The reply to an unanswered call names the cause
    Guards against workers that are wrongly considered unresponsive, and against
    starts that are wrongly considered as not sent.
    When a call ends without an answer, and <what>
    Then its reply is <reply>, with a cause <where> this process

    Examples:
      | what                 | reply    | where   |
      | it had a connection  | NoAnswer | outside |
      | it could not connect | NotSent  | outside |
      | it waited to connect | NotSent  | in      |
      | its loop was late    | NoAnswer | in      |

  Scenario: A call to a closed port was not sent
    Guards against waiting for a start that no worker received.
    Given an address on which no worker listens
    When 1 commands are sent to it at once
    Then 1 reply is NotSent with a cause outside this process
    And its connection was closed by the worker's host

  Scenario Outline: A closed connection is told from silence
    Guards against taking a worker that is cut off as one that has exited.
    When a call ends with <error>
    Then its reply tells that the connection was <how>

    Examples:
      | error                   | how        |
      | a server disconnect     | closed     |
      | a connection reset      | closed     |
      | a time-out              | not closed |
      | a connect time-out      | not closed |
      | an unreachable host     | not closed |

  Scenario: Commands do not wait for long polls
    Guards against starts that get no answer because long polls use all
    connections to a worker.
    Given a worker that answers commands at once and polls after 1 s
    When 4 polls and then a command are sent to it
    Then the command was answered within 0.5 s

  Scenario Outline: An unreadable answer <body> to the entry daemon is a failure
    Guards against a call without an event, after which the worker is never
    polled again.
    Given a worker that answers the entry daemon <status> with <body>
    When the entry daemon polls it and reads its health
    Then both calls report a failure

    Examples:
      | status | body              |
      | 200    | []                |
      | 200    | 7                 |
      | 200    | {}                |
      | 409    | []                |
      | 409    | {}                |
      | 409    | {"code": 7}       |
      | 409    | {"code": "x", "highest_epoch": "9"} |
      | 200    | 100000 lists      |
      | 200    | bytes that are not UTF-8 |

  Scenario: An answer over the limit is not read to its end
    Guards against a server at a worker's address that fills the memory of the
    process, which the platform then ends.
    Given a worker that answers each call with 512 MB
    When 1 commands are sent to it at once
    Then 1 replies are NoAnswer
    And at most 32 MB of the answer were sent

  Scenario: Log lines have the time of the standard format
    Guards against a date and time that stay those of an earlier second.
    When log lines are formatted 0, 0.4, 1.2, 3601 s after 1700000000.75 s
    Then each has the time that the standard formatter writes

Feature: Suspension of workers on which runs fail

  Scenario Outline: Failures by chance close no worker to a waiting task
    Guards against a long-running task that waits while a worker of its
    partition has room for it: some finite runs failed there one after another,
    as a twentieth of all runs do, and the worker is suspended.
    Given four workers with long-running tasks beside finite runs of which a twentieth fails, by seed <seed>
    When a worker is lost for good
    And <failures> finite runs fail on another one, whose long-running task is cancelled
    Then the task of the lost worker runs on it <limit> s later
    And no invariant was violated

    Examples:
      | seed | failures | limit |
      | 1    | 0        | 0.5   |
      | 1    | 3        | 0.5   |
      | 2    | 3        | 0.5   |
      | 3    | 3        | 0.5   |
      | 1    | 6        | 2.5   |
      | 2    | 6        | 2.5   |
      | 3    | 6        | 2.5   |

  Scenario Outline: Failures on a worker are weighed against the usual share
    Guards against sound workers that are suspended several times a day in a
    fleet in which many runs fail. Also guards against a worker that fails all
    its runs without being suspended.
    Given two workers, and <usual> of 400 runs on the second one have failed
    When <failures> runs of several jobs fail on the first worker
    Then the first worker is <state>

    Examples:
      | usual | failures | state         |
      | 0     | 2        | not suspended |
      | 0     | 3        | suspended     |
      | 20    | 3        | not suspended |
      | 20    | 4        | suspended     |
      | 80    | 6        | not suspended |
      | 80    | 8        | suspended     |

  Scenario Outline: A run that is done ends a row of failures
    Guards against sound workers that are suspended as runs that fail are shorter
    than others: of runs that start together, those that fail end first.
    Given two workers, and 20 of 400 runs on the second one have failed
    When 3 runs of several jobs fail on the first worker
    And a run that started <when> them is done there
    And 3 runs of several jobs fail on the first worker
    Then the first worker is not suspended

    Examples:
      | when   |
      | before |
      | after  |

  Scenario Outline: Long-running tasks that fail after some work suspend nothing
    Guards against a worker that is suspended since several long-running tasks,
    which may fail at any time, have failed there one after another.
    Given two workers, and 0 of 400 runs on the second one have failed
    When 5 long-running runs fail on the first worker after <seconds> s
    Then the first worker is <state>

    Examples:
      | seconds | state         |
      | 0.2     | suspended     |
      | 9       | not suspended |

  Scenario Outline: Failures after a long time without any are weighed too
    Guards against an error, or a suspension for a single failure, as the usual
    share of failures has become 0.
    Given two workers, and 0 of 400 runs on the second one have failed
    And 400000 more runs on the second one are done
    When <failures> runs of several jobs fail on the first worker
    Then the first worker is <state>

    Examples:
      | failures | state         |
      | 2        | not suspended |
      | 3        | suspended     |

  Scenario: The failures of a worker that recovers do not count as usual
    Guards against workers that fail all their runs and are not suspended, since
    the runs that failed on another such worker raised the usual share.
    Given two workers, and 0 of 400 runs on the second one have failed
    When 60 runs of several jobs fail on the first worker
    And a run that started after them is done there
    And 6 s pass after the failures
    And 3 runs of several jobs fail on the first worker
    Then the first worker is suspended

  Scenario Outline: Ends of runs of a former owner are weighed in their order
    Guards against sound workers that are suspended by the first listing after a
    takeover. Also guards against a faulty worker that it does not suspend.
    Given two workers, and 0 of 400 runs on the second one have failed
    When the first worker lists that 40 runs of a former owner ended "<ends>"
    Then the first worker is <state>

    Examples:
      | ends                                     | state         |
      | ....f.........f.........f.........f..... | not suspended |
      | ....................................ffff | suspended     |

  Scenario Outline: A run that was started later and is done ends a suspension
    Guards against a worker that stays closed although runs are done there. Also
    guards against one that begins to fail, completes a run that it had started
    before, so that it is used again.
    Given two workers, and 0 of 400 runs on the second one have failed
    When 4 runs of several jobs fail on the first worker
    And a run that started <when> them is done there
    Then the first worker is <state>

    Examples:
      | when   | state         |
      | before | suspended     |
      | after  | not suspended |

  Scenario Outline: A long-running run ends a suspension once it outlasts others
    Guards against a worker that fails its runs some seconds after their start,
    so that each trial there ends the suspension and more runs fail.
    Given two workers, and 0 of 400 runs on the second one have failed
    When 4 runs of several jobs fail on the first worker after <ran> s
    And a long-running run is started there and still runs <lasted> s later
    Then the first worker is <state>

    Examples:
      | ran | lasted | state         |
      | 0.2 | 1.9    | suspended     |
      | 0.2 | 2.1    | not suspended |
      | 2   | 3.9    | suspended     |
      | 2   | 4.1    | not suspended |

  Scenario: A run that had failed anyway does not extend a suspension
    Guards against a worker that stays closed since runs fail there that were
    started before one that is done, so that they tell nothing about it.
    Given two workers, and 0 of 400 runs on the second one have failed
    When a run that started before them is done there
    And 4 runs of several jobs fail on the first worker
    And 3 s pass after the failures
    And a run that started 13 s ago fails there
    And 2.1 s pass after the failures
    Then the first worker is not suspended

  Scenario: An answered start does not end a suspension for failed runs
    Guards against a worker that fails its runs and is used again, since starts
    got no answer there as well and one of them is answered.
    Given two workers, and 0 of 400 runs on the second one have failed
    When 4 runs of several jobs fail on the first worker
    And 3 starts get no answer on the first worker
    And a start is answered on the first worker
    Then the first worker is suspended

  Scenario Outline: A suspended worker runs one task on trial at a time
    Guards against long-running tasks that wait for the end of a suspension.
    Also guards against many tasks that fail on a worker that fails all its runs.
    Given two workers, and 0 of 400 runs on the second one have failed
    And the second worker is full
    And 3 <kind> tasks that have waited for 1 s
    When 4 runs of several jobs fail on the first worker
    Then <started> tasks have started there <seconds> s later

    Examples:
      | kind         | started | seconds |
      | long-running | 1       | 0.1     |
      | long-running | 1       | 1.8     |
      | finite       | 0       | 1.8     |

  Scenario: A suspended worker that ignores starts runs nothing on trial
    Guards against a long-running task that is started on a worker which does
    not carry it out, and that gets no room elsewhere while the start is settled.
    Given two workers, and 0 of 400 runs on the second one have failed
    And the second worker is full
    And 3 long-running tasks that have waited for 1 s
    When 3 starts get no answer on the first worker
    Then 0 tasks have started there 1.8 s later

  Scenario Outline: A task runs on trial only where a task may start
    Guards against a run on a worker on which the owner may extend no lease, so
    that a successor may start the task again beside it. Also guards against one
    on a worker that is about to leave or does not answer.
    Given two workers, and 0 of 400 runs on the second one have failed
    And the second worker is full
    And 3 long-running tasks that have waited for 1 s
    And its worker is unusable as it is <reason>
    When 4 runs of several jobs fail on the first worker
    Then 0 tasks have started there 0.5 s later

    Examples:
      | reason        |
      | withheld      |
      | not_in_roster |
      | draining      |
      | restarted     |
      | refusing      |
      | silent        |

  Scenario: No run starts on trial on a worker that a roster in flight names
    Guards against a task that runs twice: a suspended worker was silent, the
    roster that names it is being written, and a successor that reads it takes
    the runs there as ended.
    Given two workers, and 0 of 400 runs on the second one have failed
    And the second worker is full
    And 3 long-running tasks that have waited for 1 s
    When 4 runs of several jobs fail on the first worker
    And a roster that withholds leases on the first worker is being written
    Then 0 tasks have started there 1.8 s later

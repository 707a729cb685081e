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

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

Feature: Capacity that finite tasks leave to long-running ones elsewhere

  Scenario Outline: A long-running task gets what finite tasks use elsewhere
    Guards against a long-running task that waits for good: its partition is
    full, and in another one finite tasks use the only capacity that it could
    have, one after another, so that none of it is ever free.
    Given a full partition, and one in which finite tasks use <rest> of 16 processors, by seed <seed>
    When the worker of a long-running task of 2.5 processors in the first is lost
    Then the task has run again <limit> s after the loss
    And no invariant was violated

    Examples:
      | rest | seed | limit |
      | 3    | 1    | 10    |
      | 3    | 2    | 10    |
      | 3    | 3    | 10    |
      | 6    | 1    | 10    |

Feature: Random sequences of cuts

  Scenario Outline: Random cuts violate no invariant
    Guards against tasks that run twice, or again after they were done, when an
    owner and some workers are on one side of overlapping cuts, the store and
    other instances on the other. Leases are revoked and writes are late.
    Given a random deployment with paths that are cut, by seed <seed>
    When paths are cut in 2 rounds
    Then no invariant was violated
    And every job that should have ended has ended
    And long-running tasks had runs again in time

    Examples: The next owner gives up a worker that the former one reaches
      | seed |
      | 116  |
      | 151  |
      | 165  |
      | 198  |

    Examples: A former owner, or the partition of a moved job, starts a task
      | seed |
      | 29   |
      | 43   |
      | 80   |
      | 230  |
      | 267  |

    Examples: A former owner's listing lacks a run that is done
      | seed  |
      | 42114 |

    Examples: Other sequences
      | seed |
      | 1    |
      | 2    |
      | 46   |

  Scenario Outline: Random cuts beside other faults violate no invariant
    Guards against the same where instances are killed, restarted or paused, or
    workers replaced, meanwhile.
    Given a random deployment with paths that are cut, by seed <seed>
    When paths are cut in 2 rounds beside other faults
    Then no invariant was violated
    And every job that should have ended has ended
    And long-running tasks had runs again in time

    Examples: The next owner gives up a worker that the former one reaches
      | seed |
      | 70   |
      | 166  |
      | 185  |

    Examples: A former owner, or the partition of a moved job, starts a task
      | seed |
      | 161  |
      | 177  |

    Examples: The next owner gives up a worker, then is killed
      | seed |
      | 209  |

    Examples: Other sequences
      | seed |
      | 1    |
      | 2    |

  Scenario Outline: Random cuts of owners whose store leases are revoked
    Guards against tasks that run twice, or again after they were done, when the
    store lease of an owner that has lost the store ends before its time.
    Given a random deployment with paths that are cut, by seed <seed>
    When paths are cut in 2 rounds and store leases are revoked
    Then no invariant was violated
    And every job that should have ended has ended
    And long-running tasks had runs again in time

    Examples:
      | seed |
      | 10   |
      | 41   |
      | 64   |
      | 65   |
      | 70   |
      | 71   |

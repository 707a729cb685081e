Feature: Cuts with an owner on one side and the store on the other

  Scenario Outline: A worker that only the former owner reaches keeps its tasks
    Guards against tasks that run twice: the owner and one of its workers lost
    the store, while the former owner extended the leases of the runs there. The
    next owner, which did not reach that worker, took its runs as ended.
    Given an owner in the <place> of three workers with long-running tasks
    When a worker loses the store so that its entry expires after <expiry_s> s
    And the owner loses the store <lost_s> s later
    And only that owner reaches the worker
    And 20 s pass
    Then no invariant was violated
    When all cuts end
    And 9 s pass
    Then every task runs once

    Examples:
      | place             | expiry_s | lost_s |
      | same data centre  | 0        | 3      |
      | same data centre  | 0        | 0      |
      | same data centre  | 4.5      | 0      |
      | same data centre  | 4.5      | 0.3    |
      | same data centre  | 4.5      | 2      |
      | other data centre | 0        | 3      |
      | other data centre | 4.5      | 0.3    |
      | other data centre | 4.5      | 1.2    |

  Scenario Outline: A store lease that is revoked soon after its renewal
    Guards against tasks that run twice: the next owner took the end of the key
    for its expiry, and so the last renewal of the former owner, which alone
    reaches a worker, to be older than it was. Its leases lasted longer.
    Given an owner in the same data centre of three workers with long-running tasks
    When a worker loses the store so that its entry expires after <expiry_s> s
    And the owner's store lease is revoked <revoked_s> s after its last renewal
    And only that owner reaches the worker
    And 20 s pass
    Then no invariant was violated
    When all cuts end
    And 9 s pass
    Then every task runs once

    Examples: The entry of the worker is there
      | expiry_s | revoked_s |
      | 60       | 0         |
      | 60       | 0.3       |
      | 60       | 0.6       |
      | 60       | 1         |
      | 60       | 1.5       |
      | 60       | 2         |
      | 60       | 2.4       |

    Examples: The entry of the worker expires before the key is gone, or after it
      | expiry_s | revoked_s |
      | 0        | 0         |
      | 0        | 1         |
      | 0.5      | 0         |
      | 2        | 0.3       |
      | 4        | 0.6       |

  Scenario Outline: A draining worker that only the former owner reaches
    Guards against tasks that run twice: the next owner took the runs of a
    draining worker that it did not reach as ended with the worker's exit.
    Given an owner of three workers with tasks of 200 s
    When the worker drains
    And a worker loses the store so that its entry expires after <expiry_s> s
    And the owner loses the store <lost_s> s later
    And only that owner reaches the worker
    And 20 s pass
    Then no invariant was violated

    Examples:
      | expiry_s | lost_s |
      | 0        | 0      |
      | 4.5      | 0      |
      | 4.5      | 0.3    |
      | 4.5      | 1.5    |

  Scenario Outline: A former owner starts no task that its successor keeps
    Guards against tasks that run twice: the former owner lost the store and a
    worker that its successor reached, took the runs there as lapsed, forgot the
    worker, since its entry had expired, and started the tasks on other workers.
    Given an owner in the same data centre of three workers with long-running tasks
    When a worker loses the store so that its entry expires after <expiry_s> s
    And the owner loses the store <lost_s> s later
    And only the other instance reaches the worker and reaches no other worker
    And 20 s pass
    Then no invariant was violated
    When all cuts end
    And 9 s pass
    Then every task runs once

    Examples:
      | expiry_s | lost_s |
      | 0        | 1      |
      | 0        | 2      |
      | 0        | 3      |
      | 0        | 5      |
      | 4.5      | 0      |

  Scenario Outline: An owner that wakes from a pause starts nothing again
    Guards against tasks that run twice: an owner was paused, its successor kept
    the runs of a worker that the former owner no longer reached, and the former
    owner handled answers from before its pause when it woke.
    Given an owner in the same data centre of three workers with long-running tasks
    When a worker loses the store so that its entry expires after 0 s
    And the owner is paused <phase_s> s later for 8 s and <store> the store
    And only the other instance reaches the worker and reaches <others>
    And 28 s pass
    Then no invariant was violated

    Examples:
      | phase_s | store   | others            |
      | 3.00    | loses   | no other worker   |
      | 3.05    | loses   | no other worker   |
      | 3.10    | loses   | no other worker   |
      | 3.15    | loses   | no other worker   |
      | 3.20    | loses   | no other worker   |
      | 3.00    | reaches | no other worker   |
      | 3.10    | reaches | no other worker   |
      | 3.20    | reaches | no other worker   |
      | 3.00    | loses   | all other workers |
      | 3.10    | loses   | all other workers |
      | 3.20    | loses   | all other workers |

  Scenario Outline: An owner that reaches its workers again starts nothing
    Guards against tasks that run twice: an owner lost the store and all of its
    workers. Its successor gave the workers up after their leases had expired,
    so that the tasks started elsewhere. When the workers answered the former
    owner again, it still did not reach the store, but started them as well.
    Given an owner with long-running tasks, and workers in another data centre
    When the owner and its workers lose the store, and no instance reaches them
    And <seconds> s pass
    Then the tasks run <place>
    When only that owner reaches its workers again
    And 10 s pass
    Then no invariant was violated

    Examples:
      | seconds | place                    |
      | 14      | nowhere yet              |
      | 30      | nowhere yet              |
      | 70      | in the other data centre |

  Scenario: An owner after the next one knows where runs may exist
    Guards against tasks that run twice: the next owner gave a worker up that
    only the former owner reached, stored a roster without it, then was killed.
    Its own successor waited for no listing of this worker.
    Given an owner beside two instances of three workers with long-running tasks
    When a worker loses the store so that its entry expires after 0 s
    And the owner loses the store 3 s later
    And only that owner reaches any worker
    And 10 s pass
    And the next owner is killed
    And 4 s pass
    And all other instances reach all workers but that one
    And 20 s pass
    Then no invariant was violated
    When all cuts end
    And 9 s pass
    Then every task runs once

  Scenario Outline: Runs outlast an outage of the store
    Guards against runs that end, or tasks that start again, although their
    owner reaches all workers and no other instance can become owner.
    Given an owner in the same data centre of three workers with long-running tasks
    When the store is down for <seconds> s
    And 12 s pass
    Then every task still has its first run
    And no invariant was violated

    Examples:
      | seconds |
      | 6.4     |
      | 12      |

  Scenario: Tasks of a data centre that is cut off do not run outside as well
    Guards against tasks that run twice: an instance outside took the runs in a
    data centre as ended after 60 s without an answer of any worker there, while
    the owner inside extended their leases.
    Given two data centres, and long-running tasks in one of them
    When that data centre is cut off for 82 s
    And 82 s pass
    And 9 s pass
    Then no invariant was violated
    And every task runs once

  Scenario Outline: A former owner's late listing does not start a done task
    Guards against a done task that starts again: the owner lost the store while
    a long poll waited at a worker. The next owner listed the runs there as done,
    stored and acknowledged that. The poll's answer then lacked the runs, so that
    the former owner started the tasks on a worker that the next one did not
    reach.
    Given an owner of three workers with tasks of 200 s
    When the worker drains
    And the owner loses the store <lost_s> s later
    And all other instances reach only the worker
    And long polls are answered late
    And the runs on the worker are done when the next owner has its key
    And 10 s pass
    Then no invariant was violated

    Examples:
      | lost_s |
      | 0.0    |
      | 0.1    |
      | 0.2    |
      | 0.4    |

  Scenario Outline: The same where the former owner's store lease is revoked
    Guards against a done task that starts again: the former owner's ownership
    counted as confirmed, by the time of its last renewal.
    Given an owner of three workers with tasks of 200 s
    When the worker drains
    And the owner loses the store <lost_s> s later
    And all other instances reach only the worker
    And long polls are answered late
    And the owner's store lease is revoked
    And the runs on the worker are done when the next owner has its key
    And 10 s pass
    Then no invariant was violated

    Examples:
      | lost_s |
      | 0.0    |
      | 0.1    |
      | 0.2    |
      | 0.4    |

  Scenario Outline: A former owner does not start what ran on a replaced worker
    Guards against a done task that starts again: the next owner acknowledged
    that the runs on a worker were done. Then the worker exited and another one
    answered the former owner at its address, which took the runs as ended.
    Given an owner of three workers with tasks of 200 s
    When the worker drains
    And the owner loses the store <lost_s> s later
    And all other instances reach only the worker
    And long polls are answered late
    And the runs on the worker are done when the next owner has its key
    And the worker is replaced once the next owner has acknowledged this
    And 10 s pass
    Then no invariant was violated

    Examples:
      | lost_s |
      | 0.0    |
      | 0.1    |
      | 0.2    |
      | 0.4    |

  Scenario Outline: A former owner and the next one see the same runs fail
    Guards against tasks that run twice: the former owner starts the task of a
    failed run on a worker that the next owner does not reach, and the next
    owner, which has listed the same end, starts it elsewhere.
    Given an owner of three workers with tasks of 200 s
    When the worker drains
    And the owner loses the store <lost_s> s later
    And all other instances reach only the worker
    And the runs on the worker fail when the next owner has its key
    And <cut_s> s pass
    And all other instances reach all workers but that one
    And 20 s pass
    Then no invariant was violated
    And every task runs once

    Examples:
      | lost_s | cut_s |
      | 0.0    | 3     |
      | 0.0    | 12    |
      | 0.2    | 3     |
      | 0.2    | 12    |

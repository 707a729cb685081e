Feature: Handover of workers between owners

  Scenario: A new owner that extends leases before it knows the runs
    Guards against tasks that run twice: a new owner extended the leases on a
    worker whose runs it did not know yet, lost the worker, and took the runs
    there as ended with the leases of the former owner.
    Given an owner in the same data centre of three workers with long-running tasks
    When lists of jobs take 0.2 s
    And the owner is killed
    And the new owner loses the worker as soon as it is active
    Then the worker has seen the token of the new owner
    When 20 s pass
    Then no invariant was violated

  Scenario Outline: An owner that shuts down without a stored release
    Guards against tasks that run twice: the owner ended its store lease although
    its release was not stored, and its successor counted the end of the owner
    key as that of an owner whose last renewal was a lifetime of the key ago.
    Given an owner in the same data centre of three workers with long-running tasks
    When the releases of the owner <fault>
    And only that owner reaches the worker
    And the owner shuts down
    And 20 s pass
    Then no invariant was violated

    Examples:
      | fault         |
      | are refused   |
      | get no answer |

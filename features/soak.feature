@alone
Feature: Short soaks of real processes under faults

  Scenario Outline: Soak: seed <seed>
    Guards against failures that occur only with real processes, sockets,
    signals and time. `make soak` runs longer soaks with random seeds.
    When the short soaks are run
    Then the soak with seed <seed> violated no guarantee

    Examples:
      | seed |
      | 1    |
      | 2    |

Feature: Scheduling passes

  Scenario: Shortcuts of a pass do not change what it starts
    Guards against a pass that, because it skips tasks and workers after a
    rejection, starts other tasks, or on other workers, than a search of all
    workers for each task would.
    Given 40 random partitions with serving tasks, labels and failures
    Then passes start what a search of all workers for each task starts

Feature: Order and routing of jobs under load

  Scenario: Urgent tasks start before many less urgent ones
    Guards against urgent tasks that wait behind less urgent ones.
    Given a worker with free capacity for 8 tasks
    And 40 tasks of priority 2 that arrived first, and 4 of priority 0
    When a scheduling pass runs
    Then all tasks of priority 0 have started

  Scenario: A pass starts a limited number of tasks
    Guards against a pass that occupies the loop for so long that the instance's
    own calls time out.
    Given a worker with free capacity for 100 tasks
    And 40 tasks of priority 2 that arrived first, and 40 of priority 0
    When a scheduling pass runs
    Then 32 tasks have started and another pass is scheduled
    When another scheduling pass runs
    Then 64 tasks have started and another pass is scheduled
    When another scheduling pass runs
    Then 80 tasks have started and no pass is scheduled

  Scenario: Jobs that can meet their objective start first
    Guards against new jobs that become late behind jobs that are too late
    anyway.
    Given a worker with free capacity for 8 tasks
    And a job of 8 tasks that arrived 100 s ago, and one that arrived just now
    When a scheduling pass runs
    Then all tasks of the newer job have started

  Scenario: Long-running tasks whose worker is gone start before new jobs
    Guards against long-running tasks that wait forever behind jobs of their
    priority, because their objective passed long ago.
    Given a worker with free capacity for 4 tasks
    And a long-running job of 4 tasks that arrived 100 s ago, and one that arrived just now
    When a scheduling pass runs
    Then all tasks of the long-running job have started

  Scenario: Many owners move long-running tasks at the same time
    Guards against tasks that all move to the first partition with free
    capacity, find that capacity in use, and move again and again without a
    run.
    Given summaries of 8 partitions with free capacity for 3 tasks each
    When 24 long-running tasks are moved by owners that know only the summaries
    Then no partition gets more than 8 of the tasks

  Scenario: Tasks are deducted from workers that have memory for them
    Guards against many more moves to a partition than it has room for: they
    were deducted from the workers with most processors, which had no memory.
    Given a summary of one worker without memory and one with room for 2 tasks
    When 5 long-running tasks are moved by one owner
    Then 2 of the tasks are moved

  Scenario: Jobs go to another data centre when the own one is full
    Guards against jobs that wait while another data centre has free capacity.
    Given summaries of a full own and an empty other data centre
    Then a job that needs capacity goes to the other data centre

  Scenario: An unreachable data centre gets no jobs because of its last summary
    Guards against jobs that are sent to an owner that cannot read them.
    Given summaries of a full own and an empty other data centre
    When the other data centre has written no summary for 4 s
    Then a job that needs capacity goes to the own data centre

  Scenario: A moved job counts as pending until its new owner publishes it
    Guards against a number of pending jobs that leaves out a job because its
    new owner becomes unreachable right after the move.
    Given summaries of a full own and an empty other data centre
    And a waiting job that was moved to the other data centre
    Then the own summary still counts the job as pending
    And a job that two summaries contain is counted once
    And the own summary no longer counts the job after 10 s

  Scenario: Opportunistic images may use processors of different data centres
    Guards against work that waits beside serving tasks which it disturbs, while
    another data centre has processors that it could use.
    Given two data centres whose serving tasks are disturbed by other images
    Then a job of image "calm" goes to the own data centre
    And a job of image "loud" goes to the other data centre

Feature: Division of a data centre among its instances

  Scenario: The racks of a data centre have several owners
    Guards against one instance that sends all commands of a data centre: its
    processor would limit the whole data centre, and calls would time out before
    they are sent.
    Given a data centre of 16 racks with 4 workers each and 6 instances
    Then every partition of the data centre has one owner
    And at least 3 instances own partitions

  Scenario: A wide opportunistic job meets its objective
    Guards against jobs that are confined to the workers of two racks: their
    tasks run one after the other while workers of the same data centre are
    idle.
    Given a data centre of 4 racks with 8 workers of 32 processors each
    When an opportunistic job of 2 steps with 160 tasks of 7 processors runs
    Then it is completed within its objective

  Scenario: Owners of the version before the division was stored
    Guards against a new version that names the partitions of a running
    deployment differently: two instances would own a worker under keys whose
    fencing tokens have no common order.
    Given a store whose rosters are of partitions of two racks
    When 3 instances start with 8 racks
    Then all instances own partitions of two racks only
    And every worker belongs to one owned partition

  Scenario: A version with another division joins
    Guards against two divisions of the same racks during a rolling upgrade to a
    version that divides new deployments differently.
    Given a data centre of 8 racks with 4 workers each and 3 instances
    When 3 instances of a version with 2 racks in a partition replace them
    Then all instances own partitions of four racks only
    And every worker belongs to one owned partition

  Scenario: The answers to the first writes of the division are lost
    Guards against instances that divide the racks differently, or never, after
    a write whose answer was lost or that was carried out late.
    Given a store that loses the answers to writes and carries some out late
    When 6 instances start with 8 racks
    Then all instances own partitions of four racks only
    And every worker belongs to one owned partition

  Scenario: Instances with more processors own more partitions
    Guards against small instances that own as many partitions as large ones.
    Given a data centre of 24 racks, one instance of 4 processors and 6 of 0.3
    Then every partition of the data centre has one owner
    And the large instance owns more than any other

  Scenario: Few small instances are left for many racks
    Guards against racks without an owner for half a minute, because each
    instance leaves them to one that owns less.
    Given a data centre of 32 racks, one instance of 0.3 processors and 1 of 0.3
    Then every partition of the data centre has one owner

  Scenario: All partitions of a killed owner get new owners
    Guards against racks that have no owner after theirs was killed, and against
    tasks that are started again although their runs continue.
    Given a data centre of 8 racks with 8 workers each and 6 instances
    When a long-running job is submitted for each partition
    And the instance with most partitions is killed
    And 8 s pass in the data centre
    Then every partition of the data centre has one owner
    And each task of the jobs still has its first run
    And the workers have recorded no violation

  Scenario: A job continues in another partition if its own cannot run it
    Guards against a started job that waits forever in a partition whose workers
    are gone, while another partition has free capacity.
    Given two partitions with one worker each and two instances
    And a job of two steps whose first step runs
    When the worker of that partition drains before the second step
    And 15 s pass in the data centre
    Then the job is stored as completed
    And the workers have recorded no violation

  Scenario: Owners of a moved job use different run numbers
    Guards against two runs of a task with the same number: a stop or an end of
    the first would be treated as one of the second.
    Given a moved job whose runs must have numbers from 40001 on
    Then owners of generation 1 and 2 start it with different run numbers
    And both run numbers are at least 40001

  Scenario: Many jobs are submitted while the summaries stay the same
    Guards against instances that all send their jobs to the partition that had
    most free capacity when the summaries were written.
    Given summaries of 8 partitions of which one has slightly more capacity
    When 80 jobs are submitted to instances that know only the summaries
    Then no partition gets more than 25 of them

  Scenario: Most jobs have their data on one rack
    Guards against jobs that run far from their data, which takes several
    times as long, and against a rack that is overloaded while others are idle.
    Given summaries of 8 idle partitions
    When 4 jobs whose data is in one of the partitions are submitted
    Then all 4 jobs go to that partition
    When that partition has three times the load that it can carry
    Then a job whose data is there goes to another partition

  Scenario Outline: Jobs need a <kind> that only one partition has
    Guards against jobs that move forever between partitions whose workers
    cannot run them. A rack, unlike a data centre, often lacks a label or a
    service.
    Given three partitions of which one has the <kind> that jobs need
    When 12 jobs that need it are submitted one after the other
    And 4 s pass in the data centre
    Then the first task of each of these jobs has started
    And the workers have recorded no violation

    Examples:
      | kind    |
      | label   |
      | service |

  Scenario: A partition without usable workers gets no opportunistic jobs
    Guards against jobs that are sent where nothing can run them. The load of a
    partition is a share of its idle processors, and a partition without workers
    once counted as not loaded.
    Given an owner whose workers are all unresponsive, and a loaded other one
    Then an opportunistic job goes to the loaded partition

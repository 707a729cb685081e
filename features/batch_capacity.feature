Feature: Reports on idle processors

  Scenario Outline: Idle processors are reported by what becomes of them
    Guards against jobs that wait beside idle processors while no log line tells
    whether nothing asks for these, the model of interference refuses them or
    runs that are paced down hold them.
    Given a worker of 32 processors whose serving tasks use 4 of 8
    And <work>
    Then <idle> processors are reported as idle and <amount> as <use>

    Examples:
      | work                                          | idle | amount | use         |
      | no opportunistic task                         | 28   | 28     | unrequested |
      | a waiting task of an image that disturbs them | 28   | 28     | refused     |
      | a waiting task of a harmless image            | 28   | 28     | startable   |
      | runs that request 10 at a pace of 40 percent  | 28   | 6      | paced_down  |
      | runs that request 10 at a pace of 40 percent  | 28   | 4      | used        |

  Scenario: A partition without opportunistic work logs nothing
    Guards against a line a second from each partition that has nothing to
    report.
    Given a worker of 32 processors whose serving tasks use 4 of 8
    And no opportunistic task
    Then its capacity is not logged
    Given a waiting task of a harmless image
    Then its capacity is logged once within a second

  Scenario Outline: Waiting tasks are reported by what keeps them waiting
    Guards against urgent tasks that wait while no log line tells whether
    long-running tasks hold the processors, no worker has enough of them free or
    the memory is missing.
    Given a worker of 32 processors whose serving tasks use 4 of 8
    And a waiting task of <cores> processors and <memory> MB submitted <age> s ago
    Then 8 processors are reported as reserved by long-running tasks
    And <cores> processors are reported as <waiting> and <lacking> as lacking memory

    Examples:
      | cores | memory | age | waiting        | lacking |
      | 30    | 100    | 0   | waiting_finite | 0       |
      | 10    | 100    | 9   | waiting_late   | 0       |
      | 10    | 64001  | 0   | waiting_finite | 10      |

  Scenario Outline: A waiting long-running task is reported with the room for it
    Guards against long-running tasks without a run while no log line tells
    whether their owner may not start them, whether a worker of the partition
    has room for them and whether another partition has.
    Given a worker of 32 processors whose serving tasks use 4 of 8
    And a long-running task of 10 processors that has waited for 2 s
    And another partition with a worker that has 20 processors free
    And <state>
    Then a wait of 2 s is reported with <free> processors free here and 20 elsewhere
    And <number> tasks are reported as not allowed to start

    Examples:
      | state                                    | free | number |
      | no other disturbance                     | 24   | 0      |
      | its worker is suspended                  | 0    | 0      |
      | its owner awaits the runs of former ones | 24   | 1      |

  Scenario Outline: Capacity on unusable workers is reported with the reason
    Guards against long-running tasks without a run while no log line tells that
    a worker has the capacity for them, and why the owner does not use it.
    Given a worker of 32 processors whose serving tasks use 4 of 8
    And a long-running task of <cores> processors that has waited for 2 s
    And its worker is unusable as it is <reason>
    Then the unusable workers are reported as "<report>"

    Examples:
      | cores | reason        | report            |
      | 10    | suspended     | suspended:1:1     |
      | 30    | suspended     | suspended:1:0     |
      | 10    | refusing      | refusing:1:1      |
      | 10    | restarted     | restarted:1:1     |
      | 10    | silent        | silent:1:1        |
      | 10    | withheld      | withheld:1:1      |
      | 10    | not_in_roster | not_in_roster:1:1 |
      | 10    | unregistered  | unregistered:1:1  |
      | 10    | unlisted      | unlisted:1:1      |

  Scenario Outline: A worker that does not answer is reported as silent
    Guards against lost workers that look like capacity that an owner does not
    use, as the platform's list lacks them or they have never answered.
    Given a worker of 32 processors whose serving tasks use 4 of 8
    And a long-running task of 10 processors that has waited for 2 s
    And its worker is unusable as it is <reason>
    And its worker is unusable as it is silent
    Then the unusable workers are reported as "silent:1:1"

    Examples:
      | reason        |
      | unregistered  |
      | unlisted      |
      | restarted     |
      | withheld      |
      | not_in_roster |

  Scenario Outline: A waiting long-running task is reported with its obstacle
    Guards against a task without a run while no log line tells why the free
    workers of its own partition are not used, or for how many tasks there is
    room elsewhere.
    Given a worker of 32 processors whose serving tasks use 4 of 8
    And a long-running task of <cores> processors and <memory> MB that needs label "<label>"
    And another partition with a worker that has 20 processors free
    Then the task is reported as <obstacle> with room for <elsewhere> elsewhere

    Examples:
      | cores | memory | label | obstacle       | elsewhere |
      | 10    | 100    | a     | unused         | 2         |
      | 30    | 100    | a     | lacking_cpu    | 0         |
      | 10    | 64001  | a     | lacking_memory | 0         |
      | 6     | 100    | b     | constrained    | 3         |

Feature: Successive owners of a partition that has lost a worker

  Scenario Outline: Tasks of a crashed worker start again under the next owner
    Guards against long-running tasks without a run for more than 9 s although
    nothing but planned work has happened for 7 s: <failure>.
    Given a partition with long-running tasks
    When a worker crashes and owners end <delay> s later, every <interval> s: <ends>
    Then every long-running task was restarted in time
    And no invariant was violated

    Examples: Owners that shut down
      | delay | interval | ends                                 | failure                                            |
      | 6.0   | 1        | shuts down                           | the next owner awaits a listing of runs that ended |
      | 4.5   | 2        | shuts down, shuts down, shuts down   | a release lacks a worker that has been settled     |
      | 1.5   | 3        | shuts down, shuts down, shuts down   | a release lacks a worker that has been settled     |

    Examples: Owners that are killed
      | delay | interval | ends                                 | failure                                            |
      | 6.0   | 1        | is killed                            | nobody knows that the owner extended no lease      |
      | 4.5   | 1        | is killed                            | nobody knows that the owner extended no lease      |
      | 6.0   | 3        | is killed, is killed                 | the third owner does not know what the second knew |
      | 3.0   | 2        | shuts down, is killed                | the third owner does not know of the first release |
      | 4.5   | 2        | is killed, shuts down                | the third owner does not know of the first release |
      | 4.5   | 2        | shuts down, is killed, shuts down    | the third owner does not know of the first release |

    Examples: Owners that are killed before they know that the worker is silent
      | delay | interval | ends                                 | failure                                            |
      | -0.5  | 3        | is killed, is killed, is killed      | each owner counts from the end of the key before it |
      | -1.5  | 3.4      | is killed, is killed                 | each owner counts from the end of the key before it |
      | -1.5  | 2        | is killed, is killed, shuts down     | each owner counts from the end of the key before it |
      | 0     | 2        | is killed, shuts down, is killed     | each owner counts from the end of the key before it |

  Scenario Outline: Tasks start again although an owner that was killed was loading
    Guards against the same where reads of job records take long: an owner that
    was killed meanwhile had written nothing of a worker that did not answer.
    Given a partition with long-running tasks
    And every list of jobs takes 0.8 s
    When a worker crashes and owners end <delay> s later, every <interval> s: <ends>
    Then every long-running task was restarted in time
    And no invariant was violated

    Examples:
      | delay | interval | ends                             |
      | -0.5  | 3.6      | is killed, is killed             |
      | 0.2   | 3.5      | is killed, is killed, shuts down |

  Scenario Outline: Tasks that a cut-off owner keeps running do not run twice
    Guards against successors that go by a roster which names an earlier end of
    the leases on a worker than that of an owner that has lost the store.
    Given a partition with long-running tasks
    When only an owner without the store reaches a worker, and owners end <delay> s later, every <interval> s: <ends>
    Then every long-running task was restarted in time
    And no invariant was violated

    Examples:
      | delay | interval | ends                               |
      | 3     | 1.5      | is killed, is killed               |
      | 3     | 2.7      | is killed, shuts down, is killed   |
      | 4     | 3        | is killed, is killed, is killed    |

  Scenario Outline: Random ends of owners around the loss of a worker
    Guards against the same, and against tasks that run twice, where a worker
    crashes, leaves or is cut off at a random time around the end of its owner.
    Given a random sequence of ends of owners, by seed <seed>
    When the sequence is played
    Then every long-running task was restarted in time
    And no invariant was violated

    Examples:
      | seed |
      | 3    |
      | 43   |
      | 198  |
      | 63   |
      | 251  |
      | 372  |
      | 458  |
      | 619  |
      | 752  |

  Scenario Outline: Owners go by records of the version before
    Guards against tasks that run twice, or never again, during a rolling upgrade:
    rosters, summaries and job records lack what was added to them since.
    Given a random sequence of ends of owners, by seed <seed>
    And stored records lack the fields of the newest version
    When the sequence is played
    Then every long-running task runs
    And no invariant was violated

    Examples:
      | seed |
      | 3    |
      | 43   |
      | 198  |
      | 63   |
      | 251  |

  Scenario: A worker gets leases again only after its roster says so
    Guards against tasks that run twice: a worker was silent, the roster named the
    end of the leases there, the worker answered again and its leases were
    extended, and a successor that did not reach it went by the roster.
    Given a partition with long-running tasks
    When a worker does not answer for 3 s
    Then its owner grants no lease there
    When the worker answers again for 1 s while rosters are refused
    Then its owner has granted no lease there
    When rosters are written again
    Then its owner has granted a lease there
    And no task of the worker has ended

  Scenario Outline: Tasks start as soon as the leases of former owners have ended
    Guards against long-running tasks that wait for the next periodic checks of
    their owner, 0.25 s at most, after a wait that leaves hardly more.
    Given a partition with long-running tasks
    When a worker crashes and its owner is killed <delay> s later
    Then the next owner starts a task within 0.02 s of the end of the leases

    Examples:
      | delay |
      | 0.1   |
      | 0.5   |
      | 1.1   |

  Scenario Outline: The age of a record follows from the revisions seen since
    Guards against a wait that begins only when a new owner reads a record that
    was written seconds before, or that ends too early.
    Given an instance saw revision 10 at 100 s, 20 at 101 s and 30 at 102 s
    Then it knows at 104 s that revision <revision> was reached at <time> s

    Examples:
      | revision | time |
      | 5        | 100  |
      | 10       | 100  |
      | 11       | 101  |
      | 30       | 102  |
      | 31       | 104  |

  Scenario: Revisions that follow each other closely keep their times
    Guards against an end of leases that an owner learns too late: it had seen
    the revision of a release just after another one, and then none for long.
    Given an instance saw revision 10 at 100 s, 11 at 100.05 s and 20 at 103 s
    Then it knows at 104 s that revision 11 was reached at 100.05 s
    And it knows at 104 s that revision 12 was reached at 103 s

  Scenario Outline: A slow takeover does not lose the release of its predecessor
    Guards against long-running tasks that wait by the bounds without a release:
    the new owner raised the generation more than once, as it <failure>, and the
    release counts for the next generation only.
    Given a partition with long-running tasks
    When a worker crashes and its owner shuts down 0.5 s later
    And lists of jobs take <list_s> s and <lost> answer to its roster is lost
    Then the next owner is of the next generation
    And it knows when the leases on the crashed worker end

    Examples:
      | list_s | lost | failure                                      |
      | 2.5    | no   | read the list of workers again while loading |
      | 0      | one  | read its own roster as that of another owner |
      | 2.5    | one  | did both                                     |

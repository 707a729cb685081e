Feature: Opportunistic tasks beside serving tasks

  Scenario: Only images that raise tail latencies are slowed down
    Guards against slowing down all opportunistic work because of the
    interference of one image.
    Given the tail latency of a serving task rises with image "loud" only
    When the owner has learned from 40 listings
    Then the interference of "loud" is learned and that of "calm" is negligible
    And only runs of image "loud" are slowed down while the tail latency is high

  Scenario: Serving tasks are packed on few workers
    Guards against serving tasks on all workers, which would leave no worker for
    work that disturbs them.
    Given two workers, one of which has a serving task
    Then another serving task is placed on the worker with the serving task
    And an opportunistic task of an unknown image is placed on the other worker

  Scenario: Interference depends on the pair of images
    Guards against keeping an image away from all serving tasks because it
    disturbs those of one image.
    Given image "loud" disturbs serving image "soft" but not "hard"
    Then tasks of image "loud" are placed beside serving image "hard"

  Scenario Outline: A task first waits for a worker that it disturbs little
    Guards against tasks that start beside serving tasks which their image
    disturbs a lot, and are paced down as soon as the load of these rises: they
    hold memory, and the next step of their job waits for them.
    Given image "loud" disturbs serving image "soft" but not "hard"
    And the worker with serving image "hard" <has no room>
    Then a task of image "loud" that has waited for <seconds> s <is placed>

    Examples:
      | has no room   | seconds | is placed                             |
      | has room      | 0       | is placed beside serving image "hard" |
      | has no memory | 0       | waits                                 |
      | has no memory | 2.9     | waits                                 |
      | has no memory | 3.1     | is placed beside serving image "soft" |
      | has left      | 0       | is placed beside serving image "soft" |

  Scenario: A slow run moves to another worker
    Guards against runs that do little work but hold memory that others need.
    Given image "loud" disturbs serving image "soft" but not "hard"
    And five runs of image "loud" beside serving image "soft"
    When the owner has adjusted the paces for 3 s
    Then one of these runs is stopped at a time

  Scenario: An image that disturbs all serving tasks starts eventually
    Guards against a job that never starts although processors are idle.
    Given image "loud" disturbs serving image "soft" but not "hard"
    And only the worker with serving image "soft" is left
    When a large job of image "loud" waits for 2 s
    Then one of its tasks has started, and the owner does not stop it

  Scenario Outline: Few measurements of an image show little interference
    Guards against runs that are paced down for a prediction which rests on few
    rough measurements: most pairs of images hardly disturb each other, and a
    moderate result is then more often an error than true.
    Given image "new" was measured beside "served" as <interference>, variance <variance>
    And six runs of image "new" beside a serving task with headroom 2.25
    When the owner adjusts their paces
    Then the runs of image "new" <have a pace>

    Examples:
      | interference | variance | have a pace        |
      | 2.0          | 1.0      | work at full pace  |
      | 2.0          | 0.05     | are slowed down    |
      | 6.0          | 1.0      | are slowed down    |
      | 9.0          | 4.0      | are slowed down    |

  Scenario: Tail latencies lag behind the use of processors
    Guards against estimates far below the true interference: a tail latency
    still shows runs that have ended or were paced down before the listing.
    Given the tail latency of a serving task rises with image "loud" only
    When the owner has learned from 40 listings whose tail latencies lag
    Then the interference of "loud" is learned to within 20 percent

  Scenario: Measurements of several runs are more exact than one
    Guards against estimates that take one run's tail latency for as exact as
    the mean of many, although single ones scatter by a tenth and more.
    Given eight serving tasks on one worker and one on another
    And one run of image "loud" on each of them
    When the owner has learned from one listing of each worker
    Then the estimate from eight serving tasks has less than half the variance

  Scenario: Paces follow the load of a serving task
    Guards against tail latencies over their target at each peak of the load,
    because measurements lag. Paces that always suit the highest load would
    waste processors between the peaks.
    Given a serving task whose load rises and falls within 10 s
    And six runs of image "loud" beside it
    When the owner adjusts the paces to this load for 60 s
    Then the tail latency is over its target in less than 5 of 100 listings
    And the runs have used more than 55 percent of their processors

  Scenario: Opportunistic runs request more processors than are idle
    Guards against tail latencies that grow without bound when runs may use more
    processors than are idle, though the interference of each image is
    negligible.
    Given a worker whose serving tasks use half of their processors
    And runs with negligible interference that request 40 processors
    When the owner adjusts the paces after each of 10 listings
    Then the pace of the runs is 50 percent

  Scenario: Serving tasks of one image share workers
    Guards against tasks of all serving images on all workers, where every
    opportunistic image disturbs some of them.
    Given two workers, one with serving image "soft" and one with "hard"
    Then another serving task of image "soft" is placed beside its image
    And another serving task of image "hard" is placed beside its image

  Scenario: The image with the highest interference is slowed down first
    Guards against slowing down all work alike where one image causes most of
    the interference.
    Given runs of images "loud" and "calm" beside a serving task
    When the headroom of the serving task falls to 1.6
    Then image "loud" is slowed down and "calm" works at full pace

  Scenario: A new owner uses the interference that a former owner learned
    Guards against interference that each owner has to learn anew after a
    takeover, while serving tasks miss their targets.
    Given an owner that has learned that image "loud" disturbs "soft"
    When another instance reads the interference that it has stored
    Then that instance expects the same interference

  Scenario: A run is slowed down as soon as its start is confirmed
    Guards against half a second at full pace after each start, which would keep
    a tail latency over its target for more than a second.
    Given image "loud" disturbs serving image "soft" but not "hard"
    And only the worker with serving image "soft" is left
    When a large job of image "loud" waits for 2 s
    And the worker confirms the starts
    Then the pace of the run is reduced at once

  Scenario: A slow run is stopped only if another worker can run its task
    Guards against runs that are stopped again and again, and lose their work,
    although no other worker has free capacity for them.
    Given a run that had a low pace for 2 s, and a second worker that is full
    When the owner adjusts the paces
    Then the run is not stopped for a move
    When the second worker is empty and the owner adjusts the paces
    Then the run is stopped to move there

  Scenario: Runs that are paced down leave processors to other images
    Guards against a worker whose idle processors nobody uses: runs of an image
    that disturbs its serving tasks were slowed down and still counted as if they
    used all that they request, so that no other image started beside them.
    Given a serving task with idle processors for eight runs of image "loud"
    When the headroom of the serving task falls to 1.3
    Then two tasks of image "calm" find idle processors there
    And all runs together use no more processors than are idle

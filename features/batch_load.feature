Feature: Work under load

  Scenario: Flood of the less urgent kind beside urgent tasks
    Guards against urgent tasks that wait behind a flood of less urgent ones.
    Given a worker with room for 8 tasks
    And 40 tasks of priority 2 that came first, and 4 of priority 0
    When a pass starts tasks
    Then all tasks of priority 0 have started

  Scenario: Overload in which old jobs have lost their objective
    Guards against new jobs that become late behind jobs that are lost anyway.
    Given a worker with room for 8 tasks
    And a job of 8 tasks that came 100 s ago, and one that came just now
    When a pass starts tasks
    Then all tasks of the newer job have started

  Scenario: Mixed images, some of which raise tail latencies
    Guards against pacing all batch work for the harm of one image.
    Given the tails of a serving task rise with image "loud", not with "calm"
    When the owner has seen 40 listings
    Then image "loud" is harmful and "calm" is harmless
    And only runs of image "loud" are paced while the tail is high

  Scenario: Serving tasks beside work that fills
    Guards against serving tasks spread over all workers, which leaves no place
    for work that disturbs them.
    Given two workers, one of which has a serving task
    Then another serving task goes to the worker with one
    And a task of an unknown image goes to the worker without

  Scenario: Harm that depends on the pair of images
    Guards against keeping an image away from all serving tasks for the harm
    that it does to one.
    Given image "loud" harms "soft" servers but not "hard" ones
    Then tasks of image "loud" go beside "hard" servers

  Scenario: One data centre full, another with room
    Guards against jobs that wait while another data centre has room.
    Given summaries of a full own and an empty other data centre
    Then a job that needs room goes to the other data centre

  Scenario: A data centre is cut off and its last summary shows room
    Guards against jobs that are sent to an owner that cannot see them.
    Given summaries of a full own and an empty other data centre
    When the other data centre has been silent for 4 s
    Then a job that needs room goes to the own data centre

  Scenario: A run that is paced low holds memory that others need
    Guards against work that neither runs nor makes room.
    Given image "loud" harms "soft" servers but not "hard" ones
    And five runs of image "loud" beside "soft" servers
    When the owner has adjusted the pace for 3 s
    Then one of these runs is stopped at a time

  Scenario: A job is moved to an owner that is cut off right after
    Guards against a number of pending jobs that leaves out jobs nobody shows.
    Given summaries of a full own and an empty other data centre
    And a waiting job that was moved to the other data centre
    Then the own summary still counts the job as pending
    And a job that two summaries name is counted once
    And the own summary no longer counts the job after 10 s

  Scenario: An image that harms every serving task near it
    Guards against a job that never starts, though processors are free.
    Given image "loud" harms "soft" servers but not "hard" ones
    And only the worker with "soft" servers is left
    When a large job of image "loud" waits for 2 s
    Then one of its tasks has started, and the owner lets it run

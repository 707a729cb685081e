Feature: Workers that fail what they start

  Scenario Outline: A worker that fails everything swallows fewer than 10 tasks
    Guards against a worker that looks free because its tasks fail at once.
    Given a worker on watch with <before> finished tasks
    When it is given all tasks that it may have and each fails after <delay> s
    Then it failed fewer than 10 tasks before it was put aside

    Examples:
      | before | delay |
      | 0      | 0.0   |
      | 0      | 4.0   |
      | 50     | 0.0   |
      | 50     | 4.0   |

  Scenario: Trials come with growing delay and end with a success
    Guards against a bad worker that is tried too often, or never again.
    Given a worker on watch with 0 finished tasks
    When it is given all tasks that it may have and each fails after 0.0 s
    Then its trials come after 30, 60, 120 and 240 s
    And it takes 8 tasks again after a trial that finishes

  Scenario: A job that fails everywhere does not condemn the workers
    Guards against good workers that one bad job takes out of placement.
    Given a worker on watch with 0 finished tasks
    When it is given all tasks that it may have and each fails after 0.0 s
    And the job of these tasks is found to fail everywhere
    Then the worker is not on probation

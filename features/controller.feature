Feature: Controller of one worker

  Scenario Outline: What is done after one report
    Guards against harm to services that goes on, and against actions on noise.
    Given a slowdown controller with the task shares <shares>
    When it is told of a slowdown of <slowdown>, limit 1.1, measured at 10 s
    Then it acts with <actions>

    Examples:
      | slowdown | shares       | actions                |
      | 1.05     | 1.0 1.0      | nothing                |
      | 1.11     | 1.0 1.0      | nothing                |
      | 1.20     | 1.0 1.0      | throttle 0             |
      | 1.20     | 0.25 0.25    | evict 0                |
      | 1.02     | 0.5 1.0      | throttle 0             |
      | 1.09     | 0.5 1.0      | nothing                |

  Scenario: A slowdown just above the limit counts once it is confirmed
    Guards against throttles on a single noisy measurement.
    Given a slowdown controller with the task shares 1.0 1.0
    When it is told of a slowdown of 1.11, limit 1.1, measured at 10 s
    And it is told of a slowdown of 1.11, limit 1.1, measured at 12 s
    Then it acts with throttle 0

  Scenario: Nothing is done inside the lag of the own action
    Guards against oscillation: the same old measurement must not count twice.
    Given a slowdown controller with the task shares 1.0 1.0
    When it is told of a slowdown of 1.30, limit 1.1, measured at 10 s
    And it is told of a slowdown of 1.30, limit 1.1, measured at 11 s
    Then it acts with nothing

  Scenario: The budget bounds evictions
    Guards against a wave that evicts everything on a worker.
    Given a slowdown controller with the task shares 0.25 0.25
    When a slowdown of 1.5 is reported 20 times, each after the last action
    Then it evicted 2 tasks

  Scenario: Urgent tasks are not evicted for services
    Guards against urgent work that starts late because it was evicted.
    Given a slowdown controller with the urgent task shares 0.25 0.25
    When a slowdown of 1.5 is reported 20 times, each after the last action
    Then it evicted 0 tasks

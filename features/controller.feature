Feature: Slowdown controller of a worker

  Scenario Outline: Actions after one report
    Guards against slowdowns of services that persist, and against actions that
    measurement noise triggers.
    Given a slowdown controller with the task shares <shares>
    When a slowdown of <slowdown>, limit 1.1, measured at 10 s, is reported
    Then the controller's action is <actions>

    Examples:
      | slowdown | shares       | actions                |
      | 1.05     | 1.0 1.0      | nothing                |
      | 1.11     | 1.0 1.0      | nothing                |
      | 1.20     | 1.0 1.0      | throttle 0             |
      | 1.20     | 0.25 0.25    | evict 0                |
      | 1.02     | 0.5 1.0      | throttle 0             |
      | 1.09     | 0.5 1.0      | nothing                |

  Scenario: A slowdown just above the limit counts once it is confirmed
    Guards against throttles because of a single noisy measurement.
    Given a slowdown controller with the task shares 1.0 1.0
    When a slowdown of 1.11, limit 1.1, measured at 10 s, is reported
    And a slowdown of 1.11, limit 1.1, measured at 12 s, is reported
    Then the controller's action is throttle 0

  Scenario: Measurements from before the last action trigger nothing
    Guards against oscillation: such measurements do not show the effect of the
    action yet.
    Given a slowdown controller with the task shares 1.0 1.0
    When a slowdown of 1.30, limit 1.1, measured at 10 s, is reported
    And a slowdown of 1.30, limit 1.1, measured at 11 s, is reported
    Then the controller's action is nothing

  Scenario: The budget limits evictions
    Guards against a controller that evicts all tasks of a worker in a short time.
    Given a slowdown controller with the task shares 0.25 0.25
    When a slowdown of 1.5 is reported 20 times, each after the last action
    Then the controller evicted 2 tasks

  Scenario: Urgent tasks are not evicted for services
    Guards against urgent work that starts late because it was evicted.
    Given a slowdown controller with the urgent task shares 0.25 0.25
    When a slowdown of 1.5 is reported 20 times, each after the last action
    Then the controller evicted 0 tasks

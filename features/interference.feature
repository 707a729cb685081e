Feature: Learned slowdown of services by kinds of batch work

  Scenario Outline: Coefficients are found from lagging, noisy measurements
    Guards against an estimate that blames the wrong kind for a slowdown.
    Given a slowdown estimator that saw 300 noisy measurements of
      | kind    | true   |
      | quiet   | 0.002  |
      | noisy   | 0.040  |
    Then the estimated coefficient of <kind> is within 25% of <true>

    Examples:
      | kind  | true  |
      | quiet | 0.002 |
      | noisy | 0.040 |

  Scenario: Coefficients follow a change of the load
    Guards against coefficients that old measurements keep fixed.
    Given a slowdown estimator that saw 300 noisy measurements of
      | kind  | true  |
      | noisy | 0.010 |
    When it sees 300 noisy measurements of
      | kind  | true  |
      | noisy | 0.030 |
    Then the estimated coefficient of noisy is within 25% of 0.030

  Scenario: The estimate for an unknown kind is high
    Guards against many unmeasured tasks placed beside one service at once.
    Given a slowdown estimator that saw 300 noisy measurements of
      | kind  | true  |
      | quiet | 0.002 |
    Then it predicts more for 4 processors of an unknown kind than of quiet

  Scenario: A measurement is compared with the load at its own time
    Guards against learning from the load at the time of the report.
    Given a load history with 0 processors at 10 s and 8 processors at 20 s
    When a slowdown of 1.0 measured at 15 s is recorded
    Then the history shows no load at the time of that measurement
    And the same measurement is not recorded twice
    And after an action at 10 s that measurement belongs to the later load

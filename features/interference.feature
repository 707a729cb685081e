Feature: Learned slowdown of pairs

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

  Scenario: A shift of the load is followed
    Guards against coefficients that an old load keeps fixed.
    Given a slowdown estimator that saw 300 noisy measurements of
      | kind  | true  |
      | noisy | 0.010 |
    When it sees 300 noisy measurements of
      | kind  | true  |
      | noisy | 0.030 |
    Then the estimated coefficient of noisy is within 25% of 0.030

  Scenario: An unknown kind is met with caution
    Guards against a wave of unknown tasks beside one service.
    Given a slowdown estimator that saw 300 noisy measurements of
      | kind  | true  |
      | quiet | 0.002 |
    Then it predicts more for 4 processors of an unknown kind than of quiet

  Scenario: A measurement is compared with the load at its own time
    Guards against learning from the load at the time of the report.
    Given a load history with 0 processors at 10 s and 8 processors at 20 s
    When a slowdown of 1.0 measured at 15 s is taken
    Then the history says that no load ran beside that measurement
    And the same measurement is not taken twice
    And after an action at 10 s that measurement belongs to the later load

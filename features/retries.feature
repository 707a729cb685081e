Feature: Retries of failed attempts

  Scenario Outline: Retries stay within the budget while <fault>
    Guards against retries that multiply the load of a failing service.
    Given retries: a deployment with seed <seed>
    And retries: <fault>
    When retries: 2000 requests are sent in 4 s
    Then retries: there were at most <most> retries and 3 attempts for each

    Examples:
      | fault                                 | seed | most |
      | all executors refuse                  | 70   | 320  |
      | all connections break during requests | 71   | 320  |
      | all executors are slow                | 72   | 320  |

  Scenario: A repeatable request goes to another executor
    Guards against a request that fails because a single executor failed.
    Given retries: a deployment with seed 73
    When retries: one of 2 executors fails while requests run at both
    Then retries: every request is answered and none went there twice

  Scenario: Answers after the timeout reach no caller
    Guards against an outcome that is delivered twice or to another caller.
    Given retries: a deployment with seed 74
    And retries: all executors are slow
    When retries: 100 requests are sent in 4 s
    Then retries: late answers were dropped and each caller got one outcome

  Scenario: A request is sent at most 3 times
    Guards against a request that is retried until its deadline.
    Given retries: a deployment with seed 75
    And retries: all executors refuse
    When retries: 1 request is sent
    Then retries: it was sent again 2 times and ends as executor_busy

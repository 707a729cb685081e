Feature: Sharing of executor slots

  Scenario Outline: The shares of <entries> entry instances fill each executor
    Guards against shares whose sum differs from the slots of an executor.
    Then slots: <entries> shares of 24 executors sum to 8 for each

    Examples:
      | entries |
      | 1       |
      | 2       |
      | 3       |
      | 7       |
      | 8       |
      | 11      |

  Scenario: Idle slots are lent to an instance in overload
    Guards against idle slots at one instance while another sheds requests.
    Given slots: 3 entry instances of one data centre with 8 executors
    When slots: one instance gets 1500 requests a second for 4 s
    Then slots: in the last 2 s it answers at least 90%
    And slots: executors refused at most 15 requests

  Scenario: A lender does not use lent slots before the loan has ended
    Guards against an executor that gets more requests than it has slots.
    Given slots: 3 entry instances of one data centre with 8 executors
    When slots: one instance gets 1500 requests a second for 3 s
    And slots: then another one gets them for 3 s
    Then slots: executors refused at most 30 requests
    And slots: no slot stays in use

  Scenario: A loan that is received late is used for a shorter time
    Guards against a borrower that uses slots after the lender uses them again.
    Then slots: a loan of 1 s ends 0.89 s after receipt and 1.11 s after sending

  Scenario: An executor that can't be reached gets one request at a time
    Guards against many requests that wait for a connection which never opens.
    Given slots: 1 entry instances of one data centre with 2 executors
    When slots: an executor is unreachable for 10 s under 300 requests in a second
    Then slots: all are answered with at most 16 attempts at that executor

  Scenario: A lone executor that returns gets requests soon
    Guards against requests that wait for seconds for the end of a suspension
    although no other executor can run them.
    Given slots: 1 entry instances of one data centre with 1 executors
    When slots: an executor is unreachable for 10 s under 20 requests in a second
    And slots: it returns and gets 20 requests in a second for 4 s
    Then slots: requests sent 0.8 s after its return are answered
    And slots: at most 24 attempts were made at that executor while it was gone

  Scenario: An answer ends the suspension of an executor
    Guards against a sound executor that gets no requests after one failed
    connection although it answers other requests.
    Given slots: 1 entry instances of one data centre with 1 executors
    When slots: a connection to the executor fails and an earlier request is answered
    Then slots: the executor may be chosen
    And slots: the timer of that suspension does not end a later one

  Scenario: A killed entry instance leaves its share to the others
    Guards against slots that nobody may use after an instance was killed.
    Given slots: 3 entry instances of one data centre with 8 executors
    When slots: one instance is killed and 6 s pass
    Then slots: the shares of the others sum to 64

Feature: Claims of idempotency keys

  Scenario Outline: A non-repeatable request runs at most once with <fault>
    Guards against two runs for one key, against "not run" for a request that
    ran, and against a key that stays claimed although nothing ran.
    Given claims: a deployment with seed <seed>
    And claims: faults are <fault>
    When claims: 60 keys are each sent 3 times through any instance
    And claims: the fault ends and 30 s pass
    Then claims: no key ran twice and at least <ran> keys ran
    And claims: no request that was told not_run ran
    And claims: every request at a live instance got one outcome
    And claims: every key that never ran can be claimed again

    Examples:
      | fault                                | seed | ran |
      | no fault                             | 1    | 60  |
      | 30% of store answers lost            | 2    | 30  |
      | 30% of store writes late             | 3    | 30  |
      | both lost answers and late writes    | 4    | 20  |
      | a store outage of 5 s                | 5    | 20  |
      | two entry instances killed           | 6    | 20  |
      | an entry instance paused for 3 s     | 7    | 30  |
      | three executors killed               | 8    | 30  |
      | executors unreachable for 3 s        | 9    | 20  |
      | everything at once                   | 10   | 10  |

  Scenario Outline: A duplicate <through> after <first> gets <outcome>
    Guards against a duplicate that runs or gets a wrong outcome.
    Given claims: a deployment with seed 20
    When claims: a key is sent with <first>
    And claims: a duplicate is sent <through> after <wait> s
    And claims: 5 s pass
    Then claims: the duplicate gets <outcome> and ran 0 times

    Examples:
      | first              | through                        | wait | outcome         |
      | a short body       | through the same instance      | 1    | answered        |
      | a short body       | through another data centre    | 1    | answered        |
      | a body of 5000 B   | through another data centre    | 1    | already_run     |
      | another body       | through another data centre    | 1    | key_reused      |
      | another body       | through the same instance      | 0.02 | key_reused      |
      | a run of 2 s       | through another data centre    | 1    | key_in_progress |
      | a run of 2 s       | through the same instance      | 1    | answered        |
      | a run over timeout | through another data centre    | 4    | outcome_unknown |

  Scenario: A request that certainly did not run releases its key
    Guards against a key that stays claimed after every executor refused.
    Given claims: a deployment with seed 30
    When claims: all executors refuse and a key is sent
    Then claims: it ends as executor_busy and its key can be claimed again

  Scenario: Claims in a full bucket are refused as not run
    Guards against a document that is too large for the store.
    Given claims: a deployment with seed 31 and 1 full bucket
    When claims: a new key is sent
    Then claims: it ends as claims_full and the store was not written

  Scenario: Waiting claims share a write
    Guards against a separate write for each claim when the store is slow.
    Given claims: a deployment with seed 32 and 1 bucket
    And claims: store calls that take 0.1 s
    When claims: 50 keys are sent through one instance at once
    Then claims: all are answered with at most 6 writes of the bucket

  Scenario: A caller that disconnects before its claim is made frees the key
    Guards against a key that stays claimed for a caller that has gone.
    Given claims: a deployment with seed 33
    And claims: store calls that take 0.1 s
    When claims: a caller sends a key and leaves 0.15 s later
    Then claims: nothing ran and its key can be claimed again

  Scenario Outline: A claim with <fault> ends as <code>
    Guards against a claim that takes effect after its request was refused
    (late write), or a refusal of a claim that was recorded (lost answer).
    Given claims: a deployment with seed <seed>
    When claims: one claim has <deadline> s during <fault>
    Then claims: the claim ends as <code>, its key free unless it ran

    Examples:
      | fault                   | seed | deadline | code              |
      | a lost answer           | 40   | 5        | answered          |
      | a late write            | 41   | 1        | claim_unconfirmed |
      | a late write            | 42   | 1        | claim_unconfirmed |
      | a late write            | 43   | 1        | claim_unconfirmed |
      | a late write and outage | 44   | 9        | store_unavailable |
      | a late write and outage | 45   | 9        | store_unavailable |
      | an outage               | 46   | 9        | store_unavailable |

  Scenario: Single calls that fail do not close the store to claims
    Guards against claims that are refused for 0.5 s after each failed store
    call, while the store answers all others.
    Given claims: a deployment with seed 35
    When claims: 40 keys in a second are sent for 10 s and the store fails for 5 ms in each
    Then claims: at least 97% of the keys sent in the last 10 s are answered

  Scenario: A store that returns is used at once
    Guards against claims that wait for seconds behind the changes of an
    earlier request, whose call is repeated after a growing delay.
    Given claims: a deployment with seed 36
    When claims: 40 keys in a second are sent for 16 s and the store fails from 3 to 11 s
    Then claims: at least 97% of the keys sent in the last 4.5 s are answered

  Scenario: A saturated store is not loaded with conflicting writes
    Guards against writes that wait so long that their version is outdated.
    Given claims: a deployment with seed 34
    And claims: a store that serves 300 writes in a second
    When claims: 480 keys in a second are sent for 3 s
    Then claims: 400 are answered with at most 3 writes for each

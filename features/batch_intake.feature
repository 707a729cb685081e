Feature: Calls of callers on the platform

  Scenario: The answer of the store is lost after a write
    Guards against a refusal of a job that is stored and will run.
    Given an instance beside a store
    When a job is handed in while the store's answers are lost
    Then the caller is not told that the job was refused
    And the job's record exists

  Scenario: The store has been away for a second
    Guards against callers that wait for what is known to fail, and against
    "gone" from an instance that cannot know.
    Given an instance beside a store
    When the store has been away for 2 s
    And a job is handed in
    And its state is asked
    Then both calls are refused within 10 ms
    And no record exists

  Scenario: Callers return while the store is away for some seconds
    Guards against callers that use up their few attempts within one outage.
    Given an instance beside a store
    When the store has been away for 2 s
    And a job is handed in
    Then the caller is asked to return after 2 s

  Scenario: The same id arrives at two instances
    Guards against a job that is stored or run twice.
    Given an instance beside a store
    And a second instance
    When a job is handed in at both instances
    Then both callers are told that it is accepted
    And one record exists

  Scenario: A cancelled job stops
    Guards against tasks that go on after a confirmed cancellation.
    Given an instance beside a store
    When a long-running job is handed in, runs and is cancelled
    Then its tasks are gone within 1 s and stay away

  Scenario: An unknown job is gone
    Guards against an answer other than the store's.
    Given an instance beside a store
    When the state of an unknown job is asked
    Then the caller is told that it is gone

  Scenario Outline: What nothing plays yet is refused before it is accepted
    Guards against jobs that are accepted and then run wrongly.
    Given an instance beside a store
    When a job that asks for <feature> is handed in
    Then the caller is told that the job is invalid
    And no record exists

    Examples:
      | feature    |
      | a gang     |
      | one rack   |
      | a schedule |

  Scenario: An older configuration arrives after a newer one
    Guards against a version that reverts.
    Given an instance beside a store
    When configuration 5 is read and then configuration 4
    Then configuration 5 is in force

  Scenario: Records of jobs that ended long ago
    Guards against a store that grows with every job, and against a state that
    is gone while callers may still ask for it.
    Given an instance beside a store
    When a job is handed in
    And 100 s pass after it was handed in
    Then its record shows that it is completed
    When 60 s pass after it was handed in
    Then its record is gone

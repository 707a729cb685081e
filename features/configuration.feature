Feature: Configuration

  Scenario Outline: An accepted patch is in force everywhere in time
    Guards against a version that is not in force everywhere within seconds
    (invariant I9), and against a number of store calls that grows with the
    number of instances.
    Given a simulated deployment of <entries> entry instances, seed <seed>
    When the configuration is patched while <fault>
    Then the configuration is in force everywhere within <limit> s
    And the patch took at most <calls> store calls

    Examples:
      | entries | fault                      | limit | calls | seed |
      | 8       | nothing fails              | 2     | 20    | 1    |
      | 48      | nothing fails              | 2     | 20    | 2    |
      | 8       | the store was down         | 10    | 30    | 3    |
      | 48      | the store was down         | 10    | 30    | 4    |
      | 48      | messages are lost          | 10    | 30    | 5    |
      | 48      | a data centre was isolated | 10    | 30    | 6    |
      | 48      | watches are interrupted    | 10    | 60    | 7    |

  Scenario Outline: Of concurrent patches of a version exactly one is accepted
    Guards against two accepted patches of one version, and against a lost
    reply that is reported as a refusal.
    Given a simulated deployment of 8 entry instances, seed <seed>
    And the configuration store loses <share> of its replies
    When 6 operators patch version 0 concurrently
    Then one of the concurrent patches is accepted and no refusal is false
    And version 1 contains the accepted patch

    Examples:
      | share | seed |
      | 0.0   | 1    |
      | 0.5   | 2    |
      | 0.5   | 3    |
      | 0.9   | 4    |

  Scenario Outline: A patch ends with a code within its time limit
    Guards against endless retries, and against a patch that is reported as
    refused although its write may have taken effect.
    Given a simulated deployment of 3 entry instances, seed 1
    When a patch is sent while <fault>
    Then the patch ends within 10 s as <result> with code <code>

    Examples:
      | fault                                    | result         | code                    |
      | the store stays down                     | Failure        | store_unavailable       |
      | every write reply is lost and reads fail | OutcomeUnknown | patch_unsettled         |
      | every write meets a conflict             | Failure        | write_conflict          |
      | the store was reverted                   | Failure        | store_reverted          |
      | the base version is old                  | Failure        | version_conflict        |
      | the body is invalid                      | Failure        | configuration_invalid   |
      | the body is too large                    | Failure        | configuration_too_large |

  Scenario: A repeated patch id is confirmed and not applied again
    Guards against a patch that is applied twice after a lost reply.
    Given a simulated deployment of 3 entry instances, seed 1
    When one patch is sent twice with the same patch id
    Then both calls are answered with version 1
    And the configuration stays at version 1

  Scenario: A preview shows the changes and writes nothing
    Guards against a preview that changes the configuration.
    Given a simulated deployment of 3 entry instances, seed 1
    When a patch that adds a team is previewed
    Then the preview names the path "teams.press.cpu_millis"
    And the configuration stays at version 0

  Scenario Outline: A version never reverts
    Guards against a stale read after an outage or a network partition.
    Given a simulated deployment of 3 entry instances, seed 1
    And version 5 is in force in all of them
    When version <version> arrives from <source>
    Then every instance has version 5 in force

    Examples:
      | version | source    |
      | 4       | a peer    |
      | 4       | the store |
      | 5       | a peer    |

  Scenario Outline: A document with an invalid body does not stop an instance
    Guards against a document of a newer release, or one written directly to
    the store, that raises an exception in the event loop.
    Given a simulated deployment of 3 entry instances, seed 1
    When version 7 with an unknown key arrives from <source>
    Then every instance has version 0 in force
    And the rejected body is counted and recorded in the journal
    And a valid version 8 is adopted from a peer

    Examples:
      | source    |
      | a peer    |
      | the store |

  Scenario: An instance that starts during an outage reads from its peers
    Guards against an instance that has no configuration while the store is
    unavailable.
    Given a simulated deployment of 3 entry instances, seed 1
    And version 5 is in force in all of them
    When the store goes down and an unlisted instance with seed peers starts
    Then the new instance has version 5 within 2 s
    And the new instance is not ready because the list was not read

  Scenario: Data centres agree on the higher version after a partition
    Guards against a data centre that keeps its older version after a network
    partition.
    Given a simulated deployment of 8 entry instances, seed 1
    When a data centre is isolated for 60 s and version 1 is accepted elsewhere
    Then after the partition all instances have version 1 within 5 s

  Scenario: Changes do not add periodic reads
    Guards against a new series of periodic reads for each watch event.
    Given a simulated deployment of 3 entry instances, seed 1
    When 40 patches are accepted one after another
    Then the following 300 s take at most 130 store calls for the configuration

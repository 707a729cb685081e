Feature: Where which version is in force

  Scenario: A status without a list does not claim "everywhere"
    Guards against the thin status, which called a version in force everywhere
    although the list of instances had not been read.
    Given an entry instance that has read no list
    When the configuration status is asked for
    Then the status says that the list was not read and not "everywhere"

  Scenario: The status names unreachable instances
    Guards against a version called in force everywhere while an instance of
    another data centre is cut off.
    Given a configured world of 8 entry instances, seed 1
    When one instance of another data centre is cut off for 10 s
    Then the status names exactly that instance as unreachable
    And the status counts 8 listed instances

  Scenario: The status of a large deployment is complete
    Guards against instances that no link or roster reports.
    Given a configured world of 24 entry instances, seed 1
    When the configuration is patched while nothing fails
    Then the configuration is in force everywhere within 2 s
    And after 10 s the status of each instance says "everywhere"

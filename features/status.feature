Feature: Status of the configuration

  Scenario: A status without an instance list does not report "everywhere"
    Guards against a version that is reported as in force everywhere although
    the instance list has not been read.
    Given an entry instance that has not read the instance list
    When the configuration status is requested
    Then the status says that the list was not read and not "everywhere"

  Scenario: The status names unreachable instances
    Guards against a version that is reported as in force everywhere while an
    instance of another data centre is isolated.
    Given a simulated deployment of 8 entry instances, seed 1
    When one instance of another data centre is isolated for 10 s
    Then the status names exactly that instance as unreachable
    And the status counts 8 listed instances

  Scenario: The status of a large deployment is complete
    Guards against instances that are covered by no link and no roster.
    Given a simulated deployment of 24 entry instances, seed 1
    When the configuration is patched while nothing fails
    Then the configuration is in force everywhere within 2 s
    And after 10 s the status of each instance says "everywhere"

Feature: Metrics

  Scenario: The page of metrics lists exactly the metrics of the process
    Guards against a renamed or undocumented metric.
    When the metrics of a process are rendered after one of each was observed
    Then their names and types are those of the page of metrics

  Scenario: An exception in a handler is counted and the process continues
    Guards against an exception that ends the loop or is not reported.
    Given a process whose handler of one event raises an exception
    When that event and then another one are passed to the loop
    Then the fault was counted under the event's name
    And the other event was handled

  Scenario: An exception in a background task is counted
    Guards against a coroutine whose exception is never retrieved.
    Given a process whose handler of one event raises an exception
    When a background task of the process raises an exception
    Then the fault was counted under "background"

  Scenario: A value cannot forge a log line
    Guards against a value from another process that forges a line or a field.
    When a log line is written with the value "x\ny level=info"
    Then the log line is "part: text name='x\ny level=info'"

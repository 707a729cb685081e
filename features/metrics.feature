Feature: Metrics

  Scenario: The metrics page names what the process renders
    Guards against a renamed or undocumented metric.
    When the metrics of a process are rendered after one of each was observed
    Then their names and types are those of the metrics page

  Scenario: A fault in a handler is counted and the process goes on
    Guards against an exception that ends the loop or is lost.
    Given a process whose handler of one event raises
    When that event and then another one are fed
    Then the fault was counted under the event's name
    And the other event was handled

  Scenario: A fault in a background task is counted
    Guards against a coroutine whose exception nobody reads.
    Given a process whose handler of one event raises
    When a background task of it raises
    Then the fault was counted under "background"

  Scenario: A log line cannot be forged by a value
    Guards against a value from outside that makes up a line or a field.
    When a log line has the value "x\ny level=info"
    Then the log line is "part: text name='x\ny level=info'"

Feature: Start of the platform's process

  Scenario: A change of the settings during the start does not end the process
    Guards against a process that the signal SIGHUP ends while it still starts,
    as its default action is to end the process.
    Given a process that is reading its settings
    When it gets the signal SIGHUP
    And its settings are invalid
    Then it exits with code 3

  Scenario Outline: A process starts with its output <where>
    Guards against a process that ends because nobody reads its log lines.
    Given a process whose output is <where>
    When its settings are invalid
    Then it exits with code 3

    Examples:
      | where     |
      | closed    |
      | full      |
      | unread    |

  Scenario: A log line with text that cannot be encoded is written
    Guards against an exception of a log line, which would end the handling of
    the exception that it reports.
    When a process logs a text with half a surrogate pair
    Then the line has the text escaped

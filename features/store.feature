Feature: Store client

  Scenario Outline: A failed call reports whether it may have taken effect
    Guards against a write that took effect but is reported as refused, and
    against an invalid answer that leaves a call without an outcome.
    Given a store that <behaves>
    When the instance makes a <call> call
    Then the outcome is Unavailable and ambiguous is <ambiguous>

    Examples: writes
      | behaves                        | call   | ambiguous |
      | refuses connections            | put    | False     |
      | closes after the request       | put    | True      |
      | never answers                  | put    | True      |
      | answers 500                    | put    | True      |
      | answers 503                    | delete | True      |
      | answers 400                    | put    | False     |
      | answers 429                    | put    | False     |
      | answers 413                    | put    | False     |
      | answers 404                    | put    | False     |
      | answers truncated JSON         | put    | True      |
      | answers a list                 | put    | True      |
      | answers text for numbers       | put    | True      |
      | answers less than it announces | put    | True      |
      | answers an empty object        | grant  | True      |
      | answers truncated JSON         | renew  | True      |

    Examples: reads
      | behaves                  | call  | ambiguous |
      | refuses connections      | get   | False     |
      | never answers            | get   | False     |
      | answers 500              | get   | False     |
      | answers truncated JSON   | get   | False     |
      | answers a wrong document | get   | False     |
      | answers a list           | list  | False     |
      | answers truncated JSON   | watch | False     |
      | answers an empty object  | watch | False     |

  Scenario: One damaged record does not hide the others
    Guards against a damaged record that makes the whole list fail.
    Given a store that answers one valid and one damaged record
    When the instance makes a list call
    Then the call lists 1 record and counts "invalid_value"

  Scenario Outline: A failed read of the instance list is reported to the core
    Guards against an invalid instance list after which the list is never read
    again.
    Given a store that <behaves>
    When the instance reads the instance list
    Then the instance gets InstancesUnread

    Examples:
      | behaves                 |
      | refuses connections     |
      | answers 500             |
      | answers truncated JSON  |
      | answers an empty object |

  Scenario: An unchanged instance list is not sent again
    Guards against the transfer of 370 KB at each read of a list of 2,500
    instances.
    Given the store stand-in with one listed instance
    When the instance reads the instance list twice
    Then the instance gets InstancesListed and then InstancesUnchanged

  Scenario: Keys are percent-encoded
    Guards against a job id that changes the path or the query of the request.
    Given the store stand-in with one listed instance
    When a record with the key "jobs/a/b?c=d%20#e é" is written and read back
    Then the record was found under that key

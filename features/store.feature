Feature: Store adapter

  Scenario Outline: A failed call tells whether it may have taken effect
    Guards against a write reported as refused that landed, and against an
    answer of a wrong form that loses the call's outcome.
    Given a store that <behaves>
    When the instance makes a <call> call
    Then the call is unavailable and ambiguous is <ambiguous>

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
      | behaves                        | call   | ambiguous |
      | refuses connections            | get    | False     |
      | never answers                  | get    | False     |
      | answers 500                    | get    | False     |
      | answers truncated JSON         | get    | False     |
      | answers a wrong document       | get    | False     |
      | answers a list                 | list   | False     |
      | answers truncated JSON         | watch  | False     |
      | answers an empty object        | watch  | False     |

  Scenario: One damaged record does not hide the others
    Guards against a list that fails as a whole.
    Given a store that answers one good and one damaged record
    When the instance makes a list call
    Then the call lists 1 record and counts "invalid_value"

  Scenario Outline: A list of instances that cannot be read is no list
    Guards against an instance list of a wrong form that ends the reading.
    Given a store that <behaves>
    When the instance reads the list of instances
    Then the instance gets InstancesUnread

    Examples:
      | behaves                |
      | refuses connections    |
      | answers 500            |
      | answers truncated JSON |
      | answers an empty object |

  Scenario: An unchanged list is not sent again
    Guards against 370 KB for each read of a list of 2,500 instances.
    Given the store stand-in with one listed instance
    When the instance reads the list of instances twice
    Then the instance gets InstancesListed and then InstancesUnchanged

  Scenario: Keys are quoted
    Guards against a job id that names another key or a query.
    Given the store stand-in with one listed instance
    When a record with the key "jobs/a/b?c=d%20#e é" is written and read back
    Then the record was found under that key

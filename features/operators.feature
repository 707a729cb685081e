Feature: Operators' interface

  Scenario Outline: Invalid input is refused with a code and changes no state
    Guards against values that are silently converted, and against bodies that
    block the loop or cause a traceback.
    Given the operators' application of one instance
    When an operator sends <method> <path> with <body>
    Then the operator gets problem <status> with code <code>
    And the refusal was counted and no state changed

    Examples: bodies
      | method | path              | body             | status | code            |
      | POST   | /v1/jobs          | nothing          | 400    | invalid_message |
      | POST   | /v1/jobs          | truncated JSON   | 400    | invalid_message |
      | POST   | /v1/jobs          | a list           | 400    | invalid_message |
      | POST   | /v1/jobs          | NaN as run time  | 400    | invalid_message |
      | POST   | /v1/jobs          | text as a number | 400    | invalid_message |
      | POST   | /v1/jobs          | a missing field  | 400    | invalid_message |
      | POST   | /v1/jobs          | an unknown field | 400    | invalid_message |
      | POST   | /v1/jobs          | no tasks         | 400    | invalid_message |
      | POST   | /v1/jobs          | a job id with /  | 400    | invalid_message |
      | POST   | /v1/jobs          | a huge body      | 413    | body_too_large  |
      | PATCH  | /v1/configuration | deep nesting     | 400    | invalid_message |
      | PATCH  | /v1/configuration | deeper nesting   | 400    | invalid_message |
      | PATCH  | /v1/configuration | a list           | 400    | invalid_message |
      | PATCH  | /v1/configuration | no patch id      | 400    | invalid_message |
      | PATCH  | /v1/configuration | binary           | 400    | invalid_message |

    Examples: paths
      | method | path              | body    | status | code               |
      | GET    | /v1/nothing       | nothing | 404    | unknown_path       |
      | PUT    | /v1/jobs          | nothing | 405    | method_not_allowed |
      | DELETE | /v1/configuration | nothing | 405    | method_not_allowed |

  Scenario Outline: Every read-only route returns an answer
    Guards against a command without a handler in the core.
    Given the operators' application of one instance
    When an operator sends GET <path> with nothing
    Then the operator gets status <status> and the field "<field>"

    Examples:
      | path                     | status | field      |
      | /v1/configuration        | 200    | version    |
      | /v1/configuration/status | 200    | everywhere |
      | /v1/explain/a/b%20c      | 200    | decisions  |
      | /v1/workers              | 200    | workers    |
      | /v1/partitions           | 200    | partitions |
      | /readyz                  | 503    | reasons    |

  Scenario: A command without a handler is refused at once
    Guards against a call that waits for its time limit, because no part of the
    core gives a result.
    Given the operators' application of one instance
    When the core gets a command of an unknown type
    Then the command is refused as "not_supported"

  Scenario Outline: Without a result, only commands that change state are unknown
    Guards against a command that may have taken effect but is reported as
    refused.
    Given the operators' application of an instance that never answers
    When an operator sends <method> <path> with <body>
    Then the operator gets outcome <outcome> with status 504

    Examples:
      | method | path              | body          | outcome |
      | POST   | /v1/jobs          | a valid job   | unknown |
      | DELETE | /v1/jobs/a/b      | nothing       | unknown |
      | PATCH  | /v1/configuration | a valid patch | unknown |
      | GET    | /v1/workers       | nothing       | refused |

  Scenario: The journal is bounded and decisions have wall-clock times
    Guards against a journal that grows without bound, and against times that
    an operator can't compare between instances.
    Given a journal with 10000 decisions about "job-1" and long texts
    Then an explanation of "job-1" contains 4096 decisions
    And its decisions are in order, of "entry-1" and at wall-clock time

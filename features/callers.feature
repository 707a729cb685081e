Feature: Front end for callers

  Scenario Outline: <input> is refused with <code>
    Guards against invalid input that reaches the core or changes its state.
    When callers: <input> is sent
    Then callers: the answer is <status> <code> with ran not_run
    And callers: counter "<part>" of <code> is 1 and no request is in flight

    Examples:
      | input                         | status | code               | part     |
      | a deadline of 0               | 400    | bad_deadline       | callers  |
      | a deadline of soon            | 400    | bad_deadline       | callers  |
      | a deadline of -5              | 400    | bad_deadline       | callers  |
      | a deadline of 9999999         | 400    | bad_deadline       | callers  |
      | a key of 256 characters       | 400    | bad_key            | callers  |
      | an empty key                  | 400    | bad_key            | callers  |
      | a request id with a space     | 400    | bad_request_id     | callers  |
      | a body over the limit         | 413    | body_too_large     | callers  |
      | a chunked body over the limit | 413    | body_too_large     | callers  |
      | an unknown operation          | 404    | unknown_operation  | requests |
      | no key                        | 400    | missing_key        | requests |
      | an unknown path               | 404    | not_found          | callers  |
      | a GET                         | 405    | method_not_allowed | callers  |
      | bytes that are not HTTP       | 400    | malformed_request  | callers  |
      | a header without a name       | 400    | malformed_request  | callers  |

  Scenario Outline: An executor that <fault> causes <code>
    Guards against passing on an answer that is truncated, too long or belongs
    to another request, and against reporting "not run" without a proof.
    When callers: a request is sent to an executor that <fault>
    Then callers: the answer is <status> <code> with ran <ran>

    Examples:
      | fault                     | status | code             | ran     |
      | swaps answers             | 504    | crossed_answer   | unknown |
      | truncates answers         | 504    | truncated_answer | unknown |
      | omits the length          | 504    | truncated_answer | unknown |
      | answers 20000 bytes       | 504    | answer_too_long  | unknown |
      | closes connections early  | 504    | connection_lost  | unknown |
      | answers after the timeout | 504    | timeout          | unknown |
      | refuses everything        | 503    | executor_busy    | not_run |
      | is not listening          | 503    | connect_failed   | not_run |

  Scenario: Concurrent requests each get their own complete answer
    Guards against swapped or truncated answers on shared connections.
    When callers: 40 requests with different bodies are sent at once
    Then callers: each gets the complete answer to its body, with its id

  Scenario: A request ends when its caller disconnects
    Guards against requests that stay in flight after their caller has left.
    When callers: a caller disconnects while its request waits for a slot
    Then callers: nothing is in flight and counter "requests" of caller_gone is 1

  Scenario: A graceful shutdown completes the requests in flight
    Guards against answers that are lost when the server stops.
    When callers: a shutdown is requested while 8 requests run
    Then callers: all 8 are answered and a later one is refused with draining

  Scenario: The page for callers lists all reason codes
    Guards against a code that callers can't look up.
    Then callers: docs/callers.md lists exactly the codes, with their statuses

Feature: Malformed messages on the platform's connections

  Scenario: Responses that are no valid HTTP end in one reply each
    Guards against a call without a reply, after which the worker is never
    polled again or the lease never renewed.
    When the store and a worker answer with the malformed responses 1 to 400
    Then each call led to one reply and no exception

  Scenario: Requests that are no valid HTTP cost only their connection
    Guards against a process that stops serving, or that writes a traceback for
    each request of a faulty caller.
    When callers send the malformed requests 1 to 400
    Then no exception was reported, and no call is waiting
    And a valid request is answered

  Scenario: An invalid HEAD request is refused
    Guards against a traceback for each request of a faulty caller: the refusal
    has a body, which the response to a HEAD request must not have.
    When callers send an invalid HEAD request
    Then no exception was reported, and no call is waiting
    And a valid request is answered

  Scenario: Warnings beyond a limit are dropped and counted
    Guards against a process that spends its time on log lines about malformed
    requests, and against errors that are lost among informational lines.
    Given a log that has dropped informational lines
    When 1500 warnings are logged at once
    Then 1000 of them were written

Feature: Failing handlers of the batch core

  Scenario: Work goes on after any handler has failed
    Guards against a partition that hangs for good because one handler failed:
    the reply that it dropped, or the call that it did not make, was to lead to
    the next call.
    When the handlers of the events 1 and 2 of each kind fail
    Then all calls are answered, all jobs end and no task runs twice

  Scenario: Failures that come back do not multiply the repetitions
    Guards against an owner that spends its time on repetitions because one
    handler fails each time.
    Given an instance whose handlers fail before a repetition has succeeded
    Then one repetition is scheduled

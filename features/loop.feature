Feature: Loop of a process

  Scenario: Periodic work continues after an error in its handler
    Guards against a process that looks healthy but renews no lease and polls
    no worker any more. A periodic timer is started again by its own handler, so
    that one error in the handler ended it for good.
    Given a loop whose handler fails when the timer fires first
    When the timer fires
    Then the error is reported, and the timer is started again after 1 s
    When the timer fires
    Then the effects of its handler are performed

  Scenario: An error in one effect does not prevent the next ones
    Guards against a call that is never made because a log line failed.
    Given a loop whose first effect of an event fails
    When the event is handled
    Then the error is reported, and the second effect is performed

  Scenario: An event that is not a timer is not handled again after an error
    Guards against an answer that is applied twice.
    Given a loop whose handler fails for an event
    When the event is handled
    Then the error is reported, and no timer is started

  Scenario: An event whose handler failed is replaced by its failure
    Guards against work that ends for good with a reply that was dropped.
    Given a loop whose handler fails for an event that has a failure
    When the event is handled
    Then the error is reported, and the failure was handled instead

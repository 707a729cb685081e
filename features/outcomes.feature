Feature: Outcome of a request

  Scenario: Not run needs a proof
    Guards against telling a caller "not run" where that is not certain.
    When an outcome NotRun is built without a proof
    Then it is rejected

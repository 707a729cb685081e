Feature: Recovery

  Scenario: A mass restart costs calls in proportion to the instances
    Guards against a burst of store calls that grows faster than the fleet.
    When the costs of recovery are measured
    Then they grow at most linearly

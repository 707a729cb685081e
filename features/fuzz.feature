Feature: Random sequences

  Scenario: Random work and faults break no invariant
    Guards against combinations of faults that no recorded trace has.
    When random sequences are run
    Then none of them breaks an invariant or leaves work undone

Feature: Sets of task numbers

  Scenario: A set of ranges behaves as a set of numbers
    Guards against tasks that are lost or doubled where ranges meet.
    Then random additions and removals agree with a set of numbers

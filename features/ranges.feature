Feature: Sets of task numbers

  Scenario: A set of ranges behaves like a set of numbers
    Guards against task numbers that are lost or duplicated where ranges meet.
    Then random additions and removals agree with a set of numbers

@alone
Feature: Failures of real processes

  Scenario Outline: Processes: <run>
    Guards against faults that occur only with real sockets, signals and time.
    When all process runs have ended
    Then the process run "<run>" reported no failure

    Examples: fleet
      | run                 |
      | kill of an owner    |
      | pause past a lease  |
      | store outage        |
      | rolling replacement |
      | data centre cut off |

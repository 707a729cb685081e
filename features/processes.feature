@alone
Feature: Failures of real processes

  Scenario Outline: Processes: <run>
    Guards against faults that only sockets, signals and real time show.
    When the process runs are made
    Then the process run "<run>" ended as stated

    Examples: fleet
      | run                 |
      | kill of an owner    |
      | pause past a lease  |
      | store outage        |
      | rolling replacement |
      | data centre cut off |

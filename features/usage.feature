Feature: Learned resource usage

  Scenario Outline: The reservation is the larger of declared and learned size
    Guards against overloaded workers if tasks use more than they declare, and
    against a reservation that exceeds the largest worker.
    Given learned usage of 30 tasks that use <used> millicores each
    Then a task that declares <declared> millicores reserves about <reserved>

    Examples:
      | used  | declared | reserved |
      | 4000  | 400      | 4000     |
      | 400   | 4000     | 4000     |
      | 90000 | 4000     | 32000    |

  Scenario: A kind without measurements reserves what it declares
    Guards against an empty reservation for a kind without samples.
    Given learned usage of 0 tasks that use 0 millicores each
    Then a task that declares 700 millicores reserves about 700

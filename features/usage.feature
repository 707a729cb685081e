Feature: Learned usage and run time

  Scenario Outline: The reservation is the larger of declared and learned size
    Guards against overload by tasks that declare too little.
    Given learned usage of 30 tasks that use <used> millicores each
    Then a task that declares <declared> millicores reserves about <reserved>

    Examples:
      | used  | declared | reserved |
      | 4000  | 400      | 4000     |
      | 400   | 4000     | 4000     |
      | 90000 | 4000     | 32000    |

  Scenario: A kind without measurements reserves what it declares
    Guards against a reservation of nothing for a new kind.
    Given learned usage of 0 tasks that use 0 millicores each
    Then a task that declares 700 millicores reserves about 700

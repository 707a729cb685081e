Feature: Health polls of executors

  Scenario Outline: A leaving executor gets no new requests after 3 s
    Guards against requests that are sent to an executor about to stop.
    Given health: <entries> entry instances of one data centre, seed <seed>
    And health: <load> requests in a second
    When health: an executor starts to leave
    Then health: after 3 s it starts no request and every instance knows it
    And health: each executor was polled once a second

    Examples:
      | entries | load | seed |
      | 1       | 0    | 80   |
      | 3       | 0    | 81   |
      | 8       | 400  | 82   |

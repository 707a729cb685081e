Feature: Executors that leave

  Scenario Outline: A leaving executor gets no new work after 3 s
    Guards against work for a server that is about to stop.
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

Feature: Evictions for urgent work

  Background:
    Given a full worker with the running batch tasks
      | task | urgency | cores | checkpoint | run_s |
      | 0    | 0       | 4     | no         | 500   |
      | 1    | 0       | 4     | yes        | 500   |
      | 2    | 6       | 4     | yes        | 1     |
      | 3    | 0       | 2     | no         | 2     |

  Scenario Outline: The least work is lost
    Guards against evictions that throw away hours of work, or too many tasks.
    Then urgent work of <cores> processors evicts <victims>

    Examples:
      | cores | victims |
      | 4     | 1       |
      | 2     | 3       |
      | 6     | 1 3     |
      | 12    | nothing |

  Scenario: The floor of lower work is kept
    Guards against urgent overload that starves all other work.
    When lower work may lose only 3 processors
    Then urgent work of 2 processors evicts 3
    And urgent work of 4 processors evicts nothing

  Scenario: Room under eviction belongs to the urgent task
    Guards against lower work that takes the room before the urgent task does.
    When room of 4 processors is claimed for an urgent task
    Then a claim of 4 processors counts for urgency 0 until 3 s have passed
    And no claim counts for urgency 7

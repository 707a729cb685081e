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

  Scenario: The floor of non-urgent work is kept
    Guards against urgent overload that starves all other work.
    When non-urgent work may lose only 3 processors
    Then urgent work of 2 processors evicts 3
    And urgent work of 4 processors evicts nothing

  Scenario: Capacity that an eviction frees is claimed for the urgent task
    Guards against less urgent work that uses the freed capacity first.
    When 4 processors are claimed for an urgent task
    Then 4 processors are withheld from urgency 0 until 3 s have passed
    And nothing is withheld from urgency 7

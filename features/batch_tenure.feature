Feature: Bounds of an owner without a confirmed ownership

  Scenario Outline: The stored roster decides whether an owner may act
    Guards against tasks that run twice: a successor calls the workers that the
    stored roster names, while the former owner has replaced one, has given one up
    or does not know whether the store has its last roster.
    Given an owner of two workers that have just answered
    When it loses the store and <event>
    Then it <acts> 2.6 s after its last confirmation

    Examples:
      | event                                             | acts               |
      | both workers answer                               | acts on            |
      | one worker is silent                              | acts no more       |
      | one worker has been given up                      | acts no more       |
      | one worker has started again                      | acts no more       |
      | a worker joins that no roster names               | acts on            |
      | a silent worker joins whose roster got no answer  | acts no more       |
      | an answer from before is handled late             | acts no more       |

  Scenario: No owner acts without the store forever
    Guards against tasks that run twice: a successor that reaches none of the
    workers starts their tasks elsewhere after a time, while the former owner still
    reaches all of them.
    Given an owner of two workers that have just answered
    When it loses the store and both workers answer for 60 s
    Then its last lease ends before a successor without contact starts anything

  Scenario: A task whose worker fell silent starts after a confirmation
    Guards against tasks that run twice: the leases of a silent worker have expired
    as far as its owner knows, but a successor that the owner has not noticed
    reaches the worker and has extended them.
    Given an owner of two workers that have just answered
    And a task that runs on one of them
    When that worker is silent until its lease has expired
    Then the owner renews its store lease at once and starts nothing
    When that renewal is confirmed
    Then the owner starts the task on the other worker

  Scenario Outline: The time without an owner counts from the last owner
    Guards against tasks that run twice: an owner has come and gone since this
    instance learned that the partition had none, so that its leases end later.
    Given an owner that knew of the vacancy 10 s before, at a revision <order> the roster
    Then it counts <seconds> s without an owner

    Examples:
      | order  | seconds |
      | after  | 10      |
      | before | 0       |

  Scenario Outline: The time without an owner counts whatever shows the new key
    Guards against a successor that waits longer for former runs, as a watch
    shows its owner key before the write that creates it is answered.
    Given an instance that acquires a partition which it knew to be vacant for 2 s
    When <event> the write of its owner key is answered
    Then it counts 2 s without an owner

    Examples:
      | event                             |
      | only                              |
      | its owner key is read just before |

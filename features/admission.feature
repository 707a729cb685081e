Feature: Admission of requests

  Scenario Outline: <other> keeps its share while <overloaded> is in overload
    Guards against a class that gets no slots while another is in overload.
    Given admission: 2 entry instances and 4 executors with seed <seed>
    When admission: <overloaded> arrives at 10 times and <other> at <load> of capacity
    Then admission: at least <share>% of <other> are answered
    And admission: at least 90% of the capacity is answered in time

    Examples:
      | overloaded | other   | load | share | seed |
      | report     | compute | 0.45 | 99    | 60   |
      | compute    | report  | 0.15 | 99    | 61   |
      | assign     | report  | 0.15 | 99    | 62   |
      | report     | compute | 2.0  | 25    | 63   |

  Scenario Outline: A request with <deadline> s left behind a queue is shed
    Guards against attempts whose answer would come after the deadline, and
    against a refusal without the proof that nothing was sent.
    Given admission: 1 entry instances and 1 executors with seed 64
    And admission: a run takes <run> s and 8 requests hold the slots
    When admission: 300 requests with <deadline> s left arrive at once
    Then admission: every request not run has the proof NeverSent
    And admission: the refusals are <codes>
    And admission: no answer came after its deadline

    Examples:
      | deadline | run  | codes                          |
      | 0.2      | 0.02 | deadline_unmeetable,queue_full |
      | 9        | 0.02 | queue_full                     |
      | 0.2      | 1.5  | deadline_unmeetable,queue_full |

  Scenario: The newest requests are served first above saturation
    Guards against a queue in which every request waits until it is too late.
    Given admission: 1 entry instances and 1 executors with seed 65
    When admission: compute arrives at 3 times and report at 0 of capacity
    Then admission: half of the answers take at most 0.1 s

  Scenario: A slow store takes no slots from repeatable requests
    Guards against requests that occupy a slot while they wait for a claim.
    Given admission: 1 entry instances and 1 executors with seed 66
    And admission: store calls that take 1 s
    When admission: assign arrives at 10 times and compute at 0.8 of capacity
    Then admission: at least 99% of compute are answered

  Scenario: Few keys are claimed for requests that get no slot in time
    Guards against store writes that grow with the offered load.
    Given admission: 1 entry instances and 1 executors with seed 67
    When admission: assign arrives at 10 times and report at 0 of capacity
    Then admission: there are at most 2.2 store writes for each answer

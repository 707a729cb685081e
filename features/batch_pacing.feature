Feature: Pace of opportunistic runs

  Scenario Outline: An image begins to disturb a serving task
    Guards against a serving task that stays over its target for seconds while
    opportunistic runs beside it work on: measurements of an overloaded task
    teach the owner nothing, and its paces followed the load that it had
    predicted before, and even rose.
    Given a serving task with load <load>, swing <swing>, seed <seed>
    And six runs of image "loud", which did not disturb it for <calm> s
    When the interference of image "loud" rises to <interference>
    Then the serving task is never over its target for 2.5 s beside working runs

    Examples:
      | seed | load | swing | calm | interference |
      | 2    | 0.4  | 0.5   | 17   | 4.0          |
      | 1    | 0.3  | 0.3   | 12   | 5.0          |
      | 2    | 0.4  | 0.0   | 17   | 5.0          |
      | 1    | 0.3  | 0.5   | 12   | 9.0          |

  Scenario: A worker that is unhealthy for a moment refuses paces
    Guards against runs that work on at full pace beside a serving task over its
    target, because a pace that was refused counted as set.
    Given a serving task with load 0.3, swing 0.0, seed 1
    And six runs of image "loud", which did not disturb it for 12 s
    When the interference of image "loud" rises to 9.0
    And the worker refuses all calls for 2 s, as it is unhealthy
    Then the serving task is never over its target for 2.5 s beside working runs

  Scenario: A pace that got no answer is carried out late
    Guards against runs that work on at full pace beside a serving task over its
    target, because an older command reached the worker after the newest one.
    Given a serving task with load 0.3, swing 0.0, seed 1
    And six runs of image "loud", which did not disturb it for 12 s
    When the interference of image "loud" rises to 9.0
    And the load of the serving task rises to 0.74 for 10 s
    Then all runs of image "loud" have a pace of 0
    When an older command sets their paces to 100 percent
    Then the serving task is never over its target for 3 s beside working runs

  Scenario Outline: The successor of an owner that paced runs down
    Guards against accepted work that never ends: a new owner took the runs that
    it adopted to work at full pace, wanted no other, and so sent none, while
    their former owner had paced them down.
    Given a serving task with load 0.3, swing 0.0, seed 1
    And six runs of image "loud", which did not disturb it for 12 s
    When the load of the serving task rises to <load> for 10 s
    Then all runs of image "loud" work at less than full pace
    When the owner <event> and the load falls to 0.3
    And a new owner has had the worker for 12 s
    Then all runs of image "loud" have a pace of 100

    Examples:
      | load | event      |
      | 0.74 | is killed  |
      | 0.74 | shuts down |
      | 0.55 | is killed  |

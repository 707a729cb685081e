Feature: Typed view of the configuration

  Scenario Outline: A configuration with <fault> is refused
    Guards against invalid values that the typed view accepts: the string "false"
    was converted to true, and a zero time limit would mean no limit.
    When the body <body> is checked
    Then exactly one error names <name>

    Examples:
      | fault               | name              | body                                                            |
      | text for a boolean  | repeatable        | {"services": {"r": {"operations": {"o": {"repeatable": "false"}}}}} |
      | a zero time limit   | timeout_s         | {"services": {"r": {"operations": {"o": {"timeout_s": 0}}}}}    |
      | a low limit         | slowdown_limit    | {"services": {"r": {"slowdown_limit": 0.9}}}                    |
      | a floor above one   | floor             | {"request_classes": {"c": {"floor": 1.5}}}                      |
      | a zero weight       | weight            | {"request_classes": {"c": {"weight": 0}}}                       |
      | a zero queue limit  | queue_limit       | {"request_classes": {"c": {"queue_limit": 0}}}                  |
      | a fractional limit  | queue_limit       | {"request_classes": {"c": {"queue_limit": 1.5}}}                |
      | a negative quota    | cpu_millis        | {"teams": {"t": {"cpu_millis": -1}}}                            |
      | an unknown key      | quota             | {"teams": {"t": {"quota": 1}}}                                  |

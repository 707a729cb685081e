Feature: Typed view of the configuration

  Scenario Outline: A configuration with <fault> is refused
    Guards against values that the typed view takes but the system cannot use:
    the text "false" was taken for true, and a time of 0 means no limit.
    When the body <body> is checked
    Then exactly one fault names <name>

    Examples:
      | fault               | name              | body                                                            |
      | a text for a truth  | repeatable        | {"services": {"r": {"operations": {"o": {"repeatable": "false"}}}}} |
      | no time             | timeout_s         | {"services": {"r": {"operations": {"o": {"timeout_s": 0}}}}}    |
      | a low limit         | slowdown_limit    | {"services": {"r": {"slowdown_limit": 0.9}}}                    |
      | a floor above one   | floor             | {"request_classes": {"c": {"floor": 1.5}}}                      |
      | no weight           | weight            | {"request_classes": {"c": {"weight": 0}}}                       |
      | no queue            | queue_limit       | {"request_classes": {"c": {"queue_limit": 0}}}                  |
      | a part of a queue   | queue_limit       | {"request_classes": {"c": {"queue_limit": 1.5}}}                |
      | a negative quota    | cpu_millis        | {"teams": {"t": {"cpu_millis": -1}}}                            |
      | an unknown key      | quota             | {"teams": {"t": {"quota": 1}}}                                  |

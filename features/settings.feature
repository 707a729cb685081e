Feature: Settings of the daemon

  Scenario: All five errors of a settings file are reported
    Guards against a check that stops at the first error, so that an operator
    has to correct one at a time.
    Given a settings file with
      """
      instance_id: ""
      data_centre: sefrou
      callers_listen: localhost
      operators_listen: 127.0.0.1:8002
      peers_listen: 127.0.0.1:8003
      drain_s: -1
      log_level: loud
      colour: red
      store_address: 127.0.0.1:1
      """
    When the settings are checked by the daemon
    Then the daemon exits with code 3 and prints exactly these errors
      | path           | value       | allowed         |
      | instance_id    | is ''       | 1 to 200        |
      | callers_listen | 'localhost' | host:port       |
      | log_level      | 'loud'      | debug, info     |
      | drain_s        | is -1       | from 0.1 to     |
      | colour         | unknown     | instance_id     |

  Scenario Outline: An invalid value is reported with the name of its setting
    Guards against values that are silently converted to another type.
    Given valid settings with <name> set to <value>
    Then the settings have one error, at <name>

    Examples:
      | name            | value                |
      | drain_s         | true                 |
      | drain_s         | "30"                 |
      | drain_s         | .nan                 |
      | drain_s         | .inf                 |
      | max_body_bytes  | 1.5                  |
      | max_body_bytes  | 10                   |
      | notice_s        | -1                   |
      | seed_peers      | [a]                  |
      | seed_peers      | {a: b}               |
      | instance_id     | 7                    |
      | data_centre     | a/b                  |
      | log_level       | [info]               |
      | peers_listen    | "127.0.0.1:0"        |
      | peers_listen    | "127.0.0.1:99999"    |
      | peers_listen    | "127.0.0.1:8001"     |

  Scenario Outline: A file that does not contain a map is refused
    Guards against a parser error that the operator sees as a traceback.
    Given a settings file with the content <content>
    When the settings are checked by the daemon
    Then the daemon exits with code 3 and no traceback

    Examples:
      | content  |
      | 7        |
      | [1, 2]   |
      | {a: [    |
      | @        |
      | \xff\xfe |

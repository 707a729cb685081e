Feature: Operators' command-line tool

  Scenario: Commands against a running deployment
    Guards against output and exit codes that differ from those in the help.
    Given a running deployment for the operators' tool
    Then these commands exit with the code and print the text
      | command                                                        | code | text                       |
      | configuration status                                           | 0    | version 0 is in force in 1 |
      | configuration patch BAD --base-version 0                       | 5    | configuration_invalid      |
      | configuration patch LIST --base-version 0                      | 2    | allowed: an object         |
      | configuration patch GOOD --base-version 0 --preview            | 0    | teams.press.cpu_millis     |
      | configuration patch GOOD --base-version 0 --wait --wait-s 30   | 0    | in force in 1 of 1         |
      | configuration patch GOOD --base-version 0                      | 5    | version_conflict           |
      | configuration show                                             | 0    | cpu_millis: 9000           |
      | --output json configuration show                               | 0    | "version": 1               |
      | explain configuration                                          | 0    | adopt                      |
      | job list --data-centre sefrou                                  | 0    | none                       |
      | job submit tally JOB --wait --wait-s 60                        | 0    | finished                   |
      | job submit tally JOB                                           | 5    | duplicate_job              |
      | job submit big JOB --memory-mb 999999999                       | 5    | job_too_large              |
      | job submit a/b JOB                                             | 5    | job_id                     |
      | job show tally --data-centre sefrou                            | 0    | finished_tasks             |
      | job list --data-centre sefrou                                  | 0    | tally                      |
      | job show none --data-centre sefrou                             | 5    | unknown_job                |
      | job cancel none --data-centre sefrou                           | 5    | unknown_job                |
      | job submit long JOB --run-s 600 --wait --wait-s 2              | 8    | not reached within 2 s     |
      | job cancel long --data-centre sefrou                           | 0    | long                       |
      | job show long --data-centre sefrou --wait --wait-s 60          | 9    | cancelled                  |
      | job submit                                                     | 2    | Missing argument           |
      | job submit x JOB --tasks 0                                     | 2    | --tasks                    |
      | --output xml job list                                          | 2    | --output                   |

  Scenario Outline: A missing or invalid answer has an exit code of its own
    Guards against a lost answer that is reported as a refusal.
    Given an operators' address that <behaves>
    Then the command "<command>" exits with code <code> and prints "<text>"

    Examples:
      | behaves                  | command                                   | code | text       |
      | refuses connections      | configuration show                        | 4    | unreachable |
      | refuses connections      | configuration patch GOOD --base-version 0 | 4    | unreachable |
      | closes after the request | configuration show                        | 4    | unreachable |
      | closes after the request | configuration patch GOOD --base-version 0 | 7    | --patch-id |
      | closes after the request | job cancel x --data-centre y              | 7    | outcome_unknown |
      | answers text             | configuration show                        | 4    | without a JSON object |

  Scenario: The help lists all exit codes
    Guards against an exit code that the help does not explain.
    When the help of the tool and of the daemon are read
    Then every exit code of the error classes is in one of them

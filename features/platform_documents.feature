Feature: Documents of the platform

  Scenario: Settings are decoded and unknown fields are ignored
    Guards against a process that does not start when the platform adds a field.
    Given the platform's settings with the extra line "new.field=1"
    Then the settings contain data centre "sefrou", 0.86 processors and a lease of 6 s

  Scenario: The rack of a worker is its second label
    Guards against workers of one rack that are commanded by different
    instances.
    Given a worker's entry in the platform's list
    Then it belongs to partition "sefrou/r1-3" of two racks

  Scenario Outline: Invalid settings are refused with the name of the field
    Guards against a process that runs with invalid settings.
    Given the platform's settings with "<name>" set to "<value>"
    Then the settings are refused naming "<name>"

    Examples:
      | name               | value   |
      | node               |         |
      | bounds.hold_max_ms | soon    |
      | bounds.stop_ms     | -1      |
      | platform.address   |         |
      | bounds.hold_max_ms | inf     |
      | bounds.hold_max_ms | nan     |
      | bounds.hold_max_ms | 1e400   |
      | bounds.stop_ms     | 1e300   |
      | limits.cpu_share   | inf     |
      | limits.cores       | 1e300   |
      | platform.address   | store   |
      | platform.address   | h:99999 |

  Scenario Outline: An invalid entry in the list is not taken for a worker
    Guards against tasks for an entry that no worker wrote.
    Given a worker's entry with "<field>" set to <value>
    Then the entry is refused

    Examples:
      | field    | value     |
      | state    | "broken"  |
      | service  | 7         |
      | address  | "nowhere" |
      | capacity | []        |
      | born     | "today"   |

  Scenario Outline: An entry with <field> <value> names no usable worker
    Guards against calls that fail each time, against capacity that no worker
    has or that cannot be written, and against partitions whose name is no key
    of the store.
    Given a worker's entry with "<field>" set to <value>
    Then the entry is refused

    Examples: addresses to which no call can be made
      | field   | value               |
      | address | "10.0.0.1:99999"    |
      | address | "10.0.0.1:65536"    |
      | address | "10.0.0.1:0"        |
      | address | "10.0.0.1:-1"       |
      | address | "10.0.0.1:"         |
      | address | "10.0.0.1:http"     |
      | address | "10.0.0.1:\u0663"   |
      | address | ":80"               |
      | address | "a b:80"            |
      | address | "a..b:80"           |
      | address | "user@host:80"      |
      | address | "host:80/path:80"   |
      | address | "[::1:80"           |
      | address | "host\r\n:80"       |

    Examples: amounts
      | field    | value                         |
      | capacity | {"cpu": -1}                   |
      | capacity | {"mem_mb": -1}                |
      | capacity | {"gpu": -9223372036854775808} |
      | capacity | {"cpu": 4294967296}           |
      | capacity | {"cpu": 4611686018427387904}  |
      | capacity | {"cpu": 18446744073709551615} |
      | born     | -1                            |
      | born     | 9007199254740992              |
      | born     | 9223372036854775808           |

    Examples: names
      | field   | value            |
      | zone    | ""               |
      | zone    | "a/b"            |
      | zone    | "a\nb"           |
      | service | ""               |
      | labels  | ["a", 7]         |
      | labels  | ["a", null]      |
      | labels  | ["a", ["r1"]]    |
      | labels  | ["a", {"r": 1}]  |
      | labels  | ["a", "r/1"]     |
      | labels  | "ar"             |

  Scenario Outline: An entry with a <field> of <length> bytes is refused
    Guards against keys of more than 200 bytes, which the store refuses, and
    against a rack whose number no longer converts, which fails in the core and
    hides all workers.
    Given a worker's entry with a <field> of <length> bytes
    Then the entry is refused

    Examples:
      | field | length  |
      | rack  | 81      |
      | rack  | 4301    |
      | rack  | 1000000 |
      | zone  | 81      |
      | zone  | 1000000 |

  Scenario: The longest names of a worker's entry fit into the keys
    Guards against a partition whose records the store refuses.
    Given a worker's entry with the longest zone and rack
    Then no key of its partition is longer than 200 bytes

  Scenario Outline: The address <address> is that of a worker
    Guards against workers that are skipped because of an unusual address.
    Given a worker's entry with "address" set to "<address>"
    Then a call to the address can be made

    Examples:
      | address              |
      | 127.0.0.1:1          |
      | 127.0.0.1:65535      |
      | [::1]:8080           |
      | worker-1.example:80  |
      | localhost:80         |

  Scenario Outline: A worker with the id <name> is skipped
    Guards against a header that cannot be sent, so that each call fails.
    Then an entry with the id <name> is refused

    Examples:
      | name       |
      | ""         |
      | "w\r\nX: 1" |

  Scenario: A worker's entry is decoded
    Guards against fields that are confused with each other.
    Given a worker's entry
    Then the worker has 16000 thousandths of a core and label "r1-3"

  Scenario Outline: A body that does not describe a job is refused
    Guards against jobs that are accepted but can never run.
    Then the body <body> is refused

    Examples:
      | body                                              |
      | []                                                |
      | {"spec": 1, "steps": []}                          |
      | {"spec": "x", "steps": [{"cpu": 1}]}              |
      | {"spec": "x", "steps": [{"count": 1, "cpu": -1}]} |
      | {"spec": "x", "steps": [{"count": true}]}         |
      | {"spec": "x", "steps": [7]}                       |
      | {"spec": "x", "steps": {"count": 1}}              |

  Scenario Outline: A step with <field> <value> is refused
    Guards against figures that exceed what the core and the store can carry.
    Then a step with "<field>" set to <value> is refused

    Examples:
      | field         | value                |
      | count         | -1                   |
      | count         | 9223372036854775807  |
      | cpu           | 4294967296           |
      | cpu           | 18446744073709551615 |
      | mem_mb        | 9223372036854775807  |
      | gpu           | -1                   |
      | estimated_ms  | -1                   |
      | estimated_ms  | 1e300                |
      | anti_affinity | -1                   |
      | target_ms     | -1                   |
      | target_ms     | 9223372036854775807  |
      | may_miss      | -1                   |
      | after         | [-1]                 |
      | after         | ["0"]                |
      | image         | 7                    |

  Scenario: An image name of 201 bytes is refused
    Guards against an interference record that no longer fits into a value of
    the store, because it contains the names of all images.
    Then a job whose image has a name of 201 bytes is refused

  Scenario Outline: A body that cannot be written to the store is refused
    Guards against a call that fails at each attempt as if the store were
    unavailable.
    Then a call with the body <body> is refused before it reaches the core

    Examples:
      | body                                               |
      | {"spec": "\ud800", "steps": [{"count": 1}]}        |
      | {"spec": "x", "steps": [{"count": 18446744073709551616}]} |

  Scenario: The rows of a listing are decoded
    Guards against items of a row that are confused with each other.
    Given a listing with a running and an ended task
    Then the running task has number 2, checkpoint "c1", 41 percent, measurement 7
    And the ended task has position 58 and was done

  Scenario: A listing of a later incarnation of a worker is rejected
    Guards against using the listing of a restarted worker, which does not
    contain the runs and ends from before the restart.
    Given a listing of a later incarnation of the worker
    Then the reply is a rejection with the reason "reborn"

  Scenario: Owner keys and job records in one list are each decoded as such
    Guards against owner keys that an owner skips as unreadable when it reads
    them together with job records.
    Given a list of an owner key, a job record and an unreadable value
    Then the owner key and the job record are decoded as such
    And the unreadable value is logged and skipped

  Scenario Outline: A list with an entry nested <depth> deep is read
    Guards against a read that ends with RecursionError and is never repeated.
    Given the store lists a valid worker and an entry nested <depth> deep
    When the list of workers is read twice
    Then each read passes on the valid worker
    And the entry "w-2" was logged once, in at most 300 characters

    Examples:
      | depth  |
      | 65     |
      | 900    |
      | 1010   |
      | 1022   |
      | 1024   |
      | 100000 |

  Scenario Outline: A configuration nested <depth> deep ends only its own read
    Guards against a configuration that is never read again, because the read
    ended with RecursionError.
    Given the store holds a configuration nested <depth> deep
    When the configuration is read
    Then the core is told that no configuration was read

    Examples:
      | depth |
      | 65    |
      | 1010  |
      | 1022  |

  Scenario Outline: A stored record nested <depth> deep is skipped
    Guards against an owner that no longer follows its partition, because a call
    to the store ended without a reply.
    Given the store has an owner key and a record nested <depth> deep
    When the owner lists and follows the records of its partition
    Then both replies contain the owner key only

    Examples:
      | depth |
      | 65    |
      | 1010  |
      | 1020  |

  Scenario Outline: A worker's answer with a <part> nested <depth> deep is refused
    Guards against a call without a reply, after which the worker is never
    polled again.
    Given a worker that answers with a <part> nested <depth> deep
    When the worker is polled
    Then the reply is NoAnswer, in at most 300 characters

    Examples:
      | part       | depth |
      | clock      | 1010  |
      | task       | 1010  |
      | number     | 1010  |
      | reason     | 1010  |
      | reason     | 1022  |
      | end        | 65    |
      | body       | 1024  |

  Scenario Outline: A submission with a spec nested <depth> deep is refused
    Guards against a caller's call that ends with RecursionError instead of an
    answer.
    When a submission with a spec nested <depth> deep is served
    Then the call is answered with status 400

    Examples:
      | depth |
      | 65    |
      | 1010  |
      | 1023  |

  Scenario Outline: An item that is read again is decoded only if it changed
    Guards against instances that spend their processor time on decoding the
    same hundreds of routes and workers each second, and against a change that
    is hidden by what was decoded before.
    Given the store's list of workers and configuration were read
    When they are read again with <change>
    Then the second read passes on <documents>

    Examples:
      | change             | documents     |
      | the same revisions | the same ones |
      | new revisions      | new ones      |
      | no revisions       | new ones      |

  Scenario: A heartbeat does not cause an entry to be decoded again
    Guards against instances that decode the entries of all workers in each
    read, because each heartbeat changes the revision of an entry, and against
    an announced departure that is hidden by what was decoded before.
    Given the list of workers was read with heartbeat 1 in state "ready"
    When it is read again with heartbeat 2 in state "ready"
    Then the entry of the first read is passed on
    When it is read again with heartbeat 3 in state "draining"
    Then a new entry is passed on

  Scenario Outline: An item of a list that is <item> costs only itself
    Guards against a list that is never read again, and against an owner that
    no longer follows its partition, because of one item.
    Given a store whose lists contain the item <item> and valid ones
    When the list of workers is read twice
    Then each read passes on the valid worker
    When the owner lists and follows the records of its partition
    Then both replies contain the owner key only

    Examples:
      | item                                      |
      | 7                                         |
      | null                                      |
      | []                                        |
      | {}                                        |
      | {"key": "servers/x"}                      |
      | {"key": 5, "value": "e30="}               |
      | {"key": "servers/x", "value": 5}          |
      | {"key": "servers/x", "value": "e30"}      |
      | {"key": "servers/x", "value": "*e30=*"}   |
      | {"key": "servers/x", "value": "\u00e9"}   |
      | {"key": ["servers/x"], "removed": true}   |

  Scenario: A list whose next page is the same page again is not read further
    Guards against a read that never ends.
    Given a store that announces a further page with each page
    When the list of workers is read
    Then the core is told that the list was not read

  Scenario Outline: A worker's answer <status> with <fields> is refused
    Guards against figures and reasons that the core computes with or takes for
    its own, after which it loses the reply or the runs of the worker.
    Given a worker that answers <status> with <fields>
    When the worker is polled
    Then the reply is NoAnswer, in at most 300 characters

    Examples: figures
      | status | fields                                             |
      | 200    | "clock_ms": -1                                     |
      | 200    | "clock_ms": 9223372036854775807                    |
      | 200    | "clock_ms": 1e300                                  |
      | 409    | "clock_ms": "soon"                                 |
      | 503    | "clock_ms": []                                     |
      | 200    | "born": "5"                                        |
      | 200    | "running": [["a.0.0.0", -1, "", 0]]                |
      | 200    | "running": [["a.0.0.0", 9007199254740992, "", 0]]  |
      | 200    | "running": [["a.0.0.0", 1, "", 1e300]]             |
      | 200    | "running": [["a.0.-1.0", 1, "", 0]]                |
      | 200    | "running": ["abcd"]                                |
      | 200    | "running": {"a.0.0.0": 1}                          |
      | 200    | "ended": [[1e300, "a.0.0.0", 1, "done", ""]]       |
      | 200    | "ended": [[1, "a.0.0.0", 1, "finished", ""]]       |

    Examples: reasons
      | status | fields               |
      | 409    | "reason": "replaced" |
      | 409    | "reason": "reborn"   |
      | 409    | "reason": 7          |
      | 409    | "reason": null       |

    Examples: statuses that do not say whether the call was carried out
      | status | fields         |
      | 500    | "clock_ms": 5  |
      | 502    | "clock_ms": 5  |
      | 504    | "clock_ms": 5  |

  Scenario Outline: A run with <part> <value> is listed without it
    Guards against a rough figure or a checkpoint that cannot be stored, and
    against a worker whose runs are lost because of it.
    Given a worker that lists a run with the <part> <value>
    When the worker is polled
    Then the run is listed without a <part>

    Examples:
      | part        | value   |
      | measurement | -1      |
      | measurement | 1e300   |
      | measurement | "inf"   |
      | measurement | "nan"   |
      | measurement | [1]     |
      | measurement | true    |
      | checkpoint  | 7       |
      | checkpoint  | [["c"]] |
      | checkpoint  | {}      |

  Scenario: A checkpoint that is too long to be stored is not used
    Guards against the progress of a job that no longer fits into a value.
    Given a worker that lists a run with a checkpoint of 1025 bytes
    When the worker is polled
    Then the run is listed without a checkpoint

  Scenario: A worker that answers each call alike is logged once
    Guards against log lines with each poll that displace all others.
    Given a worker that answers 200 with "clock_ms": -1
    When the worker is polled 3 times
    Then 3 replies are passed on and 1 line is logged

  Scenario Outline: An unreadable item of <list> <item> costs only itself
    Guards against an instance that has no configuration, and no queues at all,
    because of one item.
    Given a configuration whose <list> contain <item> and valid ones
    When the configuration is read twice
    Then each read passes on the valid queue and service
    And 1 line is logged about the configuration

    Examples:
      | list     | item                                                 |
      | routes   | the item 7                                           |
      | routes   | the item null                                        |
      | routes   | the item ["q"]                                       |
      | routes   | the item {}                                          |
      | routes   | the item {"name": ["q"]}                             |
      | routes   | one with the field "advice" of 7                     |
      | routes   | one with the field "advice" of ["a"]                 |
      | routes   | one with the field "advice" of {"each_ms": "1"}      |
      | routes   | one with the field "stretch" of -1                   |
      | routes   | one with the field "stretch" of 1e300                |
      | routes   | one with the field "priority" of 9223372036854775807 |
      | routes   | one with the field "max_attempts" of -1              |
      | routes   | one with the field "target_latency_ms" of -5         |
      | services | the item 7                                           |
      | services | the item {"name": null}                              |
      | services | the item {"name": "s", "standby": 1}                 |

  Scenario Outline: A stored record with <field> <value> is skipped
    Guards against a record whose fields are converted into others without an
    error, and then fail in the core or in the next write.
    Given a stored job record with "<field>" set to <value>
    Then the record is skipped

    Examples:
      | field        | value                   |
      | spec         | [["x"]]                 |
      | spec         | 7                       |
      | partition    | null                    |
      | accepted_ms  | "12"                    |
      | accepted_ms  | 1.5                     |
      | first_number | true                    |
      | first_number | 9007199254740992        |
      | first_number | 18446744073709551615    |
      | has_progress | "no"                    |
      | steps        | "ab"                    |
      | steps        | {"count": 1}            |
      | steps        | [{"count": 1e300}]      |
      | moved        | [["0.1", 3]]            |
      | moved        | {"0.1": 3}              |
      | queue        | {"name": ["q"]}         |

  Scenario Outline: A stored <record> with <fields> is skipped
    Guards against figures in what owners publish that fail in the core of every
    other instance.
    Given a stored <record> with <fields>
    Then the record is skipped

    Examples:
      | record             | fields                                       |
      | SummaryRecord      | "fill_load": "nan"                           |
      | SummaryRecord      | "pending": {"q": "ab"}                       |
      | SummaryRecord      | "rooms": [{"cpu_millis": "1", "memory_mb": 1}] |
      | SummaryRecord      | "groups": {"s": [{"labels": [], "workers": 1, "cpu_millis": [1]}]} |
      | InterferenceRecord | "harms": [{"serving": "a", "filling": "b", "loss": "inf"}] |
      | ProgressRecord     | "steps": [{"done": "12"}]                    |
      | ProgressRecord     | "steps": [{"failed": {"1": ["2"]}}]          |
      | RosterRecord       | "generation": "3"                            |
      | StateRecord        | "queue": "q", "partition": "p", "state": ["accepted"] |
      | StateRecord        | "queue": "q", "partition": "p", "state": "gone" |

  Scenario Outline: A <record> of the version before is decoded
    Guards against an owner that skips what instances of the version before
    have written during a rolling upgrade, as it lacks the fields added since.
    Given a stored <record> with <fields>
    Then the record is decoded, and <field> is <value>

    Examples:
      | record        | fields                                                   | field       | value |
      | RosterRecord  | "generation": 3, "workers": ["w-1"]                      | withheld_ms | {}    |
      | RosterRecord  | "generation": 3, "workers": ["w-1"]                      | settled     | false |
      | RosterRecord  | "generation": 3, "workers": ["w-1"]                      | witnesses   | []    |
      | RosterRecord  | "generation": 3, "workers": ["w-1"]                      | entries     | []    |
      | ReleaseRecord | "released_generation": 2, "lease_ms": {"w-1": 900}       | lease_ms    | {"w-1": 900} |
      | SummaryRecord | "pending": {"q": ["a"]}, "offers": {"s": ["r1"]}         | workers     | {}    |
      | SummaryRecord | "pending": {"q": ["a"]}                                  | offers      | null  |
      | MovedTask     | "partition": "p", "first_number": 20001                  | tried       | []    |
      | StateRecord   | "queue": "q", "partition": "p", "state": "accepted"      | submitted   | true  |
      | StateRecord   | "queue": "q", "partition": "p", "state": "accepted"      | copies      | []    |
      | ProgressRecord | "steps": [{"done": [1]}]                                | steps       | [{"done": [1], "failed": {}, "checkpoints": {}}] |

  Scenario Outline: A <record> of the version after is decoded
    Guards against the same at the instances of the version before: they do not
    know a field that a later version has added.
    Given a stored <record> with <fields>, "added_later": {"w-1": [1]}
    Then the record is decoded, and <field> is <value>

    Examples:
      | record        | fields                                                   | field       | value |
      | RosterRecord  | "generation": 3, "withheld_ms": {"w-1": 900}             | withheld_ms | {"w-1": 900} |
      | ReleaseRecord | "released_generation": 2, "lease_ms": {"w-1": 900}       | lease_ms    | {"w-1": 900} |
      | SummaryRecord | "pending": {"q": ["a"]}, "workers": {"s": 2}             | workers     | {"s": 2} |
      | MovedTask     | "partition": "p", "first_number": 20001, "tried": ["p2"] | tried       | ["p2"] |

  Scenario: The state of a job is decoded as one of the known states
    Guards against a text in its place, which is identical to no state, so that
    a cancellation is answered without being stored.
    Given a stored state of a job that is accepted
    Then its state is the known state

  Scenario: A body over the limit is not read to its end
    Guards against a caller that fills the memory of the process.
    When a submission with a body of 64 MB is decoded
    Then at most 1 MB of it was read

  Scenario Outline: A deadline of <text> is <seconds> s
    Guards against a header that ends a call without an answer.
    Then a request with the deadline <text> may take <seconds> s

    Examples:
      | text                 | seconds |
      | 1500                 | 1.5     |
      | 99999999999999999999 | 60      |
      | -5                   | 3       |
      | soon                 | 3       |
      | 1e3                  | 3       |
      | 5000 digits          | 60      |
      | no text              | 3       |
      | superscript two      | 3       |

  Scenario Outline: A write answered 404 <what> is <outcome>
    Guards against a job that is accepted although no record of it was stored:
    for a write without a lease, 404 comes from something else than the store,
    such as another server at its address, and proves nothing.
    Given a store that answers each call with status 404
    When a key is written <what>
    Then the outcome of the write is <outcome>

    Examples:
      | what            | outcome                       |
      | without a lease | an unanswered write          |
      | with a lease    | the loss of the lease         |

  Scenario Outline: A list tells that the record <value> cannot be used
    Guards against an owner that takes a job whose record or progress cannot be
    read for one that was removed or has none.
    Given a store that lists a job record with <value>
    Then the list contains no record and names its key as unreadable

    Examples:
      | value                                         |
      | "job_id": 7                                   |
      | "job_id": "another"                           |
      | "steps": [{"count": 20001, "amount": {}}]     |
      | "steps": [{"count": -1, "amount": {}}]        |
      | "steps": [{"count": 1, "amount": {}, "after": [0]}] |
      | "steps": [{"count": 1, "amount": {"cpu_millis": -1}}] |

  Scenario: A call that the core never answers is answered
    Guards against a caller that waits without limit, and a call that is kept
    for ever, because an answer was lost with the effects of a failed handler.
    When a submission is served and the core does not answer it
    Then the call is answered with status 504
    And no call is waiting

  Scenario: A HEAD request does not submit a job
    Guards against a job that is submitted by a request that must have no
    effect.
    When a HEAD request with the body of a submission is decoded
    Then it asks for the state of the job

  Scenario Outline: A list whose pages are <pages> is not read
    Guards against a read that never ends and fills the memory, and against a
    list that lacks items and is taken as complete, after which workers and jobs
    seem to have gone.
    Given a store whose pages are <pages>
    When the list of workers is read
    Then the core is told that the list was not read

    Examples:
      | pages                      |
      | two that lead to each other |
      | empty but not the last      |

  Scenario: An unreadable item at the end of a page does not hide the next one
    Guards against one item that hides all others of a long list.
    Given a store whose first page ends with an unreadable item
    When the list of workers is read
    Then the workers of both pages are passed on

  Scenario: No read of the store may be answered with an older state
    Guards against a process that has just started and puts a withdrawn version
    of the configuration, or a worker that has left, in use again. Only a read
    that allows it is answered with an older state.
    When everything is read from the store
    Then no read allowed an older state

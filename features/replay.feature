Feature: Recorded traces
  Each scenario replays a trace under features/traces/. It checks the outcome
  that the trace states and all invariants after each event.

  Scenario: All traces are replayed
    Guards against a recorded trace that no scenario plays.
    Then every trace is replayed by a scenario

  Scenario: Non-repeatable requests: claim answer lost
    Guards against a claim that took effect and is made a second time or
    forgotten.
    Then the trace "requests/claim_answer_lost" holds

  Scenario: Non-repeatable requests: claim unconfirmed at deadline
    Guards against a claim without a run that blocks its key for the
    retention period.
    Then the trace "requests/claim_unconfirmed_at_deadline" holds

  Scenario: Non-repeatable requests: cut off data centre
    Guards against a cut-off data centre that runs non-repeatable requests.
    Then the trace "requests/cut_off_data_centre" holds

  Scenario: Non-repeatable requests: executor dies while running
    Guards against a retry of a non-repeatable request whose first run may
    have worked.
    Then the trace "requests/executor_dies_while_running" holds

  Scenario: Non-repeatable requests: key reused
    Guards against an answer to one body that is given to another.
    Then the trace "requests/key_reused" holds

  Scenario: Non-repeatable requests: killed after answer
    Guards against a second run when the answer was given but not yet
    recorded.
    Then the trace "requests/killed_after_answer" holds

  Scenario: Non-repeatable requests: killed after claim
    Guards against a repeat that runs although the first request may still
    run.
    Then the trace "requests/killed_after_claim" holds

  Scenario: Non-repeatable requests: killed after first byte
    Guards against a second run after the instance that sent the first one
    died.
    Then the trace "requests/killed_after_first_byte" holds

  Scenario: Non-repeatable requests: killed before claim
    Guards against an accepted request that runs after its instance died
    unclaimed.
    Then the trace "requests/killed_before_claim" holds

  Scenario: Non-repeatable requests: lost answers under load
    Guards against keys that run twice or get lost while every third store
    answer is lost.
    Then the trace "requests/lost_answers_under_load" holds

  Scenario: Non-repeatable requests: paused after claim
    Guards against an instance that sends after a pause what a repeat was
    told about.
    Then the trace "requests/paused_after_claim" holds

  Scenario: Non-repeatable requests: recorded answer
    Guards against a repeat that runs, or that is not given the recorded
    answer.
    Then the trace "requests/recorded_answer" holds

  Scenario: Non-repeatable requests: refused then repeated
    Guards against a claim that stays although its request was refused
    before it ran.
    Then the trace "requests/refused_then_repeated" holds

  Scenario: Non-repeatable requests: same key at once
    Guards against a race of four instances in two data centres for one key.
    Then the trace "requests/same_key_at_once" holds

  Scenario: Non-repeatable requests: same key other instance
    Guards against two instances that both run a request with one key.
    Then the trace "requests/same_key_other_instance" holds

  Scenario: Non-repeatable requests: slow store
    Guards against a claim that is confirmed after the deadline and then
    sent.
    Then the trace "requests/slow_store" holds

  Scenario: Non-repeatable requests: store down
    Guards against a non-repeatable request that runs unclaimed during an
    outage.
    Then the trace "requests/store_down" holds

  Scenario: Non-repeatable requests: store lost while claiming
    Guards against a claim in flight at the start of an outage that is taken
    for made.
    Then the trace "requests/store_lost_while_claiming" holds

  Scenario: A task never in two places: all entries restarted
    Guards against tasks that run twice after all entry instances restarted.
    Then the trace "tasks/all_entries_restarted" holds

  Scenario: A task never in two places: commands duplicated
    Guards against a delayed copy of a start command that runs a finished
    task again.
    Then the trace "tasks/commands_duplicated" holds

  Scenario: A task never in two places: commit after pause
    Guards against a paused owner whose late commit reverts that of its
    successor.
    Then the trace "tasks/commit_after_pause" holds

  Scenario: A task never in two places: commit answer lost
    Guards against completions that are committed twice or forgotten.
    Then the trace "tasks/commit_answer_lost" holds

  Scenario: A task never in two places: commit delayed
    Guards against a commit of an old owner that overwrites that of its
    successor.
    Then the trace "tasks/commit_delayed" holds

  Scenario: A task never in two places: data centre cut
    Guards against a cut-off data centre that stops its batch work or is
    taken over.
    Then the trace "tasks/data_centre_cut" holds

  Scenario: A task never in two places: delayed copies
    Guards against a refused late copy of a start command that hides that
    the other copy ran.
    Then the trace "tasks/delayed_copies" holds

  Scenario: A task never in two places: late refusal
    Guards against a late refusal of one attempt that is taken for one of
    the next.
    Then the trace "tasks/late_refusal" holds

  Scenario: A task never in two places: messages lost
    Guards against tasks that are lost or doubled while a third of all
    messages is lost.
    Then the trace "tasks/messages_lost" holds

  Scenario: A task never in two places: old owner keeps worker
    Guards against an owner without authority that renews the leases of the
    worker it reaches.
    Then the trace "tasks/old_owner_keeps_worker" holds

  Scenario: A task never in two places: owner cut from majority
    Guards against tasks of two silent workers that are started too early.
    Then the trace "tasks/owner_cut_from_majority" holds

  Scenario: A task never in two places: owner cut from store
    Guards against an owner that goes on under witnesses beside a new owner.
    Then the trace "tasks/owner_cut_from_store" holds

  Scenario: A task never in two places: owner cut from worker
    Guards against a task that is started elsewhere before its lease ended.
    Then the trace "tasks/owner_cut_from_worker" holds

  Scenario: A task never in two places: owner killed
    Guards against a task that the next owner starts while it still runs.
    Then the trace "tasks/owner_killed" holds

  Scenario: A task never in two places: owner killed before commit
    Guards against a finished task that runs again because its owner died.
    Then the trace "tasks/owner_killed_before_commit" holds

  Scenario: A task never in two places: owner killed in outage
    Guards against tasks that run twice after an owner died while the store
    was down.
    Then the trace "tasks/owner_killed_in_outage" holds

  Scenario: A task never in two places: owner killed while placing
    Guards against start commands in flight when their owner dies.
    Then the trace "tasks/owner_killed_while_placing" holds

  Scenario: A task never in two places: owner paused
    Guards against an owner that commands after a pause past its lease.
    Then the trace "tasks/owner_paused" holds

  Scenario: A task never in two places: owner paused while placing
    Guards against start commands of a paused owner that arrive after the
    takeover.
    Then the trace "tasks/owner_paused_while_placing" holds

  Scenario: A task never in two places: restarted worker not flooded
    Guards against start commands that are repeated without a pause to a
    restarted worker.
    Then the trace "tasks/restarted_worker_not_flooded" holds

  Scenario: A task never in two places: start command expired
    Guards against a start command that arrives after the task was started
    elsewhere.
    Then the trace "tasks/start_command_expired" holds

  Scenario: A task never in two places: store down
    Guards against batch work that stops during a long store outage.
    Then the trace "tasks/store_down" holds

  Scenario: A task never in two places: takeover with silent worker
    Guards against a new owner that does not wait for a worker that is cut
    off.
    Then the trace "tasks/takeover_with_silent_worker" holds

  Scenario: A task never in two places: two owners
    Guards against two owners after the store ended the lease of a live
    holder.
    Then the trace "tasks/two_owners" holds

  Scenario: A task never in two places: two owners cut off
    Guards against an owner without lease and store that goes on beside its
    successor.
    Then the trace "tasks/two_owners_cut_off" holds

  Scenario: A task never in two places: worker lost
    Guards against tasks of a worker that never returns and are not placed
    again.
    Then the trace "tasks/worker_lost" holds

  Scenario: A task never in two places: worker paused
    Guards against a paused worker whose tasks are started elsewhere within
    their lease.
    Then the trace "tasks/worker_paused" holds

  Scenario: A task never in two places: worker paused long
    Guards against a worker that goes on with old attempts after a long
    pause.
    Then the trace "tasks/worker_paused_long" holds

  Scenario: A task never in two places: worker restarted
    Guards against tasks of a restarted worker that are lost or counted as
    running.
    Then the trace "tasks/worker_restarted" holds

  Scenario: Capacity of workers: more than fits
    Guards against an entry instance that relies on the worker to refuse.
    Then the trace "capacity/more_than_fits" holds

  Scenario: Capacity of workers: start answer lost
    Guards against room that is given away because a start got no answer.
    Then the trace "capacity/start_answer_lost" holds

  Scenario: Capacity of workers: start command delayed
    Guards against room that is given away while a start command is under
    way.
    Then the trace "capacity/start_command_delayed" holds

  Scenario: Capacity of workers: takeover
    Guards against a new owner that places before it knows what runs.
    Then the trace "capacity/takeover" holds

  Scenario: Evicted work: answers lost
    Guards against lost acknowledgements that requeue a task twice.
    Then the trace "eviction/answers_lost" holds

  Scenario: Evicted work: commands duplicated
    Guards against duplicated stop commands that stop the next attempt.
    Then the trace "eviction/commands_duplicated" holds

  Scenario: Evicted work: crossed by cancellation
    Guards against a cancelled task that resumes after its eviction.
    Then the trace "eviction/crossed_by_cancellation" holds

  Scenario: Evicted work: crossed by completion
    Guards against an attempt that finishes while it is evicted and runs
    again.
    Then the trace "eviction/crossed_by_completion" holds

  Scenario: Evicted work: crossed by second
    Guards against a task that two evictions requeue.
    Then the trace "eviction/crossed_by_second" holds

  Scenario: Evicted work: crossed by takeover
    Guards against an eviction that a dead owner leaves half done.
    Then the trace "eviction/crossed_by_takeover" holds

  Scenario: Evicted work: crossed by takeover after stop
    Guards against a stopped task that is lost because its owner died.
    Then the trace "eviction/crossed_by_takeover_after_stop" holds

  Scenario: Evicted work: resumed
    Guards against evicted work that resumes twice or never.
    Then the trace "eviction/resumed" holds

  Scenario: Evicted work: worker restarted
    Guards against an eviction on a worker that restarts.
    Then the trace "eviction/worker_restarted" holds

  Scenario: Answers of executors: crossed
    Guards against an answer under another attempt's id that reaches that
    caller.
    Then the trace "answers/crossed" holds

  Scenario: Answers of executors: duplicated
    Guards against an answer that is handed on twice.
    Then the trace "answers/duplicated" holds

  Scenario: Answers of executors: late
    Guards against a late answer that is handed on a second time or to
    another request.
    Then the trace "answers/late" holds

  Scenario: Answers of executors: late non repeatable
    Guards against a second run or a second outcome after a timeout.
    Then the trace "answers/late_non_repeatable" holds

  Scenario: Answers of executors: no executor
    Guards against a caller who is told "unknown" or nothing where nothing
    was sent.
    Then the trace "answers/no_executor" holds

  Scenario: Answers of executors: one executor lost
    Guards against repeatable requests that fail although another executor
    serves.
    Then the trace "answers/one_executor_lost" holds

  Scenario: Answers of executors: overload
    Guards against a shed request that ran, or one without an answer.
    Then the trace "answers/overload" holds

  Scenario: Answers of executors: truncated
    Guards against a truncated answer that is handed on or a run that is
    denied.
    Then the trace "answers/truncated" holds

  Scenario: Configuration versions: answer lost
    Guards against a patch that is applied twice or denied because its
    answer was lost.
    Then the trace "configuration/answer_lost" holds

  Scenario: Configuration versions: documents delayed
    Guards against a delayed document that reverts a newer version.
    Then the trace "configuration/documents_delayed" holds

  Scenario: Configuration versions: old version
    Guards against a patch of an old version that is accepted.
    Then the trace "configuration/old_version" holds

  Scenario: Configuration versions: partition healed
    Guards against a healed data centre that stays behind or reverts the
    others.
    Then the trace "configuration/partition_healed" holds

  Scenario: Configuration versions: patch while cut off
    Guards against a patch through a cut-off data centre that is confirmed.
    Then the trace "configuration/patch_while_cut_off" holds

  Scenario: Configuration versions: peer messages lost
    Guards against a version that does not spread while half of all messages
    is lost.
    Then the trace "configuration/peer_messages_lost" holds

  Scenario: Configuration versions: racing operators
    Guards against two patches of one version that are both accepted.
    Then the trace "configuration/racing_operators" holds

  Scenario: Configuration versions: same patch twice
    Guards against a patch that an operator repeats and that is applied
    twice.
    Then the trace "configuration/same_patch_twice" holds

  Scenario: Configuration versions: started in outage
    Guards against an instance started in an outage that serves without a
    configuration.
    Then the trace "configuration/started_in_outage" holds

  Scenario: Configuration versions: store down
    Guards against a patch that is confirmed without the store.
    Then the trace "configuration/store_down" holds

  Scenario: Configuration versions: watchers killed
    Guards against a version that does not spread when the watching
    instances die.
    Then the trace "configuration/watchers_killed" holds

  Scenario: Leaving executors: instance started later
    Guards against an instance started long after an executor left that
    sends it work.
    Then the trace "membership/instance_started_later" holds

  Scenario: Leaving executors: leaving executor
    Guards against new work at a leaving executor that the list still shows
    as live.
    Then the trace "membership/leaving_executor" holds

  Scenario: Leaving executors: leaving executor and instance killed
    Guards against a leaving mark that is lost with the instance that saw it
    first.
    Then the trace "membership/leaving_executor_and_instance_killed" holds

  Scenario: Leaving executors: leaving executor returns
    Guards against a restarted executor that is kept out because of its old
    mark.
    Then the trace "membership/leaving_executor_returns" holds

  Scenario: Graceful shutdown: hand over
    Guards against a shutdown that leaves its partitions without an owner
    until the lease ends.
    Then the trace "shutdown/hand_over" holds

  Scenario: Graceful shutdown: in outage
    Guards against a shutdown during a store outage that never ends or loses
    tasks.
    Then the trace "shutdown/in_outage" holds

  Scenario: Graceful shutdown: rolling
    Guards against a rolling replacement that loses requests or runs tasks
    twice.
    Then the trace "shutdown/rolling" holds

  Scenario: Graceful shutdown: under load
    Guards against a graceful shutdown that interrupts a request in flight.
    Then the trace "shutdown/under_load" holds

  Scenario: Graceful shutdown: without owner
    Guards against a shutdown that fails while the instance is a candidate
    for a partition.
    Then the trace "shutdown/without_owner" holds

  Scenario: Combined faults: cut twice
    Guards against a data centre that is cut off, healed and cut off again
    during the takeover.
    Then the trace "combinations/cut_twice" holds

  Scenario: Combined faults: everything lossy
    Guards against losses, copies and delays together with a takeover.
    Then the trace "combinations/everything_lossy" holds

  Scenario: Combined faults: outage and owner paused
    Guards against an owner that wakes in an outage and is replaced after
    it.
    Then the trace "combinations/outage_and_owner_paused" holds

  Scenario: Combined faults: patch kill and outage
    Guards against a patch whose instance dies before the others know it.
    Then the trace "combinations/patch_kill_and_outage" holds

  Scenario: Combined faults: two takeovers
    Guards against an owner that is replaced twice while a worker is silent.
    Then the trace "combinations/two_takeovers" holds

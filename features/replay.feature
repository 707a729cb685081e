Feature: Recorded traces
  Each scenario replays a trace under features/traces/. It checks the outcome
  that the trace states and all invariants after each event.

  Scenario: All traces are replayed
    Guards against a recorded trace that no scenario plays.
    Then every trace is replayed by a scenario

  Scenario: Non-repeatable requests: claim answer lost
    Guards against a claim that is made twice or forgotten because the answer
    of the store was lost.
    Then the trace "requests/claim_answer_lost" holds

  Scenario: Non-repeatable requests: claim unconfirmed at deadline
    Guards against a claim without a run that blocks its key for the retention
    period.
    Then the trace "requests/claim_unconfirmed_at_deadline" holds

  Scenario: Non-repeatable requests: cut off data centre
    Guards against a data centre that runs non-repeatable requests while it is
    disconnected.
    Then the trace "requests/cut_off_data_centre" holds

  Scenario: Non-repeatable requests: executor dies while running
    Guards against a retry of a non-repeatable request whose first attempt may
    have run.
    Then the trace "requests/executor_dies_while_running" holds

  Scenario: Non-repeatable requests: key reused
    Guards against an answer that is given to a request with the same key but
    another body.
    Then the trace "requests/key_reused" holds

  Scenario: Non-repeatable requests: killed after answer
    Guards against a second run because the instance was killed before it
    recorded the answer.
    Then the trace "requests/killed_after_answer" holds

  Scenario: Non-repeatable requests: killed after claim
    Guards against a repeat that runs although the first request may still
    run.
    Then the trace "requests/killed_after_claim" holds

  Scenario: Non-repeatable requests: killed after first byte
    Guards against a second run because the instance that sent the first
    attempt was killed.
    Then the trace "requests/killed_after_first_byte" holds

  Scenario: Non-repeatable requests: killed before claim
    Guards against an accepted request that runs although its instance was
    killed before the claim.
    Then the trace "requests/killed_before_claim" holds

  Scenario: Non-repeatable requests: lost answers under load
    Guards against keys that run twice or get no outcome while 30% of the
    store's answers are lost.
    Then the trace "requests/lost_answers_under_load" holds

  Scenario: Non-repeatable requests: paused after claim
    Guards against a paused instance that sends a request after a repeat of it
    was answered.
    Then the trace "requests/paused_after_claim" holds

  Scenario: Non-repeatable requests: recorded answer
    Guards against a repeat that runs, or that does not get the recorded
    answer.
    Then the trace "requests/recorded_answer" holds

  Scenario: Non-repeatable requests: refused then repeated
    Guards against a claim that stays although its request was refused before
    it ran.
    Then the trace "requests/refused_then_repeated" holds

  Scenario: Non-repeatable requests: same key at once
    Guards against a key that runs more than once because four instances claim
    it concurrently.
    Then the trace "requests/same_key_at_once" holds

  Scenario: Non-repeatable requests: same key other instance
    Guards against two instances that both run a request with one key.
    Then the trace "requests/same_key_other_instance" holds

  Scenario: Non-repeatable requests: slow store
    Guards against a request that is sent although its claim was confirmed
    after the deadline.
    Then the trace "requests/slow_store" holds

  Scenario: Non-repeatable requests: store down
    Guards against a non-repeatable request that runs without a claim in a
    store outage.
    Then the trace "requests/store_down" holds

  Scenario: Non-repeatable requests: store lost while claiming
    Guards against a claim that counts as made although a store outage began
    while it was in flight.
    Then the trace "requests/store_lost_while_claiming" holds

  Scenario: A task never in two places: all entries restarted
    Guards against tasks that run twice because all entry instances restarted.
    Then the trace "tasks/all_entries_restarted" holds

  Scenario: A task never in two places: commands duplicated
    Guards against a delayed copy of a start command that runs a finished task
    again.
    Then the trace "tasks/commands_duplicated" holds

  Scenario: A task never in two places: commit after pause
    Guards against a late commit of a paused owner that overwrites the commit
    of its successor.
    Then the trace "tasks/commit_after_pause" holds

  Scenario: A task never in two places: commit answer lost
    Guards against finished tasks that are committed twice or forgotten
    because an answer of the store was lost.
    Then the trace "tasks/commit_answer_lost" holds

  Scenario: A task never in two places: commit delayed
    Guards against a delayed commit of a former owner that overwrites the
    commit of its successor.
    Then the trace "tasks/commit_delayed" holds

  Scenario: A task never in two places: data centre cut
    Guards against a data centre that stops its batch work, or loses its
    partitions, while it is disconnected.
    Then the trace "tasks/data_centre_cut" holds

  Scenario: A task never in two places: delayed copies
    Guards against a start that counts as refused because the worker refused a
    late copy of the command.
    Then the trace "tasks/delayed_copies" holds

  Scenario: A task never in two places: late refusal
    Guards against a late refusal of one attempt that is taken as a refusal of
    the next.
    Then the trace "tasks/late_refusal" holds

  Scenario: A task never in two places: messages lost
    Guards against tasks that are lost or run twice while 30% of all messages
    are lost.
    Then the trace "tasks/messages_lost" holds

  Scenario: A task never in two places: old owner keeps worker
    Guards against an owner without authority that renews the leases of a
    worker that it still reaches.
    Then the trace "tasks/old_owner_keeps_worker" holds

  Scenario: A task never in two places: owner cut from majority
    Guards against tasks of two unreachable workers that are started elsewhere
    too early.
    Then the trace "tasks/owner_cut_from_majority" holds

  Scenario: A task never in two places: owner cut from store
    Guards against an owner that keeps its authority by witnesses beside a new
    owner.
    Then the trace "tasks/owner_cut_from_store" holds

  Scenario: A task never in two places: owner cut from worker
    Guards against a task that is started elsewhere before its lease has
    expired.
    Then the trace "tasks/owner_cut_from_worker" holds

  Scenario: A task never in two places: owner killed
    Guards against a task that the new owner starts while a former attempt
    still runs.
    Then the trace "tasks/owner_killed" holds

  Scenario: A task never in two places: owner killed before commit
    Guards against a finished task that runs again because its owner was
    killed before the commit.
    Then the trace "tasks/owner_killed_before_commit" holds

  Scenario: A task never in two places: owner killed in outage
    Guards against tasks that run twice because their owner was killed in a
    store outage.
    Then the trace "tasks/owner_killed_in_outage" holds

  Scenario: A task never in two places: owner killed while placing
    Guards against tasks that run twice because their start commands are in
    flight as the owner is killed.
    Then the trace "tasks/owner_killed_while_placing" holds

  Scenario: A task never in two places: owner paused
    Guards against an owner that sends commands after a pause longer than its
    lease.
    Then the trace "tasks/owner_paused" holds

  Scenario: A task never in two places: owner paused while placing
    Guards against start commands of a paused owner that take effect after the
    takeover.
    Then the trace "tasks/owner_paused_while_placing" holds

  Scenario: A task never in two places: restarted worker not flooded
    Guards against start commands that are repeated to a restarted worker
    without a wait.
    Then the trace "tasks/restarted_worker_not_flooded" holds

  Scenario: A task never in two places: start command expired
    Guards against a delayed start command that takes effect after the task
    was started elsewhere.
    Then the trace "tasks/start_command_expired" holds

  Scenario: A task never in two places: store down
    Guards against batch work that stops during a long store outage.
    Then the trace "tasks/store_down" holds

  Scenario: A task never in two places: takeover with silent worker
    Guards against a new owner that does not wait for the leases of an
    unreachable worker.
    Then the trace "tasks/takeover_with_silent_worker" holds

  Scenario: A task never in two places: two owners
    Guards against two owners at once after the store expired the lease of a
    live owner.
    Then the trace "tasks/two_owners" holds

  Scenario: A task never in two places: two owners cut off
    Guards against an owner without lease and store that continues beside its
    successor.
    Then the trace "tasks/two_owners_cut_off" holds

  Scenario: A task never in two places: worker lost
    Guards against tasks that are never started again because their worker
    does not return.
    Then the trace "tasks/worker_lost" holds

  Scenario: A task never in two places: worker paused
    Guards against tasks of a paused worker that are started elsewhere before
    their leases have expired.
    Then the trace "tasks/worker_paused" holds

  Scenario: A task never in two places: worker paused long
    Guards against a worker that continues old attempts after a pause longer
    than their leases.
    Then the trace "tasks/worker_paused_long" holds

  Scenario: A task never in two places: worker restarted
    Guards against tasks of a restarted worker that are lost or still count as
    running.
    Then the trace "tasks/worker_restarted" holds

  Scenario: Capacity of workers: more than fits
    Guards against an entry instance that starts more tasks than fit and
    relies on the worker to refuse them.
    Then the trace "capacity/more_than_fits" holds

  Scenario: Capacity of workers: start answer lost
    Guards against capacity that is allocated twice because a start command
    got no answer.
    Then the trace "capacity/start_answer_lost" holds

  Scenario: Capacity of workers: start command delayed
    Guards against capacity that is allocated twice while a start command is
    in flight.
    Then the trace "capacity/start_command_delayed" holds

  Scenario: Capacity of workers: takeover
    Guards against a new owner that places tasks before it knows which ones
    run.
    Then the trace "capacity/takeover" holds

  Scenario: Evicted work: answers lost
    Guards against a task that is requeued twice because answers of its worker
    were lost.
    Then the trace "eviction/answers_lost" holds

  Scenario: Evicted work: commands duplicated
    Guards against a delayed copy of a stop command that stops the next
    attempt.
    Then the trace "eviction/commands_duplicated" holds

  Scenario: Evicted work: crossed by cancellation
    Guards against a cancelled task that resumes after its eviction.
    Then the trace "eviction/crossed_by_cancellation" holds

  Scenario: Evicted work: crossed by completion
    Guards against a task that runs again although it finished during its
    eviction.
    Then the trace "eviction/crossed_by_completion" holds

  Scenario: Evicted work: crossed by second
    Guards against a task that is requeued twice by two evictions.
    Then the trace "eviction/crossed_by_second" holds

  Scenario: Evicted work: crossed by takeover
    Guards against an eviction that stays incomplete because the owner was
    killed.
    Then the trace "eviction/crossed_by_takeover" holds

  Scenario: Evicted work: crossed by takeover after stop
    Guards against a stopped task that is lost because its owner was killed.
    Then the trace "eviction/crossed_by_takeover_after_stop" holds

  Scenario: Evicted work: resumed
    Guards against an evicted task that resumes twice or never.
    Then the trace "eviction/resumed" holds

  Scenario: Evicted work: worker restarted
    Guards against tasks that are lost or run twice because their worker
    restarts during an eviction.
    Then the trace "eviction/worker_restarted" holds

  Scenario: Answers of executors: crossed
    Guards against an answer with the id of another attempt that is passed on
    to the caller.
    Then the trace "answers/crossed" holds

  Scenario: Answers of executors: duplicated
    Guards against an answer that is passed on to the caller twice.
    Then the trace "answers/duplicated" holds

  Scenario: Answers of executors: late
    Guards against an answer after the timeout that is passed on twice or to
    another request.
    Then the trace "answers/late" holds

  Scenario: Answers of executors: late non repeatable
    Guards against a second run or a second outcome of a non-repeatable
    request after a timeout.
    Then the trace "answers/late_non_repeatable" holds

  Scenario: Answers of executors: no executor
    Guards against a caller that gets the outcome unknown, or none, although
    nothing was sent.
    Then the trace "answers/no_executor" holds

  Scenario: Answers of executors: one executor lost
    Guards against repeatable requests that fail although another executor is
    live.
    Then the trace "answers/one_executor_lost" holds

  Scenario: Answers of executors: overload
    Guards against a request that is refused under overload but ran, or that
    gets no answer.
    Then the trace "answers/overload" holds

  Scenario: Answers of executors: truncated
    Guards against a truncated answer that is passed on, or a run that is
    reported as not run.
    Then the trace "answers/truncated" holds

  Scenario: Configuration versions: answer lost
    Guards against a patch that is applied twice or refused because the answer
    of the store was lost.
    Then the trace "configuration/answer_lost" holds

  Scenario: Configuration versions: documents delayed
    Guards against a delayed document that replaces a newer version.
    Then the trace "configuration/documents_delayed" holds

  Scenario: Configuration versions: old version
    Guards against a patch based on an old version that is accepted.
    Then the trace "configuration/old_version" holds

  Scenario: Configuration versions: partition healed
    Guards against a data centre that keeps or spreads an old version after it
    was disconnected.
    Then the trace "configuration/partition_healed" holds

  Scenario: Configuration versions: patch while cut off
    Guards against a patch that is confirmed although its data centre is
    disconnected.
    Then the trace "configuration/patch_while_cut_off" holds

  Scenario: Configuration versions: peer messages lost
    Guards against a version that does not reach all instances while half of
    the messages are lost.
    Then the trace "configuration/peer_messages_lost" holds

  Scenario: Configuration versions: racing operators
    Guards against two concurrent patches of one version that are both
    accepted.
    Then the trace "configuration/racing_operators" holds

  Scenario: Configuration versions: same patch twice
    Guards against a patch that is applied twice because the operator repeats
    it.
    Then the trace "configuration/same_patch_twice" holds

  Scenario: Configuration versions: started in outage
    Guards against an instance that starts in a store outage and serves
    without a configuration.
    Then the trace "configuration/started_in_outage" holds

  Scenario: Configuration versions: store down
    Guards against a patch that is confirmed although the store is down.
    Then the trace "configuration/store_down" holds

  Scenario: Configuration versions: watchers killed
    Guards against a version that does not spread because the instances that
    watch the store were killed.
    Then the trace "configuration/watchers_killed" holds

  Scenario: Leaving executors: instance started later
    Guards against an instance that sends work to an executor that left long
    before the instance started.
    Then the trace "membership/instance_started_later" holds

  Scenario: Leaving executors: leaving executor
    Guards against new work for a leaving executor that the instance list
    still shows as live.
    Then the trace "membership/leaving_executor" holds

  Scenario: Leaving executors: leaving executor and instance killed
    Guards against a leaving mark that is lost with the first instance that
    saw it.
    Then the trace "membership/leaving_executor_and_instance_killed" holds

  Scenario: Leaving executors: leaving executor returns
    Guards against a restarted executor that gets no work because of its
    former leaving mark.
    Then the trace "membership/leaving_executor_returns" holds

  Scenario: Graceful shutdown: hand over
    Guards against a shutdown that leaves partitions without an owner until
    their leases expire.
    Then the trace "shutdown/hand_over" holds

  Scenario: Graceful shutdown: in outage
    Guards against a shutdown that never ends or loses tasks in a store
    outage.
    Then the trace "shutdown/in_outage" holds

  Scenario: Graceful shutdown: rolling
    Guards against a rolling replacement that loses requests or runs tasks
    twice.
    Then the trace "shutdown/rolling" holds

  Scenario: Graceful shutdown: under load
    Guards against a graceful shutdown that interrupts a request in flight.
    Then the trace "shutdown/under_load" holds

  Scenario: Graceful shutdown: without owner
    Guards against a shutdown that fails while the instance is a candidate for
    a partition.
    Then the trace "shutdown/without_owner" holds

  Scenario: Combined faults: cut twice
    Guards against tasks that are lost or run twice when a data centre is
    disconnected again during a takeover.
    Then the trace "combinations/cut_twice" holds

  Scenario: Combined faults: everything lossy
    Guards against tasks or keys that run twice in a takeover while messages
    are lost, duplicated and delayed.
    Then the trace "combinations/everything_lossy" holds

  Scenario: Combined faults: outage and owner paused
    Guards against tasks that run twice when a paused owner resumes in a store
    outage and is replaced after it.
    Then the trace "combinations/outage_and_owner_paused" holds

  Scenario: Combined faults: patch kill and outage
    Guards against an accepted patch that is lost because its instance is
    killed before the others know it.
    Then the trace "combinations/patch_kill_and_outage" holds

  Scenario: Combined faults: two takeovers
    Guards against tasks that run twice after two takeovers while a worker is
    unresponsive.
    Then the trace "combinations/two_takeovers" holds

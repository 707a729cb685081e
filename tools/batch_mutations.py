"""Mutations of the batch core.

Each mutation disables one mechanism. The scenario that is named with it must
then fail.
"""

from collections.abc import Callable
import math
from typing import Any

import attrs

from sapphirestall_core import failure_shares
from sapphirestall_core.batch import acquisition
from sapphirestall_core.batch import balance
from sapphirestall_core.batch import commands
from sapphirestall_core.batch import contact
from sapphirestall_core.batch import division
from sapphirestall_core.batch import former_runs
from sapphirestall_core.batch import job_changes
from sapphirestall_core.batch import job_moves
from sapphirestall_core.batch import leases
from sapphirestall_core.batch import live_records
from sapphirestall_core.batch import model
from sapphirestall_core.batch import move_delays
from sapphirestall_core.batch import nominations
from sapphirestall_core.batch import owner_keys
from sapphirestall_core.batch import pacing
from sapphirestall_core.batch import retention
from sapphirestall_core.batch import revisions
from sapphirestall_core.batch import rosters
from sapphirestall_core.batch import routing
from sapphirestall_core.batch import state
from sapphirestall_core.batch import summary_reads
from sapphirestall_core.batch import suspensions
from sapphirestall_core.batch import task_moves
from sapphirestall_core.batch import tenure
from sapphirestall_core.batch import trials
from sapphirestall_core.batch import usability
from sapphirestall_core.batch import withheld_leases
from sapphirestall_core.batch import worker_faults
from sapphirestall_core.batch import workers

TAKEOVER = "batch_takeover.feature"
OWNERSHIP = "batch_ownership.feature"
INTAKE = "batch_intake.feature"
INTERFERENCE = "batch_interference.feature"
LOAD = "batch_load.feature"
DIVISION = "batch_division.feature"
POOLS = "batch_candidate_pools.feature"
FULL_FLEET = "batch_full_fleet.feature"
CONTACT = "batch_contact.feature"
CUTS = "batch_cuts.feature"
TENURE = "batch_tenure.feature"
HANDOVER = "batch_handover.feature"
SUCCESSIONS = "batch_successions.feature"
MOVES = "batch_moves.feature"
ROOM_ELSEWHERE = "batch_room_elsewhere.feature"
WAITS = "batch_waits.feature"
SUSPENSIONS = "batch_suspensions.feature"


def assume_no_former_lease() -> None:
    """Makes a new owner assume that former owners extended no lease."""
    leases.assume_longest_lease = lambda *_: None


def never_nominate_workers() -> None:
    """Lets finite tasks use all that ends of runs free."""
    nominations.choose_candidate = lambda *_: None


def blame_workers_for_all_failures() -> None:
    """Suspends workers also for failures of steps that fail everywhere."""
    suspensions.WORKERS_TO_DISCOUNT = 10**9


def use_unlisted_workers() -> None:
    """Lets tasks start on workers that have not listed their runs."""
    is_usable = usability.is_usable

    def mutated(worker: state.Worker, now: float, **options: float) -> bool:
        worker.listing_received = True
        return is_usable(worker, now, **options)

    usability.is_usable = mutated


def override_in_polls(name: str, value: object) -> None:
    """Makes polls as if an attribute of the worker had another value."""
    make_poll = contact.make_poll

    def mutated(
        partition: state.Partition, worker: state.Worker, *rest: Any
    ) -> Any:
        before = getattr(worker, name)
        setattr(worker, name, value)
        call = make_poll(partition, worker, *rest)
        setattr(worker, name, before)
        return call

    contact.make_poll = mutated


def extend_unresponsive_workers() -> None:
    """Extends the lease with each attempt to reach an unresponsive worker.

    The roster withholds it as well after a while of silence.
    """
    override_in_polls("unresponsive", value=False)
    grant_withheld_leases()


def act_without_confirmation() -> None:
    """Lets an owner without a renewed store lease act as if it had one."""
    tenure.may_have_successor = lambda *_: False


def assume_killed_owners() -> None:
    """Makes a new owner count from the end of the key alone."""
    find_leases_end = tenure.find_leases_end

    def mutated(lease_s: float, unowned_since: float, _: Any) -> float:
        return find_leases_end(lease_s, unowned_since, unowned_since)

    tenure.find_leases_end = mutated


def grant_withheld_leases() -> None:
    """Extends leases that the roster in the store withholds."""
    state.Partition.withholds_leases = lambda *_: False


def forget_silent_workers() -> None:
    """Writes rosters that say nothing of silent workers."""
    withheld_leases.list_withheld = lambda *_: {}


def end_withheld_leases_early() -> None:
    """Names the silent workers as if the leases there had ended."""
    list_withheld = withheld_leases.list_withheld

    def mutated(*args: Any) -> dict[str, int]:
        return dict.fromkeys(list_withheld(*args), 1)

    withheld_leases.list_withheld = mutated


def omit_unanswered_workers() -> None:
    """Names only workers that are known to be silent, also in first rosters."""
    withheld_leases.awaits_first_answer = lambda *_: False


def count_from_reads() -> None:
    """Counts the times in a roster from its read and not from its write."""
    revisions.RevisionTimes.find_reached_at = lambda *args: args[-1]


def raise_generation_with_each_write() -> None:
    """Counts each roster of a loading owner as that of another owner."""
    write_roster = rosters.write_roster

    def mutated(
        batch: state.Batch, partition: state.Partition, now: float
    ) -> Any:
        if partition.phase is state.Phase.LOADING:
            partition.generation_raised = False
        return write_roster(batch, partition, now)

    rosters.write_roster = mutated


def start_without_confirmation() -> None:
    """Starts tasks of silent workers without a later confirmation."""
    tenure.was_confirmed_since = lambda *_: True


def trust_old_answers() -> None:
    """Counts the time of an answer and not that of its call."""
    record_answer = contact.record_answer

    def mutated(
        worker: state.Worker, clock_ms: int | None, now: float, **times: float
    ) -> None:
        record_answer(worker, clock_ms, now, **dict.fromkeys(times, now))

    contact.record_answer = mutated


def accept_any_witness() -> None:
    """Counts the answer of any worker as noticed by former owners."""
    record_contact = former_runs.record_contact

    def mutated(partition: state.Partition, worker_id: str, *rest: Any) -> None:
        partition.witnesses |= {worker_id}
        record_contact(partition, worker_id, *rest)

    former_runs.record_contact = mutated


def extend_before_listing() -> None:
    """Extends the leases on a worker before its first listing."""
    override_in_polls("listing_received", value=True)


def acknowledge_before_commit() -> None:
    """Acknowledges ended runs before their effects are in the store."""
    make_poll = contact.make_poll

    def mutated(
        partition: state.Partition, worker: state.Worker, *rest: Any
    ) -> Any:
        call = make_poll(partition, worker, *rest)
        return attrs.evolve(call, acknowledged=worker.processed_position)

    contact.make_poll = mutated


def drop_changes_while_loading() -> None:
    """Ignores changes of job records while their owner is loading."""
    apply_change = live_records._apply_change

    def mutated(
        batch: state.Batch, partition: state.Partition, *rest: Any
    ) -> Any:
        if partition.phase is state.Phase.LOADING:
            return []
        return apply_change(batch, partition, *rest)

    live_records._apply_change = mutated


def ignore_owner_keys() -> None:
    """Applies job records without checking the owner keys before them."""
    live_records._check_owner = lambda *_: []
    owner_keys.apply_owner_change = lambda *_: []


def resume_moved_jobs_early() -> None:
    """Resumes a moved job before the outcome of its move is known."""
    update_job = job_changes._update_job
    job_changes._update_job = lambda partition, known, loaded, _: update_job(
        partition, known, loaded, True
    )


def accept_any_poll_answer() -> None:
    """Treats each answer to a poll as the answer to all polls in flight."""

    def mutated(worker: state.Worker, number: int) -> bool:
        worker.long_poll = worker.short_poll = None
        return True

    contact.finish_poll = mutated


def stop_unanswered_starts_early() -> None:
    """Stops a start without an answer before a listing was requested."""
    short_poll = contact.short_poll

    def mutated(
        batch: state.Batch,
        partition: state.Partition,
        worker: state.Worker,
        now: float,
    ) -> Any:
        effects = short_poll(batch, partition, worker, now)
        for run in list(worker.runs.values()):
            effects += commands.stop_unlisted_start(partition, worker, run, now)
        return effects

    contact.short_poll = mutated


def poll_only_after_commits() -> None:
    """Delays polls, and so leases, until the listed ends are committed."""
    workers._poll_if_idle = lambda *_: []


def never_remove_records() -> None:
    """Never removes the records of ended jobs."""
    retention.check_retention = lambda *_: []


def never_lower_paces() -> None:
    """Lets opportunistic images with strong interference run at full pace."""
    pacing.choose_paces = lambda *_: {}


def ignore_used_processors() -> None:
    """Lets opportunistic runs request processors that are in use."""
    pacing.find_common_pace = lambda *_: state.FULL_PACE_PERCENT


def ignore_interference_in_routing() -> None:
    """Routes opportunistic jobs by load alone, without interference."""
    routing.find_opportunistic_load = lambda summary, _: summary.fill_load


def use_one_partition_per_data_centre() -> None:
    """Makes one partition of all racks of a data centre."""
    model.RACKS_PER_PARTITION = 1000


def confine_jobs_to_two_racks() -> None:
    """Makes partitions of two racks."""
    model.RACKS_PER_PARTITION = 2


def ignore_former_rosters() -> None:
    """Stores the own division although partitions had owners before."""
    division.UNSTORED_DIVISION = model.Division()


def acquire_regardless_of_processors() -> None:
    """Lets small instances acquire as many partitions as large ones."""
    compute_delay = acquisition.compute_acquisition_delay

    def mutated(batch: state.Batch, name: str) -> float:
        identity = batch.identity
        batch.identity = attrs.evolve(identity, processors=1.0)
        delay_s = compute_delay(batch, name)
        batch.identity = identity
        return delay_s

    acquisition.compute_acquisition_delay = mutated


def never_move_started_jobs() -> None:
    """Never moves a job of which a task has started."""
    job_moves.is_idle = lambda _, job: not job.start_sent


def read_summaries_rarely() -> None:
    """Reads summaries no more often while a long-running task waits."""
    summary_reads.keep_recent = lambda *_: []


def delay_moves_after_losses() -> None:
    """Lets tasks that lost their runs wait as long as others before a move."""
    move_delays.LOST_RUN_DELAY_S = move_delays.DELAY_S


def move_three_jobs_at_a_time() -> None:
    """Starts three writes of moves in an event."""
    make_budget = balance.Budget
    balance.Budget = lambda: make_budget(writes=3)


def retry_partitions_at_once() -> None:
    """Moves a task at once to partitions that found no worker for it."""
    task_moves.RETRIED_DELAY_S = 0.0


def ignore_worker_counts() -> None:
    """Moves tasks to partitions whose workers all have a task of the step."""
    routing.has_worker_left = lambda *_: True


def compare_all_partitions() -> None:
    """Makes all instances compare all partitions for each job."""
    routing.CANDIDATE_COUNT = 1000


def ignore_data_racks() -> None:
    """Routes jobs as if their data were on every rack."""
    routing.find_data_rack = lambda _: ""


def keep_runs_of_replaced_workers() -> None:
    """Keeps the runs of a worker although another one has replaced it."""
    contact.requeue_lost_runs = lambda *_: []


def start_at_periodic_checks() -> None:
    """Ends the wait for former runs only with the periodic checks."""
    workers._schedule_passes = lambda *_: []


def count_refused_leases() -> None:
    """Counts the leases that refused calls requested."""
    contact.did_nothing = lambda _: False


def trust_workers_without_answers() -> None:
    """Starts tasks again and again on workers that answer no start."""
    suspensions.record_unanswered_start = lambda *_: []


def grant_nothing_before_answers() -> None:
    """Grants no lease on workers that the first roster names."""
    withheld_leases.update_grants = lambda *_: None


def ignore_usual_share() -> None:
    """Weighs failures as if no outcome on sound workers were known."""
    failure_shares.FailureShare.estimate = lambda _: (
        failure_shares.ASSUMED_FAILED_RUNS
    )


def ignore_order_of_starts() -> None:
    """Lets each success explain all failures before it."""
    record_success = worker_faults.Failures.record_success

    def mutated(
        failures: worker_faults.Failures,
        _: float,
        share: failure_shares.FailureShare,
    ) -> None:
        record_success(failures, math.inf, share)

    worker_faults.Failures.record_success = mutated


def learn_from_recovered_workers() -> None:
    """Counts the failures of a worker that has recovered as usual."""
    record_success = worker_faults.Failures.record_success

    def mutated(
        failures: worker_faults.Failures,
        started_at: float,
        share: failure_shares.FailureShare,
    ) -> None:
        before = len(failures.row)
        record_success(failures, started_at, share)
        share.record(0, before - len(failures.row))

    worker_faults.Failures.record_success = mutated


def keep_suspensions() -> None:
    """Ends no suspension before its time."""
    suspensions._resume = lambda *_: []


def run_nothing_on_trial() -> None:
    """Starts nothing on suspended workers."""
    trials.choose_trials = lambda *_: []


def run_trials_without_pause() -> None:
    """Starts a trial on a suspended worker with each pass."""
    trials.TRIAL_INTERVAL_S = 0.0


def run_trials_on_hanging_workers() -> None:
    """Starts trials also on workers that are suspended for another cause."""
    suspend = suspensions._suspend_if_faulty

    def mutated(
        partition: state.Partition, worker: state.Worker, *rest: Any
    ) -> Any:
        effects = suspend(partition, worker, *rest)
        if worker.suspension is not None:
            worker.suspension.cause = worker_faults.SuspensionCause.FAILED_RUNS
        return effects

    suspensions._suspend_if_faulty = mutated


# Name of the mechanism, start of the title of the scenario that must fail
# without it, and the function that disables it.
ROWS: tuple[tuple[str, str, Callable[[], None]], ...] = (
    (
        "leases of a former owner",
        f"{TAKEOVER}: A new owner does not treat former leases as expired",
        assume_no_former_lease,
    ),
    (
        "listing before use",
        f"{TAKEOVER}: A worker is not used before it has listed its runs",
        use_unlisted_workers,
    ),
    (
        "lease of an unresponsive worker",
        f"{TAKEOVER}: Leases on an unresponsive worker are not extended",
        extend_unresponsive_workers,
    ),
    (
        "changes while loading",
        f"{TAKEOVER}: A job accepted while its owner loads",
        drop_changes_while_loading,
    ),
    (
        "bounds of an owner without confirmation",
        f"{CUTS}: Tasks of a data centre that is cut off do not run",
        act_without_confirmation,
    ),
    (
        "bounds of its successor",
        f"{CUTS}: An owner that reaches its workers again starts nothing",
        assume_killed_owners,
    ),
    (
        "confirmation after silence",
        f"{TENURE}: A task whose worker fell silent starts after",
        start_without_confirmation,
    ),
    (
        "time of a call",
        f"{TENURE}: The stored roster decides whether an owner may act",
        trust_old_answers,
    ),
    (
        "witnesses",
        f"{TAKEOVER}: The wait for former runs depends on",
        accept_any_witness,
    ),
    (
        "no lease before a listing",
        f"{HANDOVER}: A new owner",
        extend_before_listing,
    ),
    (
        "replaced worker",
        f"{TAKEOVER}: Another worker at the same address",
        keep_runs_of_replaced_workers,
    ),
    (
        "commit before acknowledgement",
        f"{OWNERSHIP}: An owner is killed between an end and its commit",
        acknowledge_before_commit,
    ),
    (
        "owner keys before jobs",
        f"{TAKEOVER}: A replaced owner watches a job newer than",
        ignore_owner_keys,
    ),
    (
        "no starts during a move",
        f"{TAKEOVER}: A job starts nothing while the outcome of its",
        resume_moved_jobs_early,
    ),
    (
        "poll numbers",
        f"{CONTACT}: The answer to a poll before a rejoin",
        accept_any_poll_answer,
    ),
    (
        "short poll before a stop",
        f"{CONTACT}: Runs continue when a delayed process",
        stop_unanswered_starts_early,
    ),
    (
        "leases beside commits",
        f"{CONTACT}: Leases are extended while the store is unavailable",
        poll_only_after_commits,
    ),
    (
        "removal of records",
        f"{INTAKE}: Records of jobs that ended long ago",
        never_remove_records,
    ),
    (
        "pace by interference",
        f"{INTERFERENCE}: Paces follow the load of a serving task",
        never_lower_paces,
    ),
    (
        "idle processors",
        f"{INTERFERENCE}: Opportunistic runs request more processors",
        ignore_used_processors,
    ),
    (
        "allowed processors by image",
        f"{LOAD}: Opportunistic images may use processors of different",
        ignore_interference_in_routing,
    ),
    (
        "racks as partitions",
        f"{DIVISION}: The racks of a data centre have several owners",
        use_one_partition_per_data_centre,
    ),
    (
        "withheld leases",
        f"{SUCCESSIONS}: A worker gets leases again only after its roster",
        grant_withheld_leases,
    ),
    (
        "silent workers in rosters",
        f"{SUCCESSIONS}: Tasks of a crashed worker start again",
        forget_silent_workers,
    ),
    (
        "end of withheld leases",
        f"{SUCCESSIONS}: Tasks that a cut-off owner keeps running",
        end_withheld_leases_early,
    ),
    (
        "unanswered workers in first rosters",
        f"{SUCCESSIONS}: Tasks of a crashed worker start again",
        omit_unanswered_workers,
    ),
    (
        "one generation for each owner",
        f"{SUCCESSIONS}: A slow takeover does not lose the release",
        raise_generation_with_each_write,
    ),
    (
        "age of a roster",
        f"{SUCCESSIONS}: The age of a record follows",
        count_from_reads,
    ),
    (
        "nominated workers",
        f"{POOLS}: A large long-running task runs again",
        never_nominate_workers,
    ),
    (
        "failures of a step",
        f"{FULL_FLEET}: Failures of a step that cannot be done",
        blame_workers_for_all_failures,
    ),
    (
        "room of a job",
        f"{DIVISION}: A wide opportunistic job meets its objective",
        confine_jobs_to_two_racks,
    ),
    (
        "division of former versions",
        f"{DIVISION}: Owners of the version before the division was stored",
        ignore_former_rosters,
    ),
    (
        "partitions by processors",
        f"{DIVISION}: Instances with more processors own more",
        acquire_regardless_of_processors,
    ),
    (
        "move of started jobs",
        f"{DIVISION}: A job continues in another partition",
        never_move_started_jobs,
    ),
    (
        "frequent reads of summaries",
        f"{MOVES}: A waiting task starts in time although a store call is",
        read_summaries_rarely,
    ),
    (
        "delay of moves after losses",
        f"{ROOM_ELSEWHERE}: Tasks of lost workers move without a further",
        delay_moves_after_losses,
    ),
    (
        "moves by free capacity",
        f"{ROOM_ELSEWHERE}: All tasks of several lost workers run again",
        move_three_jobs_at_a_time,
    ),
    (
        "delay of repeated moves",
        f"{MOVES}: Tasks that no worker with room may run move seldom",
        retry_partitions_at_once,
    ),
    (
        "numbers of workers",
        f"{MOVES}: A task that no worker may run is not moved",
        ignore_worker_counts,
    ),
    (
        "spread of jobs",
        f"{DIVISION}: Many jobs are submitted while the summaries stay",
        compare_all_partitions,
    ),
    (
        "data racks",
        f"{DIVISION}: Most jobs have their data on one rack",
        ignore_data_racks,
    ),
    (
        "passes at the end of leases",
        f"{SUCCESSIONS}: Tasks start as soon as the leases of former owners",
        start_at_periodic_checks,
    ),
    (
        "refused leases",
        f"{WAITS}: A worker that refuses all calls does not keep its tasks",
        count_refused_leases,
    ),
    (
        "workers without answers",
        f"{WAITS}: Workers that answer polls but no starts do not keep a task",
        trust_workers_without_answers,
    ),
    (
        "leases before the first answer",
        f"{WAITS}: Runs outlast a short outage just after a takeover",
        grant_nothing_before_answers,
    ),
    (
        "usual share of failures",
        f"{SUSPENSIONS}: Failures on a worker are weighed",
        ignore_usual_share,
    ),
    (
        "order of starts",
        f"{SUSPENSIONS}: A run that was started later and is done ends",
        ignore_order_of_starts,
    ),
    (
        "failures of recovered workers",
        f"{SUSPENSIONS}: The failures of a worker that recovers",
        learn_from_recovered_workers,
    ),
    (
        "end of a suspension by a later success",
        f"{SUSPENSIONS}: A run that was started later and is done ends",
        keep_suspensions,
    ),
    (
        "trials on suspended workers",
        f"{SUSPENSIONS}: Failures by chance close no worker",
        run_nothing_on_trial,
    ),
    (
        "time between trials",
        f"{SUSPENSIONS}: A suspended worker runs one task on trial",
        run_trials_without_pause,
    ),
    (
        "no trials on workers that ignore starts",
        f"{SUSPENSIONS}: A suspended worker that ignores starts",
        run_trials_on_hanging_workers,
    ),
    (
        "trials where leases are withheld",
        f"{SUSPENSIONS}: A task runs on trial only where",
        grant_withheld_leases,
    ),
)

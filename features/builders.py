"""Builders of batch core state, for the steps of several features."""

import attrs

from sapphirestall_core import resources
from sapphirestall_core.batch import instance
from sapphirestall_core.batch import job_changes
from sapphirestall_core.batch import model
from sapphirestall_core.batch import passes
from sapphirestall_core.batch import records
from sapphirestall_core.batch import state
from sapphirestall_core.batch import usability
from sapphirestall_core.batch import worker_faults
from sapphirestall_core.batch import worker_messages

OWN, OTHER = "north", "south"
NOW = 1000.0
CORE_MILLIS = 1000
TAIL_TARGET_MS = 18
BASE_MS = 8.0


def make_queue(priority):
    name = f"priority-{priority}"
    return model.Queue(
        name, "host", f"/{name}/", "service", priority, 3, 2.0, 1.0
    )


def make_step(count, **fields):
    amount = resources.Vector(CORE_MILLIS, 100, 0)
    return model.Step(count, amount, estimate_s=1.0, **fields)


def make_worker(name, cores):
    entry = model.WorkerEntry(
        name,
        1,
        "service",
        f"{name}:1",
        OWN,
        resources.Vector(cores * CORE_MILLIS, 64_000, 0),
        ("a", "r1"),
        False,
    )
    target = worker_messages.Target(name, 1, f"{name}:1")
    worker = state.Worker(entry, target, clock_ms=1000, clock_read_at=NOW)
    worker.last_answer_at = NOW
    worker.listing_received = True
    return worker


def make_partition(context, *workers):
    identity = state.Identity("e-1", "1", OWN)
    context.batch = instance.build(identity)
    context.batch.division_adopted = True
    # The list of workers stays recent while a test advances the time.
    context.batch.workers_listed_at = NOW + 60.0
    # So does the confirmation of the ownership.
    context.batch.lease_renewed_at = NOW + 60.0
    context.batch.configuration = model.Configuration(
        1, (make_queue(0), make_queue(2))
    )
    partition = state.Partition(OWN, 1, NOW - 500, state.Phase.ACTIVE, 1)
    partition.proved_at = NOW + 60.0
    partition.roster = frozenset(w.entry.worker_id for w in workers)
    partition.workers = {w.entry.worker_id: w for w in workers}
    context.batch.partitions[OWN] = partition
    context.batch.known_partitions = {OWN: OWN, OTHER: OTHER}
    context.partition = partition


def add_job(context, number, priority, age_s, *steps):
    record = records.JobRecord(
        f"{number:016x}",
        make_queue(priority),
        OWN,
        "x",
        steps,
        accepted_ms=int((NOW - age_s) * 1000),
    )
    loaded = state.LoadedJob(record, number + 10, number + 10)
    job_changes.apply_record(context.batch, context.partition, loaded, NOW)
    return context.partition.jobs[record.job_id]


def add_run(worker, step, pace_percent=100):
    record = records.JobRecord(
        f"{len(worker.runs):016x}",
        make_queue(2),
        OWN,
    )
    job = state.Job(record, make_queue(2), 1, 1, [state.StepState(step, {})])
    task = state.Task(job, model.TaskName(record.job_id, 0, 0, 0), step)
    run = state.Run(
        task, worker.entry.worker_id, 1, state.RunPhase.RUNNING, NOW, 0
    )
    run.pace_percent = pace_percent
    passes.reserve(worker, run)
    return run


def count_started(job):
    return sum(
        task.run is not None
        for step in job.steps
        for task in step.unfinished.values()
    )


def make_unusable(partition, worker, obstacle, until):
    """Keeps new runs off a worker; a pause or a suspension ends at `until`."""
    match obstacle:
        case usability.Obstacle.SUSPENDED:
            worker.suspension = worker_faults.Suspension(
                worker_faults.SuspensionCause.FAILED_RUNS, until
            )
        case usability.Obstacle.REFUSING:
            worker.paused_until = until
        case usability.Obstacle.RESTARTED:
            worker.restarted_at = NOW
        case usability.Obstacle.SILENT:
            worker.unresponsive = True
        case usability.Obstacle.DRAINING:
            worker.entry = attrs.evolve(worker.entry, draining=True)
        case usability.Obstacle.WITHHELD | usability.Obstacle.NOT_IN_ROSTER:
            exclude_by_roster(partition, worker, obstacle)
        case usability.Obstacle.UNREGISTERED:
            worker.is_registered = False
        case usability.Obstacle.UNLISTED:
            worker.listing_received = False
        case usability.Obstacle.ORPHANS:
            name = model.TaskName(f"{99:016x}", 0, 0, 0)
            worker.orphans[(name, 1)] = NOW


def exclude_by_roster(partition, worker, obstacle):
    """Keeps new runs off a worker by the roster of its partition."""
    name = worker.entry.worker_id
    if obstacle is usability.Obstacle.WITHHELD:
        partition.withheld_ms[name] = 1
    else:
        partition.roster -= {name}

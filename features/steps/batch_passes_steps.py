"""Steps for batch_passes.feature."""

import copy
import random
from unittest import mock

import attrs
import behave

from features import builders
from sapphirestall_core import resources
from sapphirestall_core.batch import dispatch
from sapphirestall_core.batch import interference as interference_module
from sapphirestall_core.batch import jobs
from sapphirestall_core.batch import model
from sapphirestall_core.batch import nominations
from sapphirestall_core.batch import objectives
from sapphirestall_core.batch import passes
from sapphirestall_core.batch import placement
from sapphirestall_core.batch import usability
from sapphirestall_core.batch import worker_messages

ROUNDS = 12
ROUND_INTERVAL_S = 0.6
WORKER_COUNT = 5
JOB_COUNT = 14
SERVING_IMAGES = ("soft", "hard")
IMAGES = ("loud", "calm", "new")


def make_random_step(rng):
    amount = resources.Vector(rng.choice((500, 1000, 3000)), 100, 0)
    kind = rng.choice(("plain", "opportunistic", "opportunistic", "serving"))
    return model.Step(
        rng.randint(1, 8),
        amount,
        estimate_s=rng.choice((1.0, 30.0)),
        image=rng.choice(SERVING_IMAGES if kind == "serving" else IMAGES),
        fills=kind == "opportunistic",
        tail_target_ms=100 if kind == "serving" else 0,
        long_running=kind == "serving",
        required_label=rng.choice(("", "", "", "a", "b")),
        max_per_worker=rng.choice((0, 0, 0, 2)),
        data_rack=rng.choice(("", "r1")),
    )


def make_random_partition(context, rng):
    workers = [
        builders.make_worker(f"w-{number}", rng.choice((2, 4, 8)))
        for number in range(WORKER_COUNT)
    ]
    workers[0].entry = attrs.evolve(workers[0].entry, labels=("b", "r2"))
    builders.make_partition(context, *workers)
    for serving in SERVING_IMAGES:
        for image in IMAGES:
            estimate = interference_module.Estimate(
                rng.choice((0.0, 2.0, 9.0)), 0.2
            )
            context.batch.interference.set_estimate(serving, image, estimate)
    for number in range(JOB_COUNT):
        first = make_random_step(rng)
        second = attrs.evolve(make_random_step(rng), after=(0,))
        steps = (first,) if first.long_running else (first, second)
        age_s = rng.choice((0.0, 5.0, 500.0))
        builders.add_job(context, number, rng.choice((0, 2)), age_s, *steps)


def may_use(worker, step):
    return not step.required_label or step.required_label in worker.entry.labels


def is_strong(batch, worker, image):
    """Returns whether an image disturbs a serving run of a worker a lot."""
    return any(
        batch.interference.get_interference(run.task.step.image, image)
        >= interference_module.STRONG_INTERFERENCE
        for run in worker.runs.values()
        if run.task.step.tail_target_ms
    )


def leave_out_strong(batch, partition, task, now, suitable):
    """Leaves out workers that a task disturbs a lot, if there are others."""
    usable = [
        worker
        for name, worker in partition.workers.items()
        if name in partition.roster
        and usability.accepts_service(worker, task.job.queue.service, now)
        and may_use(worker, task.step)
    ]
    image = task.step.image
    strong = [worker for worker in usable if is_strong(batch, worker, image)]
    if len(strong) == len(usable):
        return suitable
    return [worker for worker in suitable if worker not in strong]


def nominate_workers(partition, ordered, now):
    """Returns the workers nominated for waiting tasks, by task."""
    usable = [
        worker
        for name, worker in partition.workers.items()
        if name in partition.roster
    ]
    candidates = placement.list_candidates(usable, "service", now)
    budget = nominations.Budget()
    for _, step in nominations.list_waiting_steps(ordered, now):
        nominations.nominate_workers(step, candidates, budget, now)
    return {
        task.name: (task, candidate.worker)
        for candidate in candidates
        for task in candidate.nominated_tasks
    }


def find_free(worker, task, nominated):
    """Returns what is free for a task beside those that are nominated."""
    free = placement.find_free_capacity(worker, task.step)
    if task.step.long_running:
        return free
    for other, nominated_worker in nominated.values():
        amount = other.step.amount
        if task.step.fills:
            amount = attrs.evolve(amount, cpu_millis=0)
        if (
            nominated_worker is worker
            and other.job.queue.priority <= task.job.queue.priority
        ):
            free = free.minus(amount)
    return free


def search_workers(batch, partition, task, now, starved, nominated):
    """Returns the best worker for a task, after a search of all workers.

    Computes the free capacity of each worker anew.
    """
    suitable = []
    for worker in partition.workers.values():
        step = task.step
        if worker.entry.worker_id not in partition.roster:
            continue
        if not usability.accepts_service(worker, task.job.queue.service, now):
            continue
        if not step.amount.fits(find_free(worker, task, nominated)):
            continue
        if step.required_label and (
            step.required_label not in worker.entry.labels
        ):
            continue
        runs = placement.count_step_runs(worker, task)
        if step.max_per_worker and runs >= step.max_per_worker:
            continue
        if step.fills and not starved:
            budgets = batch.interference.find_headroom_budgets(
                worker, now, interference_module.PLACEMENT_HORIZON_S
            )
            allowed = batch.interference.find_allowed_cpu(
                worker,
                batch.interference.find_remaining_budgets(worker, budgets),
                step.image,
            )
            if step.amount.cpu_millis > allowed:
                continue
        suitable.append(worker)
    if task.step.fills and not starved and passes.is_selective(task, now):
        suitable = leave_out_strong(batch, partition, task, now, suitable)
    return min(
        suitable,
        key=lambda worker: placement.rank(worker, task, batch.interference),
        default=None,
    )


def is_starved(task, now):
    return (
        task.unplaced_since is not None
        and now - task.unplaced_since >= passes.STARVATION_S
        and all(
            other.run is None
            for step in task.job.steps
            for other in step.unfinished.values()
        )
    )


def start_by_search(batch, partition, now):
    """Starts each waiting task for which a search of all workers finds one."""
    started = []
    opportunistic_workers = set()
    ordered = sorted(
        partition.jobs.values(),
        key=lambda job: (
            job.queue.priority,
            objectives.classify(job, now),
            job.create_revision,
        ),
    )
    nominated = nominate_workers(partition, ordered, now)
    for job in ordered:
        for step in job.steps:
            for task in list(step.runnable.values()):
                starved = is_starved(task, now)
                worker = search_workers(
                    batch, partition, task, now, starved, nominated
                )
                if worker is None:
                    task.unplaced_since = task.unplaced_since or now
                    continue
                started += passes.start(batch, partition, worker, task, now)
                if nominated.get(task.name) == (task, worker):
                    del nominated[task.name]
                task.run.forced = starved and task.step.fills
                if task.step.fills:
                    opportunistic_workers.add(worker.entry.worker_id)
    for name in sorted(opportunistic_workers):
        due = passes.PaceDue(partition.name, name)
        started += dispatch.handle(due, batch, now)
    return list_starts(started)


def list_starts(effects):
    return [
        (effect.task, effect.number, effect.target.worker_id)
        for effect in effects
        if isinstance(effect, worker_messages.StartRun)
    ]


def list_unplaced(partition):
    return {
        task.name: task.unplaced_since
        for job in partition.jobs.values()
        for step in job.steps
        for task in step.runnable.values()
    }


def list_forced(partition):
    return {
        task.name: task.run.forced
        for job in partition.jobs.values()
        for step in job.steps
        for task in step.unfinished.values()
        if task.run is not None
    }


def end_runs(partition, rng):
    """Ends random runs; the tasks of those that fail are queued again."""
    for worker in partition.workers.values():
        for run in sorted(
            worker.runs.values(), key=lambda run: str(run.task.name)
        ):
            outcome = rng.choice(("run", "run", "done", "failed"))
            if outcome == "run":
                continue
            passes.release(worker, run)
            if outcome == "done" and not run.task.step.long_running:
                jobs.finish_task(run.task)
            else:
                run.task.failed_worker_ids.add(worker.entry.worker_id)
                jobs.requeue(run.task)


@behave.given(
    "{count:d} random partitions with serving tasks, labels and failures"
)
def step(context, count):
    context.seeds = range(count)


@behave.then("passes start what a search of all workers for each task starts")
def step(context):
    started_count = starved_count = nominated_count = 0
    for seed in context.seeds:
        make_random_partition(context, random.Random(seed))
        batch = copy.deepcopy(context.batch)
        reference = batch.partitions[builders.OWN]
        ends, reference_ends = random.Random(seed), random.Random(seed)
        now = builders.NOW
        for _ in range(ROUNDS):
            now += ROUND_INTERVAL_S
            for owned in (context.partition, reference):
                for worker in owned.workers.values():
                    worker.last_answer_at = now
            timer = passes.PassDue(builders.OWN)
            # The reference search has no limit on the starts of a pass.
            with mock.patch.object(passes, "MAX_STARTS_PER_PASS", 10_000):
                effects = passes.run_pass(timer, context.batch, now)
            expected = start_by_search(batch, reference, now)
            assert list_starts(effects) == expected, seed
            assert list_unplaced(context.partition) == list_unplaced(
                reference
            ), seed
            assert list_forced(context.partition) == list_forced(reference), (
                seed
            )
            started_count += len(expected)
            starved_count += sum(list_forced(reference).values())
            nominated_count += sum(
                bool(task.nomination and task.nomination.worker_id)
                for job in reference.jobs.values()
                for step in job.steps
                for task in step.runnable.values()
            )
            end_runs(context.partition, ends)
            end_runs(reference, reference_ends)
    assert started_count > 1000, started_count
    assert starved_count > 20, starved_count
    assert nominated_count > 20, nominated_count

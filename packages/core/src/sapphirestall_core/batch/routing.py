"""Choice of a partition for a job or a task.

Each owner publishes the free capacity and the load of its partition in a
summary. The instance that accepts a job chooses its partition by the summaries,
and an owner uses them to choose where to move a job or a task.

Summaries lag behind. The choice therefore depends on a hash of the job, so that
instances that read the same summaries do not all choose the same partition.
"""

from collections.abc import Iterable
import hashlib

import attrs

from sapphirestall_core.batch import model
from sapphirestall_core.batch import records
from sapphirestall_core.batch import state
from sapphirestall_core.batch import summary_capacity

# Owners write their summaries at least this often, in seconds. An owner whose
# summary is older is assumed to be unable to reach the store.
SUMMARY_EXPIRY_S = 2.2
# An opportunistic job goes to another data centre, or moves, only if the load
# of the partition there is lower by this much.
MIN_LOAD_ADVANTAGE = 0.15
# Load added for a partition that does not have the rack of a job's data.
REMOTE_DATA_LOAD = 1.0
# Number of partitions of which the best is chosen for a job.
CANDIDATE_COUNT = 2
# Partitions whose load exceeds the lowest by at most this much are considered
# equal for opportunistic work.
LOAD_TOLERANCE = 0.1
# For a single task, partitions with free capacity for at least this many such
# tasks are considered equal.
MAX_COUNTED_TASKS = 2
# Lower limit of the processors, in thousandths, that an image may use according
# to a summary, when the load is computed from it.
MIN_ALLOWED_CPU_MILLIS = 500


def list_fresh_summaries(
    batch: state.Batch, now: float
) -> dict[str, records.SummaryRecord]:
    """Returns the summaries that were written recently, by partition."""
    return {
        name: summary
        for name, summary in batch.summaries.items()
        if now - batch.summary_changes.get(name, (0, -1e9))[1]
        <= SUMMARY_EXPIRY_S
    }


def can_run(
    summary: records.SummaryRecord,
    service: str,
    steps: tuple[model.Step, ...],
) -> bool:
    """Returns whether a partition has workers of a service for each step.

    A worker is needed for each label that the steps require. A partition whose
    summary does not list its workers is assumed to have them.
    """
    if summary.offers is None:
        return True
    labels = summary.offers.get(service)
    if labels is None:
        return False
    needed = {step.required_label for step in steps if step.required_label}
    return needed <= set(labels)


def has_worker_left(
    summary: records.SummaryRecord, service: str, step: model.Step, placed: int
) -> bool:
    """Returns whether a partition may have a worker for another task of a step.

    Args:
        summary: Summary of the partition.
        service: Service of the step.
        step: The step, of which only some tasks may share a worker.
        placed: Number of its tasks that the partition has already.
    """
    if not step.max_per_worker:
        return True
    workers = summary_capacity.count_workers(summary, service, step)
    return workers is None or placed < workers * step.max_per_worker


def choose_partition(
    batch: state.Batch,
    job_id: str,
    steps: tuple[model.Step, ...],
    now: float,
    service: str = "",
) -> str | None:
    """Chooses the partition for a new job.

    The step that requests most processors decides how partitions are compared.

    Partitions in the instance's own data centre are preferred: their owners are
    close by and can run the job even while the data centre is unreachable from
    the others. One in another data centre is chosen if no owner in this data
    centre writes summaries, if it contains the rack of the data, or if it has
    free capacity for more of the tasks. For opportunistic tasks it is chosen if
    its load is clearly lower. For serving tasks the image decides among all
    partitions with free capacity.

    Partitions that lack workers of the service or a label that the steps
    require are chosen only if no others are known.

    Args:
        batch: State of this instance.
        job_id: Id of the job.
        steps: Steps of the job.
        now: Monotonic time, in seconds.
        service: Service whose workers the job needs; empty to ignore this.

    Returns:
        Name of the partition; None if no partition is known.
    """
    summaries = list_fresh_summaries(batch, now)
    if not summaries:
        return _choose_by_name(batch, job_id)
    if service:
        capable = {
            name: summary
            for name, summary in summaries.items()
            if can_run(summary, service, steps)
        }
        summaries = capable or summaries
    largest_step = max(
        steps, key=lambda step: step.count * step.amount.cpu_millis
    )
    if largest_step.tail_target_ms:
        chosen = _choose_by_image(summaries, largest_step, service)
    elif largest_step.fills:
        chosen = _choose_least_loaded(batch, summaries, job_id, steps)
    else:
        chosen = _choose_most_free(
            batch, summaries, job_id, largest_step, service
        )
    deduct_job(batch, chosen, steps, service)
    return chosen


def _choose_by_name(batch: state.Batch, job_id: str) -> str | None:
    """Chooses a partition if there are no summaries to choose by.

    Prefers partitions in the instance's own data centre.
    """
    own = batch.identity.data_centre
    local = [
        name for name, centre in batch.known_partitions.items() if centre == own
    ]
    return max(
        local or list(batch.known_partitions),
        key=lambda name: _hash_pair(job_id, name),
        default=None,
    )


def _sample_partitions(
    summaries: dict[str, records.SummaryRecord], job_id: str
) -> list[str]:
    """Returns a few partitions, which differ from job to job.

    Summaries lag. If all instances chose the best partition, it would get all
    jobs of about a second. The better one of a few partitions spreads them.
    """
    ordered = sorted(summaries, key=lambda name: _hash_pair(job_id, name))
    return ordered[:CANDIDATE_COUNT]


def _list_local(
    batch: state.Batch, summaries: dict[str, records.SummaryRecord]
) -> dict[str, records.SummaryRecord]:
    """Returns the summaries of the instance's own data centre."""
    own = batch.identity.data_centre
    return {
        name: summary
        for name, summary in summaries.items()
        if model.get_data_centre(name) == own
    }


def find_opportunistic_load(
    summary: records.SummaryRecord, steps: tuple[model.Step, ...]
) -> float:
    """Returns the load of a partition for a job with opportunistic tasks.

    It is the load of all opportunistic work in the partition or, if that is
    higher, the processors that a step requests as a share of those that its
    image may still use.
    """
    load = summary.fill_load
    for step in steps:
        allowed = summary.fill_rooms.get(step.image)
        if allowed is not None and step.fills:
            requested = step.count * step.amount.cpu_millis
            load = max(load, requested / max(allowed, MIN_ALLOWED_CPU_MILLIS))
    return load


def _choose_least_loaded(
    batch: state.Batch,
    summaries: dict[str, records.SummaryRecord],
    job_id: str,
    steps: tuple[model.Step, ...],
) -> str:
    """Chooses a partition with low load for a job with opportunistic tasks."""
    local = _list_local(batch, summaries)
    loads = {
        name: estimate_load(batch.division, name, summary, steps)
        + (MIN_LOAD_ADVANTAGE if local and name not in local else 0.0)
        for name, summary in summaries.items()
    }
    return choose_by_load(loads, job_id)


def choose_by_load(loads: dict[str, float], job_id: str) -> str:
    """Chooses one of the partitions whose load is close to the lowest.

    All partitions are compared, not a few only: the load also shows how much
    the job's images disturb serving tasks, which differs strongly between
    partitions. The choice among those close to the lowest differs by job, since
    summaries lag.
    """
    limit = min(loads.values()) + LOAD_TOLERANCE
    candidates = [name for name, load in loads.items() if load <= limit]
    return max(candidates, key=lambda name: _hash_pair(job_id, name))


def estimate_load(
    division: model.Division,
    name: str,
    summary: records.SummaryRecord,
    steps: tuple[model.Step, ...],
) -> float:
    """Returns a partition's load for a job, which remote data increases."""
    rack = find_data_rack(steps)
    remote = bool(rack) and not division.contains_rack(name, rack)
    return find_opportunistic_load(summary, steps) + (
        REMOTE_DATA_LOAD if remote else 0.0
    )


def find_data_rack(steps: tuple[model.Step, ...]) -> str:
    """Returns the rack that has the data of most tasks; empty if none has."""
    counts: dict[str, int] = {}
    for step in steps:
        if step.data_rack:
            counts[step.data_rack] = counts.get(step.data_rack, 0) + step.count
    return max(counts, key=lambda rack: counts[rack], default="")


def _choose_by_image(
    summaries: dict[str, records.SummaryRecord], step: model.Step, service: str
) -> str:
    """Chooses a partition with free capacity for the tasks of a serving image.

    Jobs of one image preferably get the same partition. Partitions then differ
    in the serving images they run, and an opportunistic image that disturbs
    some of these finds a partition where it disturbs none.
    """
    fitting = {
        name: summary_capacity.count_fitting_tasks(
            summary, service, step, step.count
        )
        for name, summary in summaries.items()
    }
    return max(
        fitting,
        key=lambda name: (fitting[name], _hash_pair(step.image, name)),
    )


def _hash_pair(subject: str, partition: str) -> bytes:
    """Returns a digest that orders the partitions differently by subject."""
    text = f"{subject}/{partition}"
    return hashlib.blake2b(text.encode(), digest_size=4).digest()


def _choose_most_free(
    batch: state.Batch,
    summaries: dict[str, records.SummaryRecord],
    job_id: str,
    step: model.Step,
    service: str,
) -> str:
    """Chooses a partition with free capacity for the tasks of a step.

    Chooses the better of a few partitions in the instance's own data centre if
    all tasks fit there and it contains the rack of their data, else the best of
    all partitions.
    """
    local = _list_local(batch, summaries)

    def score(name: str) -> tuple[bool, int, bool, int]:
        """Returns a sort key of a partition; the highest is preferred."""
        summary = summaries[name]
        fitting = summary_capacity.count_fitting_tasks(
            summary, service, step, step.count
        )
        free_cpu = summary_capacity.sum_free_cpu(summary, service, step)
        has_data = not step.data_rack or (
            batch.division.contains_rack(name, step.data_rack)
        )
        return has_data and fitting > 0, fitting, name in local, free_cpu

    candidates = _sample_partitions(local, job_id)
    best = max(candidates, key=score, default="")
    if best and score(best)[0] and score(best)[1] == step.count:
        return best
    return max(summaries, key=score)


def choose_for_task(
    batch: state.Batch,
    names: Iterable[str],
    step: model.Step,
    subject: str,
    placed: dict[str, int] | None = None,
    service: str = "",
    *,
    yielding: bool = False,
) -> str | None:
    """Chooses a partition with capacity for a single task.

    Partitions that could run a second such task are preferred, since summaries
    lag and another owner may use the free capacity first. If only some tasks of
    the step may share a worker, those that a partition has already are taken to
    use workers with free capacity.

    Args:
        batch: State of this instance.
        names: Partitions to choose from.
        step: Step of the task.
        subject: Name of the task, by which the choice among equal partitions
            differs.
        placed: Number of tasks of the step that each partition has already.
        service: Service of the step; empty for any.
        yielding: Whether the task gets, in place of free capacity, what finite
            tasks leave to long-running ones.

    Returns:
        Name of the partition; None if no partition has enough capacity.
    """
    fitting = {}
    for name in names:
        used = (placed or {}).get(name, 0) if step.max_per_worker else 0
        count = summary_capacity.count_fitting_tasks(
            batch.summaries[name],
            service,
            step,
            MAX_COUNTED_TASKS + used,
            yielding=yielding,
        )
        if count:
            fitting[name] = max(0, count - used)
    chosen = max(
        fitting,
        key=lambda name: (fitting[name], _hash_pair(subject, name)),
        default=None,
    )
    if chosen is None:
        return None
    single = attrs.evolve(step, count=1)
    if yielding:
        batch.summaries[chosen] = summary_capacity.deduct(
            batch.summaries[chosen], service, single, yielding=True
        )
    else:
        deduct_job(batch, chosen, (single,), service)
    return chosen


def deduct_job(
    batch: state.Batch,
    name: str,
    steps: tuple[model.Step, ...],
    service: str = "",
) -> None:
    """Deducts a job that was sent to a partition from the partition's summary.

    The changed summary is used until the next one is read, so that jobs routed
    meanwhile do not all get the same partition.
    """
    summary = batch.summaries[name]
    first = steps[0]
    if first.fills:
        requested = first.count * first.amount.cpu_millis
        free_cpu = summary_capacity.sum_free_cpu(summary, service, first)
        load = summary.fill_load + requested / max(requested, free_cpu, 1)
        fill_rooms = dict(summary.fill_rooms)
        for step in steps:
            if step.image in fill_rooms:
                remaining = fill_rooms[step.image]
                remaining -= step.count * step.amount.cpu_millis
                fill_rooms[step.image] = max(0, remaining)
        batch.summaries[name] = attrs.evolve(
            summary, fill_load=load, fill_rooms=fill_rooms
        )
        return
    batch.summaries[name] = summary_capacity.deduct(summary, service, first)

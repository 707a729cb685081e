"""Routing of jobs: which partition a job goes to.

Owners publish what room they have. The accepting instance chooses the
partition of a new job by it, and owners choose where a job moves to.
"""

from collections.abc import Iterable
import hashlib

import attrs

from sapphirestall_core.batch import model
from sapphirestall_core.batch import records
from sapphirestall_core.batch import state

# Owners write their summaries at least this often, or are cut off.
SUMMARY_EXPIRY_S = 2.2
# Another data centre is taken for work that fills only if it has this much
# less load; the own one is nearer.
MIN_LOAD_ADVANTAGE = 0.15
# Load by which a partition away from the data of a job counts as more loaded.
REMOTE_DATA_LOAD = 1.0
# Partitions that are compared for a job.
CANDIDATE_COUNT = 2
# Partitions with at most this much more load than the least loaded one are as
# good as it for work that fills.
LOAD_TOLERANCE = 0.1
# Room for more tasks than this makes a partition no better for a single one.
MAX_COUNTED_TASKS = 2
# Less room than this, in thousandths of a processor, is taken as this.
MIN_ALLOWED_CPU_MILLIS = 500


def count_fitting_tasks(
    step: model.Step, rooms: tuple[records.Room, ...], limit: int
) -> int:
    """Returns how many tasks of a step fit into rooms, up to a limit."""
    cpu_millis = max(1, step.amount.cpu_millis)
    memory_mb = max(1, step.amount.memory_mb)
    most = step.max_per_worker or limit
    count = 0
    for room in rooms:
        fitting = min(
            room.cpu_millis // cpu_millis, room.memory_mb // memory_mb, most
        )
        count += max(0, fitting)
    return min(count, limit)


def list_fresh_summaries(
    batch: state.Batch, now: float
) -> dict[str, records.SummaryRecord]:
    """Returns the summaries of owners that still write theirs."""
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
    """Tells whether a partition has workers for each step, as far as known."""
    if summary.offers is None:
        return True
    labels = summary.offers.get(service)
    if labels is None:
        return False
    needed = {step.required_label for step in steps if step.required_label}
    return needed <= set(labels)


def choose_partition(
    batch: state.Batch,
    job_id: str,
    steps: tuple[model.Step, ...],
    now: float,
    service: str = "",
) -> str | None:
    """Returns the partition for a new job; None if none is known.

    The own data centre comes first: its owners are near and can go on when the
    data centre is cut off. Another one is taken when no owner of the own one
    writes its summary, or when it fits more tasks or, for tasks that fill, has
    clearly less load. Partitions without workers of the service or with a label
    that the steps need are taken only if no other is known.
    """
    fresh = list_fresh_summaries(batch, now)
    if not fresh:
        return _choose_by_name(batch, job_id)
    if service:
        able = {
            name: summary
            for name, summary in fresh.items()
            if can_run(summary, service, steps)
        }
        fresh = able or fresh
    widest = max(steps, key=lambda step: step.count * step.amount.cpu_millis)
    if widest.tail_target_ms:
        chosen = _choose_by_image(fresh, widest)
    elif widest.fills:
        chosen = _choose_least_loaded(batch, fresh, job_id, steps)
    else:
        chosen = _choose_most_free(batch, fresh, job_id, widest)
    deduct_job(batch, chosen, steps)
    return chosen


def _choose_by_name(batch: state.Batch, job_id: str) -> str | None:
    """Returns a partition of which nothing but the name is known."""
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
    fresh: dict[str, records.SummaryRecord], job_id: str
) -> list[str]:
    """Returns a few of the partitions, others for each job.

    Summaries lag, so instances that all took the best partition would send it
    the work of a second. The better one of a few spreads it.
    """
    ordered = sorted(fresh, key=lambda name: _hash_pair(job_id, name))
    return ordered[:CANDIDATE_COUNT]


def _list_local(
    batch: state.Batch, fresh: dict[str, records.SummaryRecord]
) -> dict[str, records.SummaryRecord]:
    own = batch.identity.data_centre
    return {
        name: summary
        for name, summary in fresh.items()
        if model.find_data_centre(name) == own
    }


def find_opportunistic_load(
    summary: records.SummaryRecord, steps: tuple[model.Step, ...]
) -> float:
    """Returns the load of a partition for a job of steps that fill.

    It is that of all such work, or what the job asks for as a share of what
    its images may still use, whichever is higher.
    """
    load = summary.fill_load
    for step in steps:
        room = summary.fill_rooms.get(step.image)
        if room is not None and step.fills:
            asked = step.count * step.amount.cpu_millis
            load = max(load, asked / max(room, MIN_ALLOWED_CPU_MILLIS))
    return load


def _choose_least_loaded(
    batch: state.Batch,
    fresh: dict[str, records.SummaryRecord],
    job_id: str,
    steps: tuple[model.Step, ...],
) -> str:
    local = _list_local(batch, fresh)
    loads = {
        name: estimate_load(name, summary, steps)
        + (MIN_LOAD_ADVANTAGE if local and name not in local else 0.0)
        for name, summary in fresh.items()
    }
    return choose_by_load(loads, job_id)


def choose_by_load(loads: dict[str, float], job_id: str) -> str:
    """Returns one of the partitions whose load hardly differs from the least.

    What a job harms differs more between partitions than their load, so all of
    them are compared. The choice differs by job, as summaries lag.
    """
    most = min(loads.values()) + LOAD_TOLERANCE
    close = [name for name, load in loads.items() if load <= most]
    return max(close, key=lambda name: _hash_pair(job_id, name))


def estimate_load(
    name: str, summary: records.SummaryRecord, steps: tuple[model.Step, ...]
) -> float:
    """Returns the load of a partition for a job; its data may be elsewhere."""
    rack = find_data_rack(steps)
    remote = bool(rack) and not model.has_rack(name, rack)
    return find_opportunistic_load(summary, steps) + (
        REMOTE_DATA_LOAD if remote else 0.0
    )


def find_data_rack(steps: tuple[model.Step, ...]) -> str:
    """Returns the rack with the data of most tasks; empty for none."""
    counts: dict[str, int] = {}
    for step in steps:
        if step.data_rack:
            counts[step.data_rack] = counts.get(step.data_rack, 0) + step.count
    return max(counts, key=lambda rack: counts[rack], default="")


def _choose_by_image(
    fresh: dict[str, records.SummaryRecord], step: model.Step
) -> str:
    """Returns a partition with room, preferably the same for each image.

    Serving images that are kept apart suffer from different images that fill,
    so that each of these finds a partition where it does no harm.
    """
    fitting = {
        name: count_fitting_tasks(step, summary.rooms, step.count)
        for name, summary in fresh.items()
    }
    return max(
        fitting,
        key=lambda name: (fitting[name], _hash_pair(step.image, name)),
    )


def _hash_pair(subject: str, partition: str) -> bytes:
    """Returns a digest that orders the partitions for a subject."""
    text = f"{subject}/{partition}"
    return hashlib.blake2b(text.encode(), digest_size=4).digest()


def _choose_most_free(
    batch: state.Batch,
    fresh: dict[str, records.SummaryRecord],
    job_id: str,
    step: model.Step,
) -> str:
    local = _list_local(batch, fresh)

    def rate(name: str) -> tuple[bool, int, bool, int]:
        summary = fresh[name]
        fitting = count_fitting_tasks(step, summary.rooms, step.count)
        free = sum(room.cpu_millis for room in summary.rooms)
        is_data_near = not step.data_rack or (
            model.has_rack(name, step.data_rack)
        )
        return is_data_near and fitting > 0, fitting, name in local, free

    candidates = _sample_partitions(local, job_id)
    best = max(candidates, key=rate, default="")
    if best and rate(best)[0] and rate(best)[1] == step.count:
        return best
    return max(fresh, key=rate)


def choose_for_task(
    batch: state.Batch,
    names: Iterable[str],
    step: model.Step,
    subject: str,
) -> str | None:
    """Returns a partition with room for one task of a step, if there is one.

    Those with room for a second one come first, as summaries lag and others
    may take the room; the choice among them differs by subject.
    """
    fitting = {
        name: count_fitting_tasks(
            step, batch.summaries[name].rooms, MAX_COUNTED_TASKS
        )
        for name in names
    }
    chosen = max(
        (name for name, count in fitting.items() if count),
        key=lambda name: (fitting[name], _hash_pair(subject, name)),
        default=None,
    )
    if chosen is not None:
        deduct_job(batch, chosen, (attrs.evolve(step, count=1),))
    return chosen


def deduct_job(
    batch: state.Batch, name: str, steps: tuple[model.Step, ...]
) -> None:
    """Counts a job that was sent to a partition until its next summary."""
    summary = batch.summaries[name]
    first = steps[0]
    if first.fills:
        asked = first.count * first.amount.cpu_millis
        room = sum(room.cpu_millis for room in summary.rooms)
        load = summary.fill_load + asked / max(asked, room, 1)
        fill_rooms = dict(summary.fill_rooms)
        for step in steps:
            if step.image in fill_rooms:
                left = fill_rooms[step.image]
                left -= step.count * step.amount.cpu_millis
                fill_rooms[step.image] = max(0, left)
        batch.summaries[name] = attrs.evolve(
            summary, fill_load=load, fill_rooms=fill_rooms
        )
        return
    rooms = list(summary.rooms)
    for _ in range(first.count):
        largest = max(rooms, key=lambda room: room.cpu_millis, default=None)
        if largest is None:
            break
        rooms.remove(largest)
        rooms.append(
            records.Room(
                largest.cpu_millis - first.amount.cpu_millis,
                largest.memory_mb - first.amount.memory_mb,
            )
        )
    batch.summaries[name] = attrs.evolve(summary, rooms=tuple(rooms))

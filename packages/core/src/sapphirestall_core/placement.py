"""Which worker takes which task, and the terms of commands and leases."""

from collections.abc import Iterable

from sapphirestall_core import jobs
from sapphirestall_core import resources
from sapphirestall_core import tasks_state

COMMAND_TERM_S = 5.0
TASK_LEASE_S = 20.0
ATTEMPTS_PER_EPOCH = 2**20


def number_attempt(epoch: int, counter: int) -> int:
    """Returns an attempt number that rises across owners."""
    return epoch * ATTEMPTS_PER_EPOCH + counter


def choose_worker(
    workers: Iterable[tasks_state.Worker], amount: resources.Vector
) -> tasks_state.Worker | None:
    """Returns the reporting worker with the most free processors."""
    candidates = [
        worker
        for worker in workers
        if worker.ledger is not None
        and amount.fits(worker.ledger.compute_free())
    ]
    return max(candidates, key=_count_free_cpu, default=None)


def _count_free_cpu(worker: tasks_state.Worker) -> int:
    assert worker.ledger is not None
    return worker.ledger.compute_free().cpu_millis


def add_to_ranges(
    ranges: tuple[jobs.Range, ...], number: int
) -> tuple[jobs.Range, ...]:
    """Returns sorted, merged ranges that include one more number."""
    merged: list[jobs.Range] = []
    for part in sorted(
        (*ranges, jobs.Range(number, number)), key=lambda item: item.first
    ):
        if merged and part.first <= merged[-1].last + 1:
            last = max(merged[-1].last, part.last)
            merged[-1] = jobs.Range(merged[-1].first, last)
        else:
            merged.append(part)
    return tuple(merged)

"""In-memory model of a worker as the platform defines it."""

import math

import attrs

from sapphirestall_core import resources
from sapphirestall_core.batch import model
from sapphirestall_core.batch import worker_messages

STOP_S = 0.1


@attrs.define
class Running:
    """A run on a worker.

    Attributes:
        ends_at: When it is done; None if it runs for ever.
        stops_at: When a stop takes effect; None without one.
    """

    step: model.Step
    ends_at: float | None
    ends_as: model.EndKind
    stops_at: float | None = None


@attrs.define
class BatchWorker:
    """A worker: fence, runs under one lease, ends until acknowledged.

    Attributes:
        speed: Rate of its clock; workers' clocks may run slow.
        lapsed_position: Ends up to here came before a lapse of the lease.
    """

    entry: model.WorkerEntry
    lease_max_s: float
    born_at: float = 0.0
    speed: float = 0.985
    fence: int = 0
    lease_end_ms: int = 0
    running: dict[tuple[model.TaskName, int], Running] = attrs.field(
        factory=dict
    )
    ended: list[model.EndedRun] = attrs.field(factory=list)
    positions: int = 0
    voided: dict[model.TaskName, int] = attrs.field(factory=dict)
    lapsed_position: int = 0

    def read_clock(self, now: float) -> int:
        """Returns the worker's steady clock in milliseconds."""
        return int((now - self.born_at) * self.speed * 1000)

    def advance(self, now: float) -> None:
        """Ends what is done, stopped or lapsed by now."""
        lapses_at = self.born_at + self.lease_end_ms / (self.speed * 1000)
        for key, run in list(self.running.items()):
            done_at = run.ends_at or math.inf
            stopped_at = run.stops_at or math.inf
            first = min(done_at, stopped_at, lapses_at)
            if first > now:
                continue
            if first == done_at:
                self.end(key, run.ends_as, first)
            elif first == stopped_at:
                self.end(key, model.EndKind.STOPPED, first)
            else:
                self.end(key, model.EndKind.LAPSED, first)
        if lapses_at <= now:
            self.lapsed_position = self.positions

    def end(
        self, key: tuple[model.TaskName, int], kind: model.EndKind, at: float
    ) -> None:
        """Ends a run at a time that may be a little past."""
        del self.running[key]
        self.positions += 1
        self.voided[key[0]] = max(self.voided.get(key[0], 0), key[1])
        self.ended.append(
            model.EndedRun(self.positions, key[0], key[1], kind, "")
        )

    def list_all(self, now: float) -> worker_messages.Listing:
        """Returns a listing."""
        rows = tuple(
            model.ListedRun(task, number, "", 50, 0.0)
            for task, number in self.running
        )
        return worker_messages.Listing(
            self.read_clock(now), rows, tuple(self.ended)
        )

    def acknowledge(self, position: int) -> None:
        """Forgets ends up to a position."""
        self.ended = [end for end in self.ended if end.position > position]

    def extend(self, lease_end_ms: int | None, now: float) -> None:
        """Extends the lease, never shortens it."""
        if lease_end_ms is not None:
            most = self.read_clock(now) + int(self.lease_max_s * 1000)
            self.lease_end_ms = max(self.lease_end_ms, min(lease_end_ms, most))

    def count_reserved(self) -> resources.Vector:
        """Returns what runs take; those that fill take no processors."""
        total = resources.Vector()
        for run in self.running.values():
            amount = run.step.amount
            if run.step.fills:
                amount = attrs.evolve(amount, cpu_millis=0)
            total = total.plus(amount)
        return total

"""In-memory model of a worker of the Belkadi platform.

Times are monotonic and in seconds, except those on the worker's own clock.
"""

import math

import attrs

from sapphirestall_core import resources
from sapphirestall_core.batch import model
from sapphirestall_core.batch import worker_messages

STOP_DELAY_S = 0.1
# Time after which a run fails on a worker that fails all runs, in seconds.
FAILURE_DELAY_S = 0.2


@attrs.define
class ActiveRun:
    """A run on a worker.

    Attributes:
        step: Step of the task.
        done_at: When the run will be done; None if it runs until it is stopped.
        end_kind: How the run will end then.
        stops_at: When a stop takes effect; None if none was requested.
    """

    step: model.Step
    done_at: float | None
    end_kind: model.EndKind
    stops_at: float | None = None


@attrs.define
class BatchWorker:
    """A worker with a fence, runs under one lease, and unacknowledged ends.

    Attributes:
        entry: The worker's entry in the platform's list.
        lease_max_s: Longest lease that the worker grants, in seconds.
        started_at: When this incarnation started.
        speed: Rate of its own clock; the clocks of workers may run slow.
        fence: Highest fencing token that the worker has seen; calls with a
            lower one are refused.
        lease_end_ms: End of the lease of all runs, on the worker's own clock,
            in milliseconds.
        running: Runs by task and number.
        ended: Ended runs that were not acknowledged.
        ended_at: When each ended run ended, by position, in seconds.
        last_position: Position of the newest ended run.
        voided_numbers: For each task, the highest number of a run that has
            ended or was stopped; starts up to this number are refused.
        expired_position: Position of the newest run that had ended when the
            lease was last seen to be expired.
        unhealthy_until: Time before which the worker refuses all calls.
        fails_until: Time before which all runs that start fail.
        stalls_until: Time before which runs that start make no progress.
    """

    entry: model.WorkerEntry
    lease_max_s: float
    started_at: float = 0.0
    speed: float = 0.985
    fence: int = 0
    lease_end_ms: int = 0
    running: dict[tuple[model.TaskName, int], ActiveRun] = attrs.field(
        factory=dict
    )
    ended: list[model.EndedRun] = attrs.field(factory=list)
    ended_at: dict[int, float] = attrs.field(factory=dict)
    last_position: int = 0
    voided_numbers: dict[model.TaskName, int] = attrs.field(factory=dict)
    expired_position: int = 0
    unhealthy_until: float = 0.0
    fails_until: float = 0.0
    stalls_until: float = 0.0

    def read_clock(self, now: float) -> int:
        """Returns the time on the worker's own clock, in milliseconds."""
        return int((now - self.started_at) * self.speed * 1000)

    def fail_runs(self, now: float, seconds: float) -> None:
        """Lets all runs fail for a time, also those that start meanwhile."""
        self.fails_until = now + seconds
        for run in self.running.values():
            run.end_kind = model.EndKind.FAILED
            run.done_at = now + FAILURE_DELAY_S

    def stall_runs(self, now: float, seconds: float) -> None:
        """Lets all runs make no progress for a time."""
        self.stalls_until = now + seconds
        for run in self.running.values():
            if run.done_at is not None:
                run.done_at += seconds

    def advance(self, now: float) -> None:
        """Ends the runs that are done, stopped or without a lease by `now`."""
        lease_ends_at = self.started_at + self.lease_end_ms / (
            self.speed * 1000
        )
        for key, run in list(self.running.items()):
            done_at = run.done_at or math.inf
            stopped_at = run.stops_at or math.inf
            first = min(done_at, stopped_at, lease_ends_at)
            if first > now:
                continue
            if first == done_at:
                self.end(key, run.end_kind, first)
            elif first == stopped_at:
                self.end(key, model.EndKind.STOPPED, first)
            else:
                self.end(key, model.EndKind.LAPSED, first)
        if lease_ends_at <= now:
            self.expired_position = self.last_position

    def end(
        self, key: tuple[model.TaskName, int], kind: model.EndKind, at: float
    ) -> None:
        """Records that a run ended at the time `at`, which may have passed."""
        del self.running[key]
        self.last_position += 1
        self.ended_at[self.last_position] = at
        self.voided_numbers[key[0]] = max(
            self.voided_numbers.get(key[0], 0), key[1]
        )
        self.ended.append(
            model.EndedRun(self.last_position, key[0], key[1], kind, "")
        )

    def set_pace(self, key: tuple[model.TaskName, int], percent: int) -> None:
        """Sets the pace of a run; the runs of this worker have none."""

    def make_listing(self, now: float) -> worker_messages.Listing:
        """Makes a listing of all runs."""
        listed_runs = tuple(
            model.ListedRun(task, number, "", 50, 0.0)
            for task, number in self.running
        )
        return worker_messages.Listing(
            self.read_clock(now), listed_runs, tuple(self.ended)
        )

    def acknowledge(self, position: int) -> None:
        """Discards ended runs up to a position."""
        self.ended = [end for end in self.ended if end.position > position]

    def extend_lease(self, lease_end_ms: int | None, now: float) -> None:
        """Extends the lease; never shortens it.

        The new lease is at most `lease_max_s` long.
        """
        if lease_end_ms is not None:
            most = self.read_clock(now) + int(self.lease_max_s * 1000)
            self.lease_end_ms = max(self.lease_end_ms, min(lease_end_ms, most))

    def sum_reserved(self) -> resources.Vector:
        """Returns the resources that runs reserve.

        Opportunistic runs reserve no processors.
        """
        total = resources.Vector()
        for run in self.running.values():
            amount = run.step.amount
            if run.step.fills:
                amount = attrs.evolve(amount, cpu_millis=0)
            total = total.plus(amount)
        return total

"""Simulation of opportunistic work beside serving tasks, in virtual time.

Extends the simulation of batch instances by workers on which opportunistic runs
raise the tail latency of serving runs, by an amount that depends on the pair of
images, and work at the pace that their owner sets. The owners know none of this
and have to learn it from listings.
"""

import math
import random
import zlib

import attrs

from sapphirestall_core import resources
from sapphirestall_core.batch import model
from sapphirestall_core.batch import worker_messages
from standins import batch_worker
from standins import batch_world

# Step of the integration of the progress of runs, in seconds.
TICK_S = 0.05
FULL_PERCENT = 100
# Relative error of a measured tail latency.
MEASUREMENT_ERROR = 0.05
# Least share of the capacity that a tail latency is computed with.
MIN_CAPACITY_SHARE = 0.02


@attrs.define
class Contention:
    """How images load workers and disturb each other.

    Attributes:
        base_tail_ms: Tail latency of a serving run without load, in
            milliseconds.
        load: Mean share of their capacity that serving runs use.
        load_swing: Amplitude of the load, as a share of the mean.
        load_period_s: Period of the load, in seconds.
        interference: Share of its capacity that a serving image loses when an
            opportunistic image uses all processors of a worker, by pair.
        restore_s: Time after its start until a run that resumes from a
            checkpoint works, in seconds.
        rng: Random numbers of the measurements.
    """

    base_tail_ms: float = 4.0
    load: float = 0.42
    load_swing: float = 0.5
    load_period_s: float = 10.0
    interference: dict[tuple[str, str], float] = attrs.field(factory=dict)
    restore_s: float = 0.6
    rng: random.Random = attrs.field(factory=lambda: random.Random(1))

    def find_load(self, image: str, now: float) -> float:
        """Returns the share of their capacity that runs of an image use."""
        # Images reach their highest load at different times.
        phase = zlib.crc32(image.encode()) / 2**32
        angle = 2 * math.pi * (now / self.load_period_s + phase)
        return self.load * (1 + self.load_swing * math.sin(angle))


@attrs.define
class ContendedRun(batch_worker.ActiveRun):
    """A run whose progress depends on its pace.

    Attributes:
        remaining_s: Work that is left, in seconds at full pace; None if the run
            lasts until it is stopped.
        duration_s: Work of the whole task, in seconds.
        restoring_s: Time until the run works, in seconds.
        percent: Pace, in percent.
    """

    remaining_s: float | None = None
    duration_s: float = 1.0
    restoring_s: float = 0.0
    percent: int = FULL_PERCENT

    def find_progress(self) -> int:
        """Returns the progress of the task, in percent."""
        if self.remaining_s is None:
            return FULL_PERCENT
        done = 1 - self.remaining_s / self.duration_s
        return int(FULL_PERCENT * max(0.0, min(1.0, done)))


@attrs.define
class ContendedWorker(batch_worker.BatchWorker):
    """A worker whose runs share its processors and disturb each other.

    Attributes:
        contention: How images load workers and disturb each other.
        advanced_at: Time up to which the progress of runs was computed.
        missed_s: Time for which serving runs were over their target, in
            seconds, added up over the runs.
        used_cpu_s: Processor time that opportunistic runs have used, in
            seconds.
    """

    contention: Contention = attrs.field(factory=Contention)
    advanced_at: float = 0.0
    missed_s: float = 0.0
    used_cpu_s: float = 0.0

    def advance(self, now: float) -> None:
        """Computes the progress of runs, and ends those that are done."""
        while self.advanced_at + TICK_S <= now:
            self.advanced_at += TICK_S
            if self.running:
                self._work(self.advanced_at)
        super().advance(now)

    def _work(self, now: float) -> None:
        """Lets all runs work for one step of the integration."""
        share = self.find_filling_share(now)
        for run in self.running.values():
            assert isinstance(run, ContendedRun)
            if run.step.tail_target_ms:
                tail_ms = self.find_tail(run.step.image, now)
                self.missed_s += TICK_S * (tail_ms > run.step.tail_target_ms)
            if run.remaining_s is None:
                continue
            if run.restoring_s > 0:
                run.restoring_s -= TICK_S
                continue
            rate = 1.0
            if run.step.fills:
                rate = share * run.percent / FULL_PERCENT
                cpu = run.step.amount.cpu_millis / 1000
                self.used_cpu_s += TICK_S * rate * cpu
            run.remaining_s -= TICK_S * rate
            if run.remaining_s <= 0 and run.done_at is None:
                run.done_at = now

    def find_idle(self, now: float) -> float:
        """Returns the processors that no reserving run uses, in thousandths."""
        used = 0.0
        for run in self.running.values():
            if run.step.tail_target_ms:
                load = self.contention.find_load(run.step.image, now)
                used += run.step.amount.cpu_millis * load
            elif not run.step.fills:
                used += run.step.amount.cpu_millis
        return max(0.0, self.entry.capacity.cpu_millis - used)

    def find_filling_share(self, now: float) -> float:
        """Returns the share of its pace at which each opportunistic run works.

        It is below 1 if these runs request more processors than are idle.
        """
        requested = sum(
            run.step.amount.cpu_millis * run.percent / FULL_PERCENT
            for run in self.running.values()
            if isinstance(run, ContendedRun) and run.step.fills
        )
        return min(1.0, self.find_idle(now) / requested) if requested else 1.0

    def find_tail(self, image: str, now: float) -> float:
        """Returns the tail latency of a serving image, in milliseconds."""
        share = self.find_filling_share(now)
        capacity = 1 - self.contention.find_load(image, now)
        for run in self.running.values():
            if isinstance(run, ContendedRun) and run.step.fills:
                pair = (image, run.step.image)
                used = run.step.amount.cpu_millis * share * run.percent
                used /= FULL_PERCENT * self.entry.capacity.cpu_millis
                capacity -= self.contention.interference.get(pair, 0.0) * used
        return self.contention.base_tail_ms / max(MIN_CAPACITY_SHARE, capacity)

    def end(
        self, key: tuple[model.TaskName, int], kind: model.EndKind, at: float
    ) -> None:
        """Records that a run ended, with the work left as its checkpoint."""
        run = self.running[key]
        super().end(key, kind, at)
        if (
            isinstance(run, ContendedRun)
            and run.step.checkpointing
            and run.remaining_s is not None
        ):
            checkpoint = f"{run.remaining_s:.3f}"
            self.ended[-1] = attrs.evolve(self.ended[-1], checkpoint=checkpoint)

    def make_listing(self, now: float) -> worker_messages.Listing:
        """Makes a listing with tail latencies and processors in use."""
        share = self.find_filling_share(now)
        tails: dict[str, float] = {}
        rows = []
        for (task, number), run in self.running.items():
            assert isinstance(run, ContendedRun)
            image = run.step.image
            if run.step.tail_target_ms:
                if image not in tails:
                    tails[image] = self.find_tail(image, now)
                error = self.contention.rng.gauss(1.0, MEASUREMENT_ERROR)
                value = float(max(1, round(tails[image] * error)))
            else:
                rate = share * run.percent / FULL_PERCENT
                value = run.step.amount.cpu_millis * rate
            rows.append(
                model.ListedRun(task, number, "", run.find_progress(), value)
            )
        return worker_messages.Listing(
            self.read_clock(now), tuple(rows), tuple(self.ended)
        )

    def set_pace(self, key: tuple[model.TaskName, int], percent: int) -> None:
        """Sets the pace of a run."""
        run = self.running.get(key)
        if isinstance(run, ContendedRun):
            run.percent = percent


@attrs.define
class ContentionWorld(batch_world.BatchWorld):
    """Instances and contended workers under one virtual clock.

    Attributes:
        contention: How images load workers and disturb each other.
        durations: Duration of the tasks of each step, in seconds at full pace,
            by job.
    """

    contention: Contention = attrs.field(factory=Contention)
    durations: dict[str, tuple[float, ...]] = attrs.field(factory=dict)

    def add_worker(
        self,
        name: str,
        data_centre: str,
        cpu_millis: int = 32_000,
        rack: str = "",
    ) -> batch_worker.BatchWorker:
        """Starts a worker and adds it to the platform's list."""
        super().add_worker(name, data_centre, cpu_millis, rack)
        entry = attrs.evolve(
            self.listed_workers[name],
            capacity=resources.Vector(cpu_millis, 4 * cpu_millis, 0),
        )
        self.listed_workers[name] = entry
        self.workers[name] = ContendedWorker(
            entry,
            self.limits.worker_lease_s,
            self.now,
            contention=self.contention,
            advanced_at=self.now,
        )
        return self.workers[name]

    def make_run(
        self,
        call: worker_messages.StartRun,
        step: model.Step,
        done_at: float | None,
        kind: model.EndKind,
    ) -> batch_worker.ActiveRun:
        """Makes a run whose end depends on its pace."""
        if step.long_running:
            return ContendedRun(step, None, kind)
        duration_s = self.durations[call.task.job_id][call.task.step]
        remaining_s = float(call.checkpoint or duration_s)
        return ContendedRun(
            step,
            None,
            kind,
            remaining_s=remaining_s,
            duration_s=duration_s,
            restoring_s=self.contention.restore_s if call.checkpoint else 0.0,
        )

"""Random sequences in a fleet that long-running tasks nearly fill.

Long-running jobs come and go beside finite jobs, some of which fail by their
own fault. Workers flap, fail or stall what they run, refuse calls and join, and
instances are slow, killed or added; these events may overlap. A long-running
task has to run again only while there is free capacity for it twice over.
"""

from collections.abc import Callable
from collections.abc import Iterable
import functools
import itertools

import attrs

from sapphirestall_core import resources
from sapphirestall_core.batch import caller_messages
from sapphirestall_core.batch import model
from standins import batch_faults
from standins import batch_restarts
from standins import batch_world
from standins import seeds

DATA_CENTRES = ("north", "south")
RACKS = 4
RACKS_PER_PARTITION = 2
WORKERS_PER_RACK = 2
NODES_PER_DATA_CENTRE = 3
CPU_MILLIS = 8000
LABELS = ("", "", "", "a", "b")
START_S = 4.0
# Share of the processors that long-running jobs request.
SHARE = (0.5, 0.9)
# Ranges, in seconds: time between finite jobs, time that a long-running job
# stays, duration of the runs of finite tasks.
FINITE_INTERVAL_S = (0.1, 0.6)
STAY_S = (15.0, 60.0)
RUN_S = ((0.3, 2.0), (0.5, 8.0))
# Share of the finite jobs whose tasks all fail.
HOPELESS_SHARE = 0.1
# Each round has some events within the first time, and is then calm.
EVENTS_S = 8.0
CALM_S = 16.0
MAX_EVENTS = 4
# Number of tasks for which there has to be capacity.
NEEDED_CAPACITY = 2


@attrs.define
class CapacityCheck(batch_restarts.RestartCheck):
    """Times without a run while there is free capacity for a task twice over.

    Attributes:
        capacity_since: Since when there has been such capacity for each task
            without a run, in seconds.
        longest_s: Longest time without a run that the rule counts.
        longest: The task with that time, and its time.
    """

    capacity_since: dict[model.TaskName, float] = attrs.field(factory=dict)
    longest_s: float = 0.0
    longest: str = ""

    def find_late_since(
        self, task: model.TaskName, last_run_at: float
    ) -> float:
        """Returns from when on a task without a run is late, in seconds."""
        now = self.world.now
        step = self.world.jobs[task.job_id][task.step]
        if self._has_capacity(task, step):
            self.capacity_since.setdefault(task, now)
        else:
            self.capacity_since.pop(task, None)
        since = max(
            super().find_late_since(task, last_run_at),
            self.capacity_since.get(task, now),
        )
        if now - since > self.longest_s:
            self.longest_s = now - since
            self.longest = f"{task} without a run since {last_run_at:.1f}"
        return since

    def _has_capacity(self, task: model.TaskName, step: model.Step) -> bool:
        """Returns whether sound workers have capacity for a task twice over."""
        count = 0
        for name in self.faults.list_sound_workers():
            worker = self.world.workers[name]
            labels = self.world.listed_workers[name].labels
            if step.required_label not in ("", *labels):
                continue
            free = worker.entry.capacity.minus(worker.sum_reserved())
            most = NEEDED_CAPACITY
            if step.max_per_worker:
                most = step.max_per_worker - sum(
                    other.job_id == task.job_id and other.step == task.step
                    for other, _ in worker.running
                )
            while most > 0 and step.amount.fits(free):
                free = free.minus(step.amount)
                most -= 1
                count += 1
        return count >= NEEDED_CAPACITY


@attrs.define
class FullFleet:
    """Random deployment, jobs, disturbances and planned work.

    Attributes:
        world: The simulation.
        faults: Its disturbances.
        check: Check of the long-running tasks.
        share: Share of the processors that long-running jobs request.
        interval_s: Time between finite jobs, in seconds.
        mixed: Whether to draw also cuts, outages of the store, restarts of
            instances, starts without an answer and workers that hang.
        requested: Processors that each long-running job requests, in
            thousandths.
        numbers: Source of the numbers of jobs, workers and instances.
    """

    world: batch_world.BatchWorld
    faults: batch_faults.BatchFaults
    check: CapacityCheck
    share: float
    interval_s: float
    mixed: bool = False
    requested: dict[str, int] = attrs.field(factory=dict)
    numbers: "itertools.count[int]" = attrs.field(
        factory=lambda: itertools.count(1)
    )

    def run(self, rounds: int) -> None:
        """Runs some rounds of events, each with a calm time after it."""
        self._submit_finite()
        self._submit_long_running()
        self.check.run(START_S)
        rng = self.world.rng
        for _ in range(rounds):
            for _ in range(rng.randint(1, MAX_EVENTS)):
                delay_s = rng.uniform(0, EVENTS_S)
                self.world.schedule(delay_s, self._draw_event())
            self.check.run(EVENTS_S + CALM_S)

    def add_worker(self, data_centre: str, rack: int) -> None:
        """Starts a worker with one of two labels."""
        world = self.world
        name = f"w-{next(self.numbers)}"
        worker = world.add_worker(name, data_centre, CPU_MILLIS, f"r1-{rack}")
        labels = (world.rng.choice(("a", "b")), f"r1-{rack}")
        worker.entry = attrs.evolve(worker.entry, labels=labels)
        world.listed_workers[name] = worker.entry

    def add_node(self, data_centre: str) -> None:
        """Starts an instance."""
        processors = self.world.rng.choice((0.3, 1.0))
        name = f"e-{data_centre}-{next(self.numbers)}"
        self.world.add_node(name, data_centre, processors)

    def _choose_node(self) -> batch_world.Node:
        return self.world.rng.choice(self.faults.list_sound_nodes())

    def _submit_finite(self) -> None:
        """Submits a finite job and schedules the next one."""
        world, rng = self.world, self.world.rng
        job_id = f"f{next(self.numbers):015x}"
        if rng.random() < HOPELESS_SHARE:
            world.hopeless_jobs.add(job_id)
        world.submit(
            self._choose_node(), job_id, *batch_restarts.draw_short_steps(rng)
        )
        world.schedule(self.interval_s, self._submit_finite)

    def _submit_long_running(self) -> None:
        """Submits long-running jobs up to the share of the processors."""
        world, rng = self.world, self.world.rng
        total = CPU_MILLIS * len(world.listed_workers)
        while sum(self.requested.values()) < self.share * total:
            step = model.Step(
                rng.randint(1, 6),
                resources.Vector(rng.choice((500, 1500, 3000, 5000)), 100, 0),
                long_running=True,
                required_label=rng.choice(LABELS),
                max_per_worker=rng.choice((0, 0, 1)),
            )
            job_id = f"{next(self.numbers):016x}"
            self.requested[job_id] = step.count * step.amount.cpu_millis
            world.submit(self._choose_node(), job_id, step)
            cancel = functools.partial(self._cancel, job_id)
            world.schedule(rng.uniform(*STAY_S), cancel)
        world.schedule(1.0, self._submit_long_running)

    def _cancel(self, job_id: str) -> None:
        self.requested.pop(job_id)
        self.check.cancelled.add(job_id)
        kind, path = caller_messages.CancelCalled, f"/jobs/{job_id}"
        self.world.call(self._choose_node(), kind, path)

    def _draw_event(self) -> "functools.partial[None]":
        """Draws an event for some workers or one instance."""
        rng, faults = self.world.rng, self.faults
        centre = rng.choice(DATA_CENTRES)
        sound = faults.list_sound_workers()
        names = rng.sample(sound, min(len(sound), rng.choice((1, 1, 2, 4))))
        node = self._choose_node()
        partial = functools.partial
        events = [
            partial(self._for_each, names, self._flap),
            partial(self._for_each, names, faults.fail_worker_runs),
            partial(self._for_each, names, faults.stall_worker_runs),
            partial(self._for_each, names, faults.refuse_calls),
            partial(self._for_each, names, faults.crash_worker),
            partial(self._for_each, names, self._replace),
            partial(self.add_worker, centre, rng.randint(1, RACKS)),
            partial(faults.slow_node, node, rng.uniform(1, 6)),
            partial(self._crash_node, node),
            partial(self.add_node, centre),
        ]
        if self.mixed:
            seconds = rng.uniform(1, 8)
            events += [
                partial(self._for_each, names, self._cut),
                partial(self._disturb_store, faults.stop_store, seconds),
                partial(
                    self._disturb_store,
                    functools.partial(faults.isolate, centre),
                    seconds,
                ),
                partial(faults.lose_start_answers, rng.random(), seconds),
                partial(self._restart_node, node),
            ]
            # Tasks that a crash leaves without a run meet workers that hang.
            hang = partial(self._for_each, names, faults.hang_worker)
            crash = partial(self._for_each, names, faults.crash_worker)
            events += 4 * [hang, crash]
        return rng.choice(events)

    def _for_each(
        self, names: Iterable[str], act: Callable[[str], None]
    ) -> None:
        """Lets an event happen to those workers that are sound by then."""
        for name in names:
            if name in self.faults.list_sound_workers():
                act(name)

    def _flap(self, name: str) -> None:
        self.faults.flap_worker(name, self.world.rng.randint(1, 4))

    def _replace(self, name: str) -> None:
        self.faults.replace_worker(name, f"w-{next(self.numbers)}")

    def _cut(self, name: str) -> None:
        self.faults.cut_worker_from_nodes(name, self.world.rng.uniform(1, 8))

    def _disturb_store(
        self, act: Callable[[float], None], seconds: float
    ) -> None:
        """Cuts the store off, unless it is already."""
        if not self.world.store_down and not self.world.isolated_data_centres:
            act(seconds)

    def _restart_node(self, node: batch_world.Node) -> None:
        if node in self.faults.list_sound_nodes():
            self.faults.restart_node(node)

    def _crash_node(self, node: batch_world.Node) -> None:
        nodes = self.faults.list_sound_nodes()
        if node in nodes and len(nodes) > 1:
            self.faults.crash_node(node)


def build(seed: int) -> FullFleet:
    """Starts a random deployment of two data centres."""
    world = batch_world.BatchWorld(seed)
    world.store_division(RACKS_PER_PARTITION)
    rng = world.rng
    world.run_duration_s = rng.choice(RUN_S)
    faults = batch_faults.BatchFaults(world)
    fleet = FullFleet(
        world,
        faults,
        CapacityCheck(world, faults),
        rng.uniform(*SHARE),
        rng.uniform(*FINITE_INTERVAL_S),
    )
    for name in DATA_CENTRES:
        for number in range(RACKS * WORKERS_PER_RACK):
            fleet.add_worker(name, number // WORKERS_PER_RACK + 1)
        for _ in range(NODES_PER_DATA_CENTRE):
            fleet.add_node(name)
    world.run(START_S)
    return fleet


def play(seed: int, rounds: int = 2, *, mixed: bool = False) -> str:
    """Plays the random sequence of a seed and describes what failed."""
    fleet = build(seed)
    fleet.mixed = mixed
    fleet.run(rounds)
    late = list(fleet.check.late.values())
    violations = fleet.world.violations
    if not late and not violations:
        return ""
    return f"late {len(late)} {late[:1]} {violations[:1]}"


def main() -> None:
    """Plays the sequences that the command line names."""
    seeds.run_rounds(__doc__, "1-20", play)


if __name__ == "__main__":
    main()

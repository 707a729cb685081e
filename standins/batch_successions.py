"""Loss of a worker around the ends of successive owners of its partition.

The events are aimed at one partition: one of its workers with long-running
tasks is lost, and its owner, the next owner, and so on, are killed or asked to
shut down. Run as a module, it plays random sequences of such events and prints
those in which a task was not restarted in time.
"""

import enum
import functools
import itertools
import random

import attrs

from sapphirestall_core import resources
from sapphirestall_core.batch import model
from standins import batch_faults
from standins import batch_restarts
from standins import batch_world
from standins import seeds

DATA_CENTRES = ("north", "south")
WORKERS_PER_DATA_CENTRE = 4
NODES_PER_DATA_CENTRE = 3
WORKERS_PER_RACK = 2
RACKS_PER_PARTITION = 2
WORKER_CPU_MILLIS = 8000
START_S = 4.0
# Time after the submission of the jobs at which the first owner ends.
FIRST_END_S = 10.0
# Time after that in which all tasks have to run again.
SETTLING_S = 30.0
# Time for which a worker is cut off.
CUT_S = 12.0
# Time of the first of two cuts. The owner notices it, and the leases last.
FIRST_CUT_S = 3.5
# Time until an end is tried again that found the partition without an owner.
RETRY_S = 0.1
# Ranges of random sequences: time of the loss after the end of the first owner,
# time between ends, time from the notice of a worker to its exit or between two
# cuts.
LOSS_S = (-7.5, 5.0)
INTERVAL_S = (0.7, 4.0)
NOTICE_S = (0.5, 4.0)
MAX_ENDS = 4


class Loss(enum.Enum):
    """How a worker is lost."""

    CRASH = "crash"
    # It exits soon after it has announced this.
    EXIT = "exit"
    # It loses the store and all instances, but still runs its tasks.
    CUT = "cut"
    # The same for a few seconds, and again after it was reached for a moment.
    CUT_TWICE = "cut twice"
    # Only its owner, which loses the store, still reaches it.
    KEPT = "kept"


DRAWN_LOSSES = (Loss.CRASH, Loss.EXIT, Loss.CUT, Loss.CUT_TWICE)


class End(enum.Enum):
    """How an owner ends."""

    SHUTDOWN = "shuts down"
    KILL = "is killed"


@attrs.frozen
class Sequence:
    """Events around the end of an owner.

    Attributes:
        loss: How the worker is lost.
        loss_s: When, counted from the end of the first owner, in seconds.
        ends: How successive owners end.
        interval_s: Time between these ends, in seconds.
        notice_s: Time from the notice of a worker to its exit, or between two
            cuts of it, in seconds.
        processors: Processors of each instance.
    """

    loss: Loss
    loss_s: float
    ends: tuple[End, ...]
    interval_s: float = 2.0
    notice_s: float = 2.0
    processors: float = 0.3


@attrs.define
class Succession:
    """Deployment with two long-running jobs and the sequence that it plays.

    Attributes:
        world: The simulation.
        faults: Its disturbances and planned work.
        check: Check of the long-running tasks.
        sequence: The events.
        worker: Id of the worker that is lost.
        numbers: Source of the numbers of workers.
    """

    world: batch_world.BatchWorld
    faults: batch_faults.BatchFaults
    check: batch_restarts.RestartCheck
    sequence: Sequence
    worker: str = ""
    numbers: "itertools.count[int]" = attrs.field(
        factory=lambda: itertools.count(1)
    )

    def play(self) -> None:
        """Runs the jobs and the events until all tasks should run again."""
        world, sequence = self.world, self.sequence
        self.start()
        partition = world.find_partition(self.worker)
        first_s = FIRST_END_S
        world.schedule(first_s + sequence.loss_s, self.lose_worker)
        for number, end in enumerate(sequence.ends):
            world.schedule(
                first_s + number * sequence.interval_s,
                functools.partial(self.end_owner, partition, end),
            )
        last_s = first_s + len(sequence.ends) * sequence.interval_s
        self.check.run(last_s + SETTLING_S)

    def start(self) -> None:
        """Submits the jobs and chooses the worker that will be lost."""
        world = self.world
        self._submit_jobs()
        self.check.run(FIRST_END_S / 2)
        data_centre = DATA_CENTRES[0]
        self.worker = world.rng.choice(
            sorted(
                {
                    name
                    for name, _, _ in world.list_runs()
                    if world.workers[name].entry.data_centre == data_centre
                }
            )
        )

    def _submit_jobs(self) -> None:
        amount = resources.Vector(1500, 100, 0)
        # With one task a worker, a lost worker leaves none for the fourth task.
        apart = model.Step(4, amount, long_running=True, max_per_worker=1)
        self.world.submit(self.world.nodes[0], f"{1:016x}", apart)
        together = model.Step(3, amount, long_running=True)
        self.world.submit(self.world.nodes[0], f"{2:016x}", together)

    def lose_worker(self) -> None:
        """Loses the worker as the sequence says."""
        name, sequence = self.worker, self.sequence
        match sequence.loss:
            case Loss.CRASH:
                self.faults.crash_worker(name)
            case Loss.EXIT:
                successor = f"w-{next(self.numbers)}"
                self.faults.replace_worker(name, successor, sequence.notice_s)
            case Loss.CUT:
                self._cut_worker()
            case Loss.CUT_TWICE:
                self.faults.cut_worker_from_nodes(name, FIRST_CUT_S)
                second_s = FIRST_CUT_S + sequence.notice_s
                self.world.schedule(second_s, self._cut_worker)
            case Loss.KEPT:
                self._isolate_with_owner()

    def _cut_worker(self) -> None:
        self.faults.cut_worker_from_store(self.worker, CUT_S)
        self.faults.cut_worker_from_nodes(self.worker, CUT_S)

    def _isolate_with_owner(self) -> None:
        """Cuts the worker and its owner off from all but each other."""
        world, faults, name = self.world, self.faults, self.worker
        owner = world.find_owner(world.find_partition(name))
        assert owner is not None
        others = [node.name for node in world.nodes if node is not owner]
        faults.cut_node_from_store(owner.name, CUT_S)
        faults.cut_worker_from_store(name, CUT_S)
        faults.cut_paths(others, [name], CUT_S)

    def end_owner(self, partition: str, end: End) -> None:
        """Ends the owner of a partition as soon as there is one."""
        owner = self.world.find_owner(partition)
        if owner is None or owner.name in self.faults.restarting:
            retry = functools.partial(self.end_owner, partition, end)
            self.world.schedule(RETRY_S, retry)
        elif end is End.SHUTDOWN:
            self.faults.restart_node(owner)
        else:
            self.faults.crash_node(owner)


def build(seed: int, sequence: Sequence) -> Succession:
    """Starts two data centres, the second with twice as many workers."""
    world = batch_world.BatchWorld(seed)
    world.store_division(RACKS_PER_PARTITION)
    faults = batch_faults.BatchFaults(world)
    check = batch_restarts.RestartCheck(world, faults)
    succession = Succession(world, faults, check, sequence)
    for factor, name in enumerate(DATA_CENTRES, 1):
        for number in range(WORKERS_PER_DATA_CENTRE * factor):
            world.add_worker(
                f"w-{next(succession.numbers)}",
                name,
                WORKER_CPU_MILLIS,
                f"r1-{number // WORKERS_PER_RACK + 1}",
            )
        for number in range(NODES_PER_DATA_CENTRE):
            world.add_node(f"e-{name}-{number}", name, sequence.processors)
    world.run(START_S)
    return succession


def draw(rng: random.Random) -> Sequence:
    """Draws a random sequence."""
    return Sequence(
        rng.choice(DRAWN_LOSSES),
        rng.uniform(*LOSS_S),
        tuple(rng.choices(tuple(End), k=rng.randint(1, MAX_ENDS))),
        rng.uniform(*INTERVAL_S),
        rng.uniform(*NOTICE_S),
        rng.choice((0.3, 1.0)),
    )


def find_failures(succession: Succession) -> str:
    """Describes late tasks and broken invariants; empty if there are none."""
    late = list(succession.check.late.values())
    violations = succession.world.violations
    if not late and not violations:
        return ""
    return f"late {len(late)} {late[:1]} {violations[:1]}"


def describe(succession: Succession) -> str:
    """Describes what failed, and the sequence; empty if nothing did."""
    found = find_failures(succession)
    return f"{found} {succession.sequence}" if found else ""


def play(seed: int) -> str:
    """Plays the random sequence of a seed and describes what failed."""
    succession = build(seed, draw(random.Random(seed)))
    succession.play()
    return describe(succession)


def main() -> None:
    """Plays the sequences that the command line names."""
    seeds.run(__doc__, "1-100", play)


if __name__ == "__main__":
    main()

"""Loss of several workers of full partitions, with room in other partitions.

The partitions that lose workers are full of long-running tasks of many jobs, so
that all tasks of the lost workers have to move. Other partitions have more than
enough room for them, or hardly enough, and the owners of all full partitions
choose from it. Run as a module, it plays random sequences and prints those in
which a task waited although there was room for it twice over.
"""

import functools
import itertools
import random

import attrs

from sapphirestall_core import resources
from sapphirestall_core.batch import model
from standins import batch_faults
from standins import batch_full_fleet
from standins import batch_successions
from standins import batch_world
from standins import seeds

DATA_CENTRES = ("north", "south")
NODES_PER_DATA_CENTRE = 4
NODE_PROCESSORS = (0.5, 1.0)
WORKERS_PER_PARTITION = 32
LOST = (4, 8, 16, 24)
CPU_MILLIS = 16_000
# Range of the processors of workers with room, in thousandths.
ROOM_CPU_MILLIS = (5000, 16_000)
TASK_CPU_MILLIS = (1000, 2000, 3000, 4400)
WIDTHS = ((1,), (1, 2, 4), (14,), (1, 2, 4, 8, 14))
# Share of the processors that the tasks request before the loss.
SHARE = 0.97
START_S = 4.0
# Time between two jobs, in seconds.
SUBMISSION_INTERVAL_S = 0.02
SETTLING_S = 8.0
# Time within which all workers of a sequence are lost, in seconds.
LOSS_S = 0.6
RESTART_S = 20.0
# Ranges of random sequences: processors of the workers with room, as a multiple
# of what the tasks of the lost workers request; time of the end of an owner
# after the loss, in seconds.
ROOM = ((1.1, 1.5), (2.0, 5.0))
OWNER_END_S = (0.0, 8.0)


@attrs.frozen
class Sequence:
    """Full partitions, what they lose, and the room elsewhere.

    Attributes:
        sources: Number of partitions that lose workers.
        lost: Number of workers that each of them loses.
        targets: Number of partitions with room.
        room: Processors of their workers, as a multiple of what the tasks of
            the lost workers request.
        widths: Numbers of tasks of the jobs, to choose from.
        max_per_worker: Highest number of tasks of a job on one worker; 0 for no
            limit.
        owner_end: How the owner of a partition that loses workers ends, if it
            does.
        owner_end_s: When, counted from the loss, in seconds.
    """

    sources: int
    lost: int
    targets: int
    room: float
    widths: tuple[int, ...]
    max_per_worker: int = 0
    owner_end: batch_successions.End | None = None
    owner_end_s: float = 0.0


@attrs.define
class RoomScenario:
    """Deployment and the sequence that it plays.

    Attributes:
        succession: Deployment with its disturbances and the check of the tasks.
        sequence: The events.
    """

    succession: batch_successions.Succession
    sequence: Sequence

    @property
    def check(self) -> batch_full_fleet.CapacityCheck:
        """Check of the long-running tasks."""
        check = self.succession.check
        assert isinstance(check, batch_full_fleet.CapacityCheck)
        return check

    @property
    def nodes(self) -> list[batch_world.Node]:
        """All instances."""
        return self.succession.world.nodes

    def play(self) -> None:
        """Plays the sequence until all tasks should run again."""
        world = self.succession.world
        sources = self._add_sources()
        world.run(START_S)
        self._submit_jobs()
        self.check.run(SETTLING_S)
        lost = self._choose_lost(sources)
        runs = [task for name, task, _ in world.list_runs() if name in lost]
        requested = sum(
            world.jobs[task.job_id][task.step].amount.cpu_millis
            for task in runs
        )
        self._add_targets(requested)
        self.check.run(SETTLING_S)
        for name in lost:
            crash = functools.partial(self.succession.faults.crash_worker, name)
            world.schedule(world.rng.uniform(0.0, LOSS_S), crash)
        if self.sequence.owner_end is not None:
            end = functools.partial(
                self.succession.end_owner,
                world.find_partition(lost[0]),
                self.sequence.owner_end,
            )
            world.schedule(self.sequence.owner_end_s, end)
        self.check.run(RESTART_S)

    def find_failures(self) -> str:
        """Describes late tasks and broken invariants, if there are any."""
        return batch_successions.find_failures(self.succession)

    def _add_sources(self) -> list[list[str]]:
        """Starts the workers of the full partitions and returns their ids."""
        sources = []
        for number in range(self.sequence.sources):
            names = [
                self._add_worker(number, CPU_MILLIS)
                for _ in range(WORKERS_PER_PARTITION)
            ]
            sources.append(names)
        return sources

    def _add_targets(self, requested: int) -> None:
        """Starts workers with a multiple of the requested processors."""
        rng = self.succession.world.rng
        numbers = itertools.cycle(range(self.sequence.targets))
        left = int(requested * self.sequence.room)
        while left > 0:
            cpu_millis = min(rng.randint(*ROOM_CPU_MILLIS), max(left, 2000))
            self._add_worker(self.sequence.sources + next(numbers), cpu_millis)
            left -= cpu_millis

    def _add_worker(self, partition: int, cpu_millis: int) -> str:
        data_centre = DATA_CENTRES[partition % len(DATA_CENTRES)]
        rack = f"r1-{partition // len(DATA_CENTRES) + 1}"
        name = f"w-{next(self.succession.numbers)}"
        world = self.succession.world
        world.add_worker(name, data_centre, cpu_millis, rack)
        return name

    def _submit_jobs(self) -> None:
        """Submits jobs that fill the partitions."""
        world, rng = self.succession.world, self.succession.world.rng
        left = int(SHARE * CPU_MILLIS * len(world.listed_workers))
        for number in itertools.count(1):
            cpu_millis = rng.choice(TASK_CPU_MILLIS)
            step = model.Step(
                rng.choice(self.sequence.widths),
                resources.Vector(cpu_millis, 100, 0),
                long_running=True,
                max_per_worker=self.sequence.max_per_worker,
            )
            left -= step.count * cpu_millis
            if left < 0:
                break
            world.submit(rng.choice(world.nodes), f"{number:016x}", step)
            world.run(SUBMISSION_INTERVAL_S)

    def _choose_lost(self, sources: list[list[str]]) -> list[str]:
        rng = self.succession.world.rng
        return [
            name
            for names in sources
            for name in rng.sample(names, self.sequence.lost)
        ]


def build(seed: int, sequence: Sequence) -> RoomScenario:
    """Starts the instances of two data centres without workers."""
    world = batch_world.BatchWorld(seed)
    world.store_division(1)
    faults = batch_faults.BatchFaults(world)
    check = batch_full_fleet.CapacityCheck(world, faults)
    succession = batch_successions.Succession(
        world,
        faults,
        check,
        batch_successions.Sequence(batch_successions.Loss.CRASH, 0.0, ()),
    )
    for data_centre in DATA_CENTRES:
        for number in range(NODES_PER_DATA_CENTRE):
            world.add_node(
                f"e-{data_centre}-{number}",
                data_centre,
                world.rng.choice(NODE_PROCESSORS),
            )
    return RoomScenario(succession, sequence)


def draw(rng: random.Random) -> Sequence:
    """Draws a random sequence."""
    return Sequence(
        rng.randint(1, 3),
        rng.choice(LOST),
        rng.randint(1, 4),
        rng.uniform(*rng.choice(ROOM)),
        rng.choice(WIDTHS),
        rng.choice((0, 0, 1)),
        rng.choice((None, None, *batch_successions.End)),
        rng.uniform(*OWNER_END_S),
    )


def play(seed: int) -> str:
    """Plays the random sequence of a seed and describes what failed."""
    scenario = build(seed, draw(random.Random(seed)))
    scenario.play()
    found = scenario.find_failures()
    return f"{found} {scenario.sequence}" if found else ""


def main() -> None:
    """Plays the sequences that the command line names."""
    seeds.run(__doc__, "1-20", play)


if __name__ == "__main__":
    main()

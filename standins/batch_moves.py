"""Loss of a worker whose long-running tasks have to move to another partition.

The partition of the worker has no room for them, and one to three others have.
Around the moves the owner that writes them, or that of a partition with room,
is killed or asked to shut down, or the store fails the write. Run as a module,
it plays random sequences of such events and prints those in which a task was
not restarted in time.
"""

import functools
import random

import attrs

from sapphirestall_core import resources
from sapphirestall_core.batch import model
from sapphirestall_core.batch import move_writes
from standins import batch_call_faults
from standins import batch_faults
from standins import batch_restarts
from standins import batch_successions
from standins import batch_world
from standins import seeds

DATA_CENTRES = ("north", "south", "east")
PARTITIONS_PER_DATA_CENTRE = 4
WORKERS_PER_PARTITION = 2
NODES_PER_DATA_CENTRE = 3
WORKER_CPU_MILLIS = 8000
# Processors of a long-running task, and more than a worker without room keeps
# free, in thousandths.
TASK_CPU_MILLIS = 1500
LEFT_CPU_MILLIS = 1000
# Label of every second worker.
LABEL = "b"
START_S = 4.0
SETTLING_S = 6.0
# Tasks that use up the room last longer than a sequence.
FILLING_RUN_S = (200.0, 200.0)
# Expected time from the loss of a worker to the moves, in seconds: the leases,
# or the time until the entry of a worker that has exited counts as removed.
LEASES_S = 6.5
EXIT_S = 3.8
RESTART_S = 24.0
# Ranges of random sequences: time from the notice of a worker to its exit, and
# time of the end of an owner after the expected moves.
NOTICE_S = (0.5, 4.0)
OWNER_END_S = (-7.5, 2.0)
TARGET_END_S = (-2.5, 1.5)
WIDTHS = (1, 4, 8, 14)


@attrs.frozen
class Sequence:
    """Events around the moves of the tasks of a lost worker.

    Attributes:
        loss: How the worker is lost.
        notice_s: Time from its notice to its exit, in seconds.
        width: Number of tasks of a job with one task for each worker.
        label: Label that this job requires; empty for none.
        targets: Number of partitions with room.
        owner_end: How the owner of the worker's partition ends, if it does.
        owner_end_s: When, counted from the expected moves, in seconds.
        target_end: How the owner of a partition with room ends, if it does.
        target_end_s: When, counted from the expected moves, in seconds.
        write_fault: What happens to the first move by the owner of the worker's
            partition, if anything does.
    """

    loss: batch_successions.Loss
    notice_s: float
    width: int
    label: str
    targets: int
    owner_end: batch_successions.End | None = None
    owner_end_s: float = 0.0
    target_end: batch_successions.End | None = None
    target_end_s: float = 0.0
    write_fault: batch_call_faults.StoreFault | None = None


@attrs.define
class MoveScenario:
    """Deployment with long-running jobs and the sequence that it plays.

    Attributes:
        succession: Loss of the worker and ends of owners.
        sequence: The events.
    """

    succession: batch_successions.Succession
    sequence: Sequence

    def play(self) -> None:
        """Runs the jobs and the events until all tasks should run again."""
        succession, sequence = self.succession, self.sequence
        source, targets = self.prepare()
        move_s = LEASES_S
        if sequence.loss is batch_successions.Loss.EXIT:
            # A successor would have room in the same partition.
            succession.faults.retire_worker(
                succession.worker, sequence.notice_s
            )
            move_s = sequence.notice_s + EXIT_S
        else:
            succession.lose_worker()
        if sequence.owner_end is not None:
            self._schedule_end(
                move_s + sequence.owner_end_s, source, sequence.owner_end
            )
        if sequence.target_end is not None:
            self._schedule_end(
                move_s + sequence.target_end_s, targets[0], sequence.target_end
            )
        if sequence.write_fault is not None:
            self._fail_move(source, sequence.write_fault)
        succession.check.run(RESTART_S)

    def prepare(self) -> tuple[str, list[str]]:
        """Submits the jobs and uses up the room of most partitions.

        Returns:
            The partition of the worker that will be lost, and those with room.
        """
        world, check = self.succession.world, self.succession.check
        self._submit_jobs()
        check.run(SETTLING_S)
        used = {name for name, _, _ in world.list_runs()}
        self.succession.worker = world.rng.choice(sorted(used))
        source = world.find_partition(self.succession.worker)
        free = {
            world.find_partition(name)
            for name, worker in world.workers.items()
            if name not in used
            and (not self.sequence.label or LABEL in worker.entry.labels)
        }
        free.discard(source)
        count = min(self.sequence.targets, len(free))
        targets = world.rng.sample(sorted(free), count)
        self._use_up_room(targets)
        check.run(SETTLING_S)
        return source, targets

    def _submit_jobs(self) -> None:
        world = self.succession.world
        amount = resources.Vector(TASK_CPU_MILLIS, 100, 0)
        together = model.Step(3, amount, long_running=True)
        apart = attrs.evolve(
            together,
            count=self.sequence.width,
            max_per_worker=1,
            required_label=self.sequence.label,
        )
        for number, step in enumerate((apart, together)):
            node = world.rng.choice(world.nodes)
            world.submit(node, f"{number:016x}", step)

    def _use_up_room(self, targets: list[str]) -> None:
        """Fills the workers of all other partitions with finite tasks."""
        world = self.succession.world
        used = [name for name, _, _ in world.list_runs()]
        for number, name in enumerate(sorted(world.workers)):
            if world.find_partition(name) in targets:
                continue
            free = WORKER_CPU_MILLIS - TASK_CPU_MILLIS * used.count(name)
            amount = resources.Vector(free - LEFT_CPU_MILLIS, 100, 0)
            step = model.Step(1, amount, required_label=name)
            node = world.rng.choice(world.nodes)
            world.submit(node, f"f{number:015x}", step)

    def _schedule_end(
        self, delay_s: float, partition: str, end: batch_successions.End
    ) -> None:
        self.succession.world.schedule(
            max(0.0, delay_s),
            functools.partial(self.succession.end_owner, partition, end),
        )

    def _fail_move(
        self, partition: str, fault: batch_call_faults.StoreFault
    ) -> None:
        world = self.succession.world
        owner = world.find_owner(partition)
        assert owner is not None
        world.call_faults.fail_store_calls(
            owner.name, move_writes.MoveWrite, fault, 1
        )


def build(seed: int, sequence: Sequence) -> MoveScenario:
    """Starts three data centres with several partitions each."""
    world = batch_world.BatchWorld(seed)
    world.store_division(1)
    world.run_duration_s = FILLING_RUN_S
    faults = batch_faults.BatchFaults(world)
    check = batch_restarts.RestartCheck(world, faults)
    succession = batch_successions.Succession(
        world,
        faults,
        check,
        batch_successions.Sequence(
            sequence.loss, 0.0, (), notice_s=sequence.notice_s
        ),
    )
    for data_centre in DATA_CENTRES:
        for number in range(PARTITIONS_PER_DATA_CENTRE * WORKERS_PER_PARTITION):
            _add_worker(succession, data_centre, number)
        for number in range(NODES_PER_DATA_CENTRE):
            world.add_node(f"e-{data_centre}-{number}", data_centre, 0.3)
    world.run(START_S)
    return MoveScenario(succession, sequence)


def _add_worker(
    succession: batch_successions.Succession, data_centre: str, number: int
) -> None:
    """Starts a worker with its name, and perhaps the label, as a label."""
    world = succession.world
    name = f"w-{next(succession.numbers)}"
    rack = f"r1-{number // WORKERS_PER_PARTITION + 1}"
    worker = world.add_worker(name, data_centre, WORKER_CPU_MILLIS, rack)
    labels = (*worker.entry.labels, name, *((LABEL,) if number % 2 else ()))
    worker.entry = attrs.evolve(worker.entry, labels=labels)
    world.listed_workers[name] = worker.entry


def draw(rng: random.Random) -> Sequence:
    """Draws a random sequence."""
    label = rng.choice(("", "", LABEL))
    widths = [
        width for width in WIDTHS if not label or width <= max(WIDTHS) // 2
    ]
    ends = (None, *batch_successions.End)
    return Sequence(
        rng.choice(
            (
                batch_successions.Loss.CRASH,
                batch_successions.Loss.EXIT,
                batch_successions.Loss.CUT,
            )
        ),
        rng.uniform(*NOTICE_S),
        rng.choice(widths),
        label,
        rng.randint(1, 3),
        rng.choice(ends),
        rng.uniform(*OWNER_END_S),
        rng.choice(ends),
        rng.uniform(*TARGET_END_S),
        rng.choice((None, *batch_call_faults.StoreFault)),
    )


def play(seed: int) -> str:
    """Plays the random sequence of a seed and describes what failed."""
    scenario = build(seed, draw(random.Random(seed)))
    scenario.play()
    found = batch_successions.find_failures(scenario.succession)
    return f"{found} {scenario.sequence}" if found else ""


def main() -> None:
    """Plays the sequences that the command line names."""
    seeds.run(__doc__, "1-100", play)


if __name__ == "__main__":
    main()

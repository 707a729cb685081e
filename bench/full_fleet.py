"""Share of their worth that jobs earn while long-running tasks fill the fleet.

Runs the load of `bench.contention` with more long-running jobs, which come and
go: together they request nearly all processors, so that urgent tasks find few
that are not reserved. Shows what each class earns and where the tasks of urgent
jobs that can still meet their objectives wait.

Usage: `python -m bench.full_fleet [SEED] [RACKS_PER_PARTITION] [--share SHARE]
[--draw-memory]`.
"""

import argparse
import collections
import random

import attrs

from bench import contention
from sapphirestall_core import resources
from sapphirestall_core.batch import caller_messages
from sapphirestall_core.batch import model
from sapphirestall_core.batch import objectives
from sapphirestall_core.batch import placement
from sapphirestall_core.batch import state
from sapphirestall_core.batch import usability

# Share of all processors that long-running jobs request at the start.
SERVING_SHARE = 0.88
# Mean and highest memory of a task, in MB, by its mean processors, in
# thousandths.
MEMORY_MB = {3500: (6400, 13_000), 6400: (13_000, 26_000)}
MEMORY_SPREAD = 0.3
MIN_MEMORY_MB = 500
# Long-running jobs a second, for each worker.
SERVING_RATE = 0.00108
STAY_S, STAY_SPREAD, MAX_STAY_S = 70.0, 0.5, 210.0


@attrs.define
class FullLoad(contention.Load):
    """Random jobs, of which the long-running ones are cancelled after a time.

    Attributes:
        draws_memory: Whether the memory of a task is drawn by itself, so that
            some tasks request much more for their processors than others.
        present: Steps of the long-running jobs that are not cancelled, by id.
        requested_s: Time of the tasks of these jobs, added up, in seconds.
        working_s: The part of `requested_s` in which the tasks ran.
        waiting: Samples of waiting urgent tasks whose jobs can still meet their
            objectives, by where a worker has room for them.
        running: Samples of running urgent tasks, by the status of their job.
    """

    draws_memory: bool = False
    present: dict[str, model.Step] = attrs.field(factory=dict)
    requested_s: float = 0.0
    working_s: float = 0.0
    waiting: "collections.Counter[str]" = attrs.field(
        factory=collections.Counter
    )
    running: "collections.Counter[str]" = attrs.field(
        factory=collections.Counter
    )

    def draw_amount(self, cpu: float, spread: float) -> resources.Vector:
        """Draws what a task requests."""
        amount = super().draw_amount(cpu, spread)
        if not self.draws_memory:
            return amount
        mean, most = MEMORY_MB[int(cpu)]
        memory_mb = int(self.draw(mean, MEMORY_SPREAD, most))
        return attrs.evolve(amount, memory_mb=max(MIN_MEMORY_MB, memory_mb))

    def submit_serving(self) -> None:
        """Submits a long-running job and schedules its cancellation."""
        super().submit_serving()
        job_id = list(self.world.jobs)[-1]
        self.present[job_id] = self.world.jobs[job_id][0]
        stay_s = self.draw(STAY_S, STAY_SPREAD, MAX_STAY_S)
        self.world.schedule(stay_s, lambda: self.cancel(job_id))

    def cancel(self, job_id: str) -> None:
        """Cancels a long-running job."""
        del self.present[job_id]
        node = self.rng.choice(self.world.nodes)
        path = contention.SERVING.prefix + job_id
        self.world.call(node, caller_messages.CancelCalled, path)

    def fill(self, share: float) -> None:
        """Submits long-running jobs that request a share of all processors."""
        capacity = sum(
            worker.entry.capacity.cpu_millis
            for worker in self.world.workers.values()
        )
        while self._sum_requested() < share * capacity:
            self.submit_serving()

    def _sum_requested(self) -> int:
        return sum(
            step.count * step.amount.cpu_millis
            for step in self.present.values()
        )

    def run_until(self, end: float) -> None:
        """Runs the simulation and takes samples of the tasks."""
        while self.world.now < end:
            super().run_until(min(end, self.world.now + contention.SAMPLE_S))
            self._sample_serving()
            self._sample_urgent()

    def _sample_serving(self) -> None:
        """Adds the time for which long-running tasks have worked."""
        working: collections.Counter[str] = collections.Counter()
        for worker in self.world.workers.values():
            working.update(task.job_id for task, _ in worker.running)
        for job_id, step in self.present.items():
            self.requested_s += step.count * contention.SAMPLE_S
            count = min(step.count, working[job_id])
            self.working_s += count * contention.SAMPLE_S

    def _sample_urgent(self) -> None:
        """Counts the running and waiting tasks of urgent jobs."""
        partitions = [
            partition
            for node in self.world.nodes
            for partition in node.batch.partitions.values()
            if partition.phase is state.Phase.ACTIVE
        ]
        for partition in partitions:
            for job in partition.jobs.values():
                if (
                    job.queue.name != contention.URGENT.name
                    or job.final_state is not None
                ):
                    continue
                status = objectives.classify(job, self.world.now)
                for step in job.steps:
                    runs = sum(
                        task.run is not None
                        for task in step.unfinished.values()
                    )
                    self.running[status.name.lower()] += runs
                    if status is objectives.ObjectiveStatus.ACHIEVABLE:
                        self._sample_waiting(step, partition, partitions)

    def _sample_waiting(
        self,
        step: state.StepState,
        partition: state.Partition,
        partitions: list[state.Partition],
    ) -> None:
        """Counts waiting tasks by whether a worker has room for them."""
        here = self._count_fitting(step.step, partition)
        elsewhere = sum(
            self._count_fitting(step.step, other)
            for other in partitions
            if other is not partition
        )
        waiting = len(step.runnable)
        fits_here = min(waiting, here)
        fits_elsewhere = min(waiting - fits_here, elsewhere)
        self.waiting["here"] += fits_here
        self.waiting["elsewhere"] += fits_elsewhere
        self.waiting["nowhere"] += waiting - fits_here - fits_elsewhere

    def _count_fitting(
        self, step: model.Step, partition: state.Partition
    ) -> int:
        """Returns how many tasks of a step the workers have room for."""
        amount = step.amount
        total = 0
        for worker in partition.workers.values():
            if usability.is_usable(worker, self.world.now):
                free = placement.find_free_capacity(worker, step)
                total += max(
                    0,
                    min(
                        free.cpu_millis // amount.cpu_millis,
                        free.memory_mb // amount.memory_mb,
                    ),
                )
        return total


def run_load(seed: int, share: float, *, draws_memory: bool) -> FullLoad:
    """Submits random jobs for a time and waits for their ends.

    Args:
        seed: Seed of the jobs and of the simulation.
        share: Share of all processors that long-running jobs request at the
            start.
        draws_memory: Whether the memory of a task is drawn by itself.
    """
    world = contention.make_world(seed)
    load = FullLoad(world, random.Random(seed), draws_memory=draws_memory)
    load.fill(share)
    workers = len(world.workers)
    for _ in range(round(contention.OPPORTUNISTIC_AT_START * workers)):
        load.submit_opportunistic()
    started_at = world.now
    arrivals = []
    for rate, submit in (
        (contention.OPPORTUNISTIC_RATE, load.submit_opportunistic),
        (contention.URGENT_RATE, load.submit_urgent),
        (SERVING_RATE, load.submit_serving),
    ):
        at_s = load.rng.expovariate(rate * workers)
        while at_s < contention.LENGTH_S:
            arrivals.append((at_s, submit))
            at_s += load.rng.expovariate(rate * workers)
    for at_s, submit in sorted(arrivals, key=lambda arrival: arrival[0]):
        load.run_until(started_at + at_s)
        submit()
    load.run_until(started_at + contention.LENGTH_S + contention.FINISH_S)
    return load


def main() -> None:
    """Runs one load and prints what became of it."""
    parser = argparse.ArgumentParser(description="Load of a full fleet.")
    parser.add_argument("seed", type=int, nargs="?", default=1)
    parser.add_argument("racks", type=int, nargs="?")
    parser.add_argument("--share", type=float, default=SERVING_SHARE)
    parser.add_argument("--draw-memory", action="store_true")
    arguments = parser.parse_args()
    seed = arguments.seed
    if arguments.racks:
        model.RACKS_PER_PARTITION = arguments.racks
    load = run_load(seed, arguments.share, draws_memory=arguments.draw_memory)
    print(f"seed {seed}, {model.RACKS_PER_PARTITION} racks in a partition")
    for queue in (contention.FILLING, contention.URGENT):
        share = load.find_earned_share(queue)
        print(f"  {queue.name}: {share:.2f} of their worth earned")
    share = load.working_s / load.requested_s
    print(f"  {contention.SERVING.name}: {share:.2f} of their tasks at work")
    waiting = sum(load.waiting.values())
    for place in ("here", "elsewhere", "nowhere"):
        share = load.waiting[place] / max(1, waiting)
        print(f"  urgent tasks that wait in time, room {place}: {share:.2f}")
    running = sum(load.running.values())
    for status, count in load.running.items():
        print(f"  urgent tasks that run, {status}: {count / running:.2f}")
    print(f"  broken invariants: {len(load.world.violations)}")


if __name__ == "__main__":
    main()

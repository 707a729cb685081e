"""Share of its worth that batch work earns beside serving tasks.

Runs one data centre in virtual time. Wide opportunistic jobs of many images
share its workers with serving tasks, some of which they disturb, and with
urgent jobs. Shows how much of the idle processors is used and what becomes of
the rest, for a division of the racks into partitions.

Usage: `python -m bench.contention [SEED] [RACKS_PER_PARTITION]`.
"""

import collections
import math
import random
import sys

import attrs

from sapphirestall_core import resources
from sapphirestall_core.batch import model
from standins import batch_contention

DATA_CENTRE = "north"
RACKS = 8
WORKERS_PER_RACK = 8
NODES = 5
CPU_MILLIS = (32_000, 32_000, 48_000)
SERVING_IMAGES = 16
OPPORTUNISTIC_IMAGES = 30
# Share of the opportunistic images that disturb serving images, and of these
# that they disturb, as learned in plays of a large deployment.
DISTURBING_SHARE = 0.65
DISTURBED_SHARE = 0.5
# Share of its capacity that a serving image loses if a disturbing image uses
# all processors of a worker.
STRONG_LOSS = (0.9, 2.7)
WEAK_LOSS = (0.0, 0.27)
SETTLE_S = 6.0
LENGTH_S = 34.0
FINISH_S = 10.0
SAMPLE_S = 0.25
LATE_CREDIT = 0.15
LATE_FACTOR = 3.0
# Jobs at the start and a second, for each worker.
SERVING_AT_START, SERVING_RATE = 0.19, 0.0003
OPPORTUNISTIC_AT_START, OPPORTUNISTIC_RATE = 0.05, 0.035
URGENT_RATE = 0.0195
URGENT = model.Queue("urgent", "host", "/urgent/", "service", 0, 4, 1.5, 0.25)
FILLING = model.Queue("filling", "host", "/filling/", "service", 2, 2, 2.0, 1.0)
SERVING = model.Queue("serving", "host", "/serving/", "service", 0, 4, 2.2, 2.5)


@attrs.frozen
class SubmittedJob:
    """A job that was submitted.

    Attributes:
        queue: Queue of the job.
        submitted_at: Time of the submission, in seconds.
        objective_s: Time that it may take.
        work: Work of all its tasks, in processor-milliseconds.
    """

    queue: model.Queue
    submitted_at: float
    objective_s: float
    work: float


@attrs.define
class Load:
    """Random jobs and what became of them.

    Attributes:
        world: The simulation.
        rng: Random numbers of the jobs.
        jobs: All finite jobs, by id.
        done_at: When each of them was completed.
    """

    world: batch_contention.ContentionWorld
    rng: random.Random
    jobs: dict[str, SubmittedJob] = attrs.field(factory=dict)
    done_at: dict[str, float] = attrs.field(factory=dict)

    def draw(self, mean: float, spread: float, most: float) -> float:
        """Draws a positive amount from a distribution with a long tail."""
        sigma = math.sqrt(math.log(1 + spread * spread))
        mu = math.log(mean) - sigma * sigma / 2
        return min(most, self.rng.lognormvariate(mu, sigma))

    def draw_amount(self, cpu: float, spread: float) -> resources.Vector:
        """Draws what a task requests, with two MB for each thousandth."""
        cpu_millis = max(500, int(self.draw(cpu, spread, 3 * cpu)))
        return resources.Vector(cpu_millis, 2 * cpu_millis, 0)

    def submit(
        self,
        queue: model.Queue,
        steps: list[model.Step],
        durations: list[float],
    ) -> None:
        """Submits a job whose steps follow each other."""
        job_id = f"{next(self.world.numbers):016x}"
        ordered = tuple(
            attrs.evolve(step, after=(number - 1,) if number else ())
            for number, step in enumerate(steps)
        )
        self.world.durations[job_id] = tuple(durations)
        if queue is not SERVING:
            path_s = sum(durations)
            work = sum(
                step.count * step.amount.cpu_millis * duration_s
                for step, duration_s in zip(steps, durations, strict=True)
            )
            self.jobs[job_id] = SubmittedJob(
                queue,
                self.world.now,
                queue.stretch * path_s + queue.target_latency_s,
                work,
            )
        node = self.rng.choice(self.world.nodes)
        self.world.submit(node, job_id, *ordered, prefix=queue.prefix)

    def submit_serving(self) -> None:
        """Submits a job of serving tasks."""
        step = model.Step(
            max(2, int(self.draw(24, 0.4, 48))),
            self.draw_amount(6400, 0.25),
            long_running=True,
            image=f"serving-{self.rng.randrange(SERVING_IMAGES)}",
            tail_target_ms=18,
        )
        self.submit(SERVING, [step], [0.0])

    def submit_opportunistic(self) -> None:
        """Submits a job of opportunistic tasks of one image."""
        count = max(1, round(self.draw(2.0, 0.4, 5.0)))
        durations = [self.draw(1.7, 0.5, 4.3) for _ in range(count)]
        image = f"filling-{self.rng.randrange(OPPORTUNISTIC_IMAGES)}"
        steps = [
            model.Step(
                max(1, int(self.draw(39, 0.6, 160))),
                self.draw_amount(3500, 0.3),
                estimate_s=duration_s * self.rng.uniform(0.8, 1.2),
                checkpointing=self.rng.random() < 0.85,
                image=image,
                fills=True,
            )
            for duration_s in durations
        ]
        self.submit(FILLING, steps, durations)

    def submit_urgent(self) -> None:
        """Submits a job of urgent tasks."""
        count = max(1, round(self.draw(1.6, 0.4, 4.0)))
        durations = [self.draw(1.0, 0.5, 2.5) for _ in range(count)]
        steps = [
            model.Step(
                max(1, int(self.draw(9.4, 0.8, 56))),
                self.draw_amount(6400, 0.45),
                estimate_s=duration_s * self.rng.uniform(0.3, 1.9),
            )
            for duration_s in durations
        ]
        self.submit(URGENT, steps, durations)

    def run_until(self, end: float) -> None:
        """Runs the simulation and records which jobs have been completed."""
        while self.world.now < end:
            self.world.run(min(SAMPLE_S, end - self.world.now))
            for job_id in self.jobs:
                if job_id not in self.done_at and (
                    self.world.get_state(job_id) is model.JobState.COMPLETED
                ):
                    self.done_at[job_id] = self.world.now

    def find_earned_share(self, queue: model.Queue) -> float:
        """Returns the share of their worth that the jobs of a queue earned.

        A job is worth more the more work it has, and earns less if it is late.
        """
        jobs = {k: job for k, job in self.jobs.items() if job.queue is queue}
        mean = sum(job.work for job in jobs.values()) / len(jobs)
        owed = earned = 0.0
        for job_id, job in jobs.items():
            worth = 0.3 + 0.7 * min(4.0, job.work / mean)
            took_s = self.done_at.get(job_id, math.inf) - job.submitted_at
            owed += worth
            if took_s <= job.objective_s:
                earned += worth
            elif took_s <= LATE_FACTOR * job.objective_s:
                earned += LATE_CREDIT * worth
        return earned / owed


def make_world(seed: int) -> batch_contention.ContentionWorld:
    """Returns a data centre whose images disturb each other at random."""
    rng = random.Random(seed)
    contention = batch_contention.Contention(rng=random.Random(seed))
    for filling in range(OPPORTUNISTIC_IMAGES):
        disturbing = rng.random() < DISTURBING_SHARE
        for serving in range(SERVING_IMAGES):
            strong = disturbing and rng.random() < DISTURBED_SHARE
            pair = (f"serving-{serving}", f"filling-{filling}")
            loss = rng.uniform(*(STRONG_LOSS if strong else WEAK_LOSS))
            contention.interference[pair] = loss
    world = batch_contention.ContentionWorld(seed, contention=contention)
    queues = (URGENT, FILLING, SERVING)
    world.configuration = model.Configuration(1, queues)
    for number in range(RACKS * WORKERS_PER_RACK):
        rack = f"r1-{number // WORKERS_PER_RACK + 1}"
        cpu_millis = rng.choice(CPU_MILLIS)
        world.add_worker(f"w-{number}", DATA_CENTRE, cpu_millis, rack)
    for number in range(NODES):
        world.add_node(f"e-{number}", DATA_CENTRE)
    world.run(SETTLE_S)
    return world


def run_load(world: batch_contention.ContentionWorld, seed: int) -> Load:
    """Submits random jobs for `LENGTH_S` and waits for their ends."""
    load = Load(world, random.Random(seed))
    workers = len(world.workers)
    for _ in range(round(SERVING_AT_START * workers)):
        load.submit_serving()
    for _ in range(round(OPPORTUNISTIC_AT_START * workers)):
        load.submit_opportunistic()
    started_at = world.now
    arrivals = []
    for rate, submit in (
        (OPPORTUNISTIC_RATE, load.submit_opportunistic),
        (URGENT_RATE, load.submit_urgent),
        (SERVING_RATE, load.submit_serving),
    ):
        at_s = load.rng.expovariate(rate * workers)
        while at_s < LENGTH_S:
            arrivals.append((at_s, submit))
            at_s += load.rng.expovariate(rate * workers)
    for at_s, submit in sorted(arrivals, key=lambda arrival: arrival[0]):
        load.run_until(started_at + at_s)
        submit()
    load.run_until(started_at + LENGTH_S + FINISH_S)
    return load


def sum_reports(
    world: batch_contention.ContentionWorld,
) -> "collections.Counter[str]":
    """Returns the sums of the owners' reports on idle processors."""
    totals: collections.Counter[str] = collections.Counter()
    for node in world.nodes:
        for _, line in node.logs:
            if line.part == "capacity":
                for name, value in line.fields.items():
                    totals[name] += value if isinstance(value, int) else 0
    return totals


def main() -> None:
    """Runs one load and prints what became of it."""
    arguments = [int(text) for text in sys.argv[1:]]
    seed = arguments[0] if arguments else 1
    if len(arguments) > 1:
        model.RACKS_PER_PARTITION = arguments[1]
    world = make_world(seed)
    load = run_load(world, seed)
    print(f"seed {seed}, {model.RACKS_PER_PARTITION} racks in a partition")
    for queue in (FILLING, URGENT):
        count = sum(job.queue is queue for job in load.jobs.values())
        share = load.find_earned_share(queue)
        print(
            f"  {queue.name}: {count} jobs, {share:.2f} of their worth earned"
        )
    totals = sum_reports(world)
    idle = totals["idle"]
    for name in ("used", "unrequested", "refused", "startable", "paced_down"):
        print(f"  {name}: {totals[name] / idle:.2f} of the idle processors")
    missed_s = sum(
        worker.missed_s
        for worker in world.workers.values()
        if isinstance(worker, batch_contention.ContendedWorker)
    )
    print(f"  serving tasks over their target for {missed_s:.0f} s in total")
    print(f"  broken invariants: {len(world.violations)}")


if __name__ == "__main__":
    main()

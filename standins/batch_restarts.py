"""Check that long-running tasks are restarted, and random scenarios for it."""

import functools
import random

import attrs

from sapphirestall_core import resources
from sapphirestall_core.batch import caller_messages
from sapphirestall_core.batch import model
from standins import batch_faults
from standins import batch_world

# A task without a run is late if, after `RESTART_S` since its last run, it has
# none for `NOTICE_S` more.
RESTART_S = 6.0
NOTICE_S = 3.0
# These `NOTICE_S` and this time before them are without disturbance, in
# seconds.
CALM_S = 4.0
CHECK_INTERVAL_S = 0.1
START_S = 3.0
WORKER_CPU_MILLIS = 8000
# Share of the processors that long-running tasks request.
LONG_RUNNING_SHARE = 0.3
# The same for a deployment with more moves between partitions.
HIGH_LONG_RUNNING_SHARE = 0.45
WORKERS_PER_RACK = 2
RACKS_PER_PARTITION = 2
# Highest number of partitions of a data centre.
MAX_PARTITIONS = 4
NODES_PER_DATA_CENTRE = 3
NODES_OF_LARGE_DATA_CENTRE = 4
DATA_CENTRES = ("north", "south", "east")
# Time between short jobs, in seconds.
SHORT_JOB_INTERVAL_S = 0.3
# The same where tasks run longer.
LONG_JOB_INTERVAL_S = 1.5
# Range of the durations of these tasks, in seconds.
LONG_RUN_S = (0.5, 20.0)
SHORT_JOBS = 3
# Time for which nothing but planned work happens after faults, in seconds.
RECOVERY_S = 14.0


@attrs.define
class RestartCheck:
    """Times without a run of each long-running task.

    Attributes:
        world: Simulation that runs the tasks.
        faults: Disturbances of the simulation.
        cancelled: Ids of jobs that a caller has cancelled.
        last_run_at: When each task last had a run, or else was accepted.
        late: Descriptions of tasks that were not restarted in time.
    """

    world: batch_world.BatchWorld
    faults: batch_faults.BatchFaults
    cancelled: set[str] = attrs.field(factory=set)
    last_run_at: dict[model.TaskName, float] = attrs.field(factory=dict)
    late: dict[model.TaskName, str] = attrs.field(factory=dict)

    def run(self, seconds: float) -> None:
        """Runs the simulation and checks all tasks at short intervals."""
        end = self.world.now + seconds
        while self.world.now < end:
            self.world.run(CHECK_INTERVAL_S)
            self.check()

    def check(self) -> None:
        """Checks all tasks at the current time."""
        world = self.world
        running = {task for _, task, _ in world.list_runs()}
        for task in self.list_tasks():
            if task in running:
                self.last_run_at[task] = world.now
                continue
            last_run_at = self.last_run_at.setdefault(task, world.now)
            late_since = self.find_late_since(task, last_run_at)
            if world.now - late_since > NOTICE_S and task not in self.late:
                self.late[task] = (
                    f"{task} without a run from {last_run_at:.1f}"
                    f" to {world.now:.1f}"
                )

    def find_late_since(
        self, task: model.TaskName, last_run_at: float
    ) -> float:
        """Returns from when on a task without a run counts as late."""
        calm_since = self.faults.find_calm_since()
        return max(last_run_at + RESTART_S, calm_since + CALM_S)

    def list_tasks(self) -> list[model.TaskName]:
        """Returns the long-running tasks that should run."""
        return [
            model.TaskName(job_id, 0, number, index)
            for job_id, steps in self.world.jobs.items()
            if any(step.long_running for step in steps)
            and job_id not in self.cancelled
            and self.world.get_state(job_id) is model.JobState.ACCEPTED
            for number, step in enumerate(steps)
            if step.long_running
            for index in range(step.count)
        ]


@attrs.define
class RestartScenario:
    """Random deployment, jobs, disturbances and planned work.

    Attributes:
        world: The simulation.
        faults: Its disturbances.
        check: Check of the long-running tasks.
        data_centres: Names of the data centres.
        long_running_share: Share of the processors that long-running tasks
            request.
        job_interval_s: Time between jobs that end by themselves, in seconds.
        short_jobs: Number of short jobs that were submitted.
        workers: Number of workers that were ever started.
    """

    world: batch_world.BatchWorld
    faults: batch_faults.BatchFaults
    check: RestartCheck
    data_centres: tuple[str, ...]
    long_running_share: float = LONG_RUNNING_SHARE
    job_interval_s: float = SHORT_JOB_INTERVAL_S
    short_jobs: int = 0
    workers: int = 0

    def run(self, rounds: int) -> None:
        """Runs some rounds of faults, each with a recovery after it."""
        self._submit_long_running_jobs()
        self.world.schedule(SHORT_JOB_INTERVAL_S, self._submit_short_job)
        self.check.run(3.0)
        for _ in range(rounds):
            duration_s = self._inject_faults()
            self.check.run(duration_s + RECOVERY_S)

    def run_isolation(self) -> None:
        """Isolates a data centre after restarts of half of all instances.

        Workers crash and are replaced at about the same time.
        """
        world, rng = self.world, self.world.rng
        self._submit_long_running_jobs()
        world.schedule(SHORT_JOB_INTERVAL_S, self._submit_short_job)
        self._schedule_restarts(20.0)
        isolated = rng.choice(self.data_centres)
        others = {name for name in self.data_centres if name != isolated}
        world.schedule(24.4, lambda: self._crash_worker(others))
        world.schedule(
            rng.uniform(22, 39), lambda: self._crash_worker({isolated})
        )
        world.schedule(rng.uniform(22, 33), self._replace)
        world.schedule(33.5, lambda: self.faults.isolate(isolated, 6.5))
        self.check.run(62.0)

    def run_store_cuts(self, rounds: int, *, by_reset: bool = False) -> None:
        """Cuts single workers, some of which drain, off from the store.

        Their instances reach them until the instances are restarted, are killed
        or lose them as well.

        Args:
            rounds: Number of rounds.
            by_reset: Whether the cuts from the instances close connections.
        """
        # Long-running tasks leave a draining worker, others stay on it.
        self.world.run_duration_s = LONG_RUN_S
        self.job_interval_s = LONG_JOB_INTERVAL_S
        self._submit_long_running_jobs()
        self.world.schedule(self.job_interval_s, self._submit_short_job)
        self.check.run(3.0)
        for _ in range(rounds):
            self._cut_workers(by_reset=by_reset)
            self.check.run(16.0 + RECOVERY_S)

    def _cut_workers(self, *, by_reset: bool) -> None:
        """Schedules cuts of a few workers and what happens to their owners."""
        world, rng, faults = self.world, self.world.rng, self.faults
        names = faults.list_sound_workers()
        for name in rng.sample(names, min(len(names), rng.randint(1, 3))):
            cut_s = rng.uniform(4, 14)
            delay_s = rng.uniform(0, 2)
            if rng.random() < 0.7:
                successor = self._make_worker_id()
                drain_s = rng.uniform(6, 18)
                faults.replace_worker(name, successor, drain_s)
            world.schedule(
                delay_s,
                functools.partial(faults.cut_worker_from_store, name, cut_s),
            )
            if rng.random() < 0.4:
                world.schedule(
                    delay_s + rng.uniform(3, 12),
                    functools.partial(
                        faults.cut_worker_from_nodes,
                        name,
                        rng.uniform(1, 9),
                        by_reset=by_reset,
                    ),
                )
        for node in faults.list_sound_nodes():
            action = rng.choice((None, None, "restart", "crash"))
            if action is not None:
                world.schedule(
                    rng.uniform(4, 14),
                    functools.partial(self._end_node, node.name, action),
                )

    def _end_node(self, name: str, action: str) -> None:
        """Restarts or kills an instance, unless it is the last one."""
        nodes = self.faults.list_sound_nodes()
        for node in nodes if len(nodes) > 1 else ():
            if node.name == name and action == "restart":
                self.faults.restart_node(node)
            elif node.name == name:
                self.faults.crash_node(node)

    def add_data_centre(self, name: str, racks: int, nodes: int) -> None:
        """Starts the workers and instances of a data centre."""
        rng = self.world.rng
        for rack in range(racks):
            for _ in range(WORKERS_PER_RACK):
                self.add_worker(name, f"r1-{rack + 1}")
        for number in range(nodes):
            processors = rng.choice((0.3, 1.0))
            self.world.add_node(f"e-{name}-{number}", name, processors)

    def add_worker(self, data_centre: str, rack: str) -> None:
        """Starts a worker with a new id."""
        self.world.add_worker(
            self._make_worker_id(), data_centre, WORKER_CPU_MILLIS, rack
        )

    def _make_worker_id(self) -> str:
        self.workers += 1
        return f"w-{self.workers}"

    def _submit_long_running_jobs(self) -> None:
        world, rng = self.world, self.world.rng
        cpu_millis = len(world.workers) * WORKER_CPU_MILLIS
        remaining = cpu_millis * self.long_running_share
        number = 0
        while remaining > 0:
            number += 1
            step = model.Step(
                rng.randint(1, 7),
                resources.Vector(rng.choice((500, 1500, 3000)), 100, 0),
                long_running=True,
                max_per_worker=rng.choice((0, 0, 1)),
            )
            remaining -= step.count * step.amount.cpu_millis
            node = rng.choice(self.faults.list_sound_nodes())
            world.schedule(
                rng.uniform(0, 2.0),
                functools.partial(world.submit, node, f"{number:016x}", step),
            )

    def _submit_short_job(self) -> None:
        world, rng = self.world, self.world.rng
        self.short_jobs += 1
        steps = draw_short_steps(rng)
        nodes = self.faults.list_sound_nodes()
        if nodes:
            job_id = f"f{self.short_jobs:015x}"
            world.submit(rng.choice(nodes), job_id, *steps)
        world.schedule(self.job_interval_s, self._submit_short_job)

    def _inject_faults(self) -> float:
        """Schedules the faults of a round and returns its duration."""
        rng = self.world.rng
        for _ in range(rng.randint(1, 3)):
            kind = rng.choice((self._disturb, self._disturb, self._replace))
            self.world.schedule(rng.uniform(0, 12), kind)
        if rng.random() < 0.7:
            self._schedule_restarts(rng.uniform(0, 8))
        if rng.random() < 0.2:
            self.world.schedule(rng.uniform(0, 8), self._cancel)
        return 12.0 + rng.uniform(0, 4)

    def _schedule_restarts(self, delay_s: float) -> None:
        """Schedules restarts, one after another, of half of all instances."""
        rng = self.world.rng
        names = sorted({node.name for node in self.world.nodes})
        interval_s = rng.uniform(0.3, 2.5)
        for name in rng.sample(names, len(names) // 2):
            restart = functools.partial(self._restart, name)
            self.world.schedule(delay_s, restart)
            delay_s += interval_s

    def _restart(self, name: str) -> None:
        for node in self.faults.list_sound_nodes():
            if node.name == name:
                self.faults.restart_node(node)

    def _disturb(self) -> None:
        """Causes a random disturbance."""
        world, rng, faults = self.world, self.world.rng, self.faults
        kind = rng.choice(("isolate", "isolate", "store", "answers", "crash"))
        if kind == "crash":
            self._crash()
        elif kind == "answers":
            if not world.lost_answer_fraction:
                fraction = rng.choice((0.1, 0.3))
                faults.lose_answers(fraction, rng.uniform(1, 6))
        elif world.store_down or world.isolated_data_centres:
            return
        elif kind == "store":
            faults.stop_store(rng.uniform(1, 8))
        else:
            data_centre = rng.choice(self.data_centres)
            faults.isolate(data_centre, rng.uniform(1, 9))

    def _crash(self) -> None:
        rng, faults = self.world.rng, self.faults
        if rng.random() < 0.5:
            nodes = faults.list_sound_nodes()
            if len(nodes) > 1:
                faults.crash_node(rng.choice(nodes))
            return
        names = faults.list_sound_workers()
        if names:
            entry = self.world.workers[rng.choice(names)].entry
            faults.crash_worker(entry.worker_id)
            self.add_worker(entry.data_centre, entry.rack)

    def _crash_worker(self, data_centres: set[str]) -> None:
        """Crashes a random worker of some data centres for good."""
        names = [
            name
            for name in self.faults.list_sound_workers()
            if self.world.workers[name].entry.data_centre in data_centres
        ]
        if names:
            self.faults.crash_worker(self.world.rng.choice(names))

    def _replace(self) -> None:
        """Replaces a few workers."""
        rng = self.world.rng
        for _ in range(rng.randint(1, 4)):
            names = self.faults.list_sound_workers()
            if names:
                name = rng.choice(names)
                self.faults.replace_worker(name, self._make_worker_id())

    def _cancel(self) -> None:
        """Cancels a random long-running job."""
        rng = self.world.rng
        nodes = self.faults.list_sound_nodes()
        tasks = self.check.list_tasks()
        if nodes and tasks:
            job_id = rng.choice(tasks).job_id
            self.check.cancelled.add(job_id)
            path = f"/jobs/{job_id}"
            self.world.call(
                rng.choice(nodes), caller_messages.CancelCalled, path
            )


def draw_short_steps(rng: random.Random) -> list[model.Step]:
    """Draws the steps of a job that ends by itself."""
    amount = resources.Vector(rng.choice((500, 1000, 3000)), 100, 0)
    steps = [model.Step(rng.randint(1, 4), amount)]
    if rng.random() < 0.5:
        steps.append(model.Step(rng.randint(1, 3), amount, after=(0,)))
    return steps


def build_scenario(seed: int) -> RestartScenario:
    """Starts a random deployment."""
    scenario = _make_scenario(seed)
    rng = scenario.world.rng
    scenario.data_centres = DATA_CENTRES[: rng.randint(2, len(DATA_CENTRES))]
    racks = rng.randint(2, MAX_PARTITIONS) * RACKS_PER_PARTITION
    for name in scenario.data_centres:
        scenario.add_data_centre(name, racks, NODES_PER_DATA_CENTRE)
    scenario.world.run(START_S)
    return scenario


def build_large_scenario(seed: int) -> RestartScenario:
    """Starts a deployment of the largest size, with many moves."""
    scenario = _make_scenario(seed)
    scenario.long_running_share = HIGH_LONG_RUNNING_SHARE
    racks = MAX_PARTITIONS * RACKS_PER_PARTITION
    for name in scenario.data_centres:
        scenario.add_data_centre(name, racks, NODES_OF_LARGE_DATA_CENTRE)
    scenario.world.run(START_S)
    return scenario


def _make_scenario(seed: int) -> RestartScenario:
    world = batch_world.BatchWorld(seed)
    world.store_division(RACKS_PER_PARTITION)
    faults = batch_faults.BatchFaults(world)
    check = RestartCheck(world, faults)
    return RestartScenario(world, faults, check, DATA_CENTRES)

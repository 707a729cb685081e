"""Random sequences of cuts in a simulation of batch instances.

A cut leaves some instances and workers on one side, the store and the other
instances on the other. Which of them still reach each other is random.

Run as a module, it plays the sequences of a range of seeds and prints those
that broke an invariant.
"""

import collections
import functools

import attrs

from sapphirestall_core import resources
from sapphirestall_core.batch import model
from sapphirestall_core.batch import tenure
from standins import batch_faults
from standins import batch_restarts
from standins import batch_world
from standins import seeds

DATA_CENTRES = ("north", "south")
NODES_PER_DATA_CENTRE = 2
WORKERS_PER_DATA_CENTRE = 4
WORKER_CPU_MILLIS = 8000
WORKERS_PER_RACK = 2
START_S = 4.0
# Ranges of the durations of tasks, in seconds. With the second, runs end soon
# after most takeovers.
RUN_S = ((1.0, 25.0), (0.5, 4.0))
JOB_INTERVAL_S = 1.5
LONG_RUNNING_JOBS = 2
# Range of the durations of cuts, in seconds.
CUT_S = (1.0, 20.0)
# Range of the durations of the cuts of an owner from the store, in seconds. Its
# key is gone soon after the shortest one.
OWNER_CUT_S = (3.0, 8.0)
# Longest time between the cuts that make up one split, in seconds.
MAX_SKEW_S = 2.0
# Range of the time until the entry of a worker that has lost the store expires,
# in seconds: it misses three heartbeats, the last of which came before the cut.
EXPIRY_S = (3.0, batch_faults.ENTRY_EXPIRY_S)
ROUND_S = 18.0
# Time after the last cut in which all jobs end, in seconds: four tasks of the
# longest duration may follow each other.
SETTLING_S = 120.0
SETTLING_STEP_S = 10.0


@attrs.define
class CutScenario:
    """Random deployment, jobs and cuts.

    Attributes:
        world: The simulation.
        faults: Its disturbances.
        check: Check of the long-running tasks.
        mixed: Whether instances are killed, restarted and paused, and workers
            replaced, beside the cuts.
        revoking: Whether the store lease of an owner that is cut off from the
            store is revoked soon after its last renewal.
        submitting: Whether jobs are still submitted.
        jobs: Number of jobs that end by themselves.
        workers: Number of workers that were ever started.
        without_store_until: Until when each worker is cut off from the store.
    """

    world: batch_world.BatchWorld
    faults: batch_faults.BatchFaults
    check: batch_restarts.RestartCheck
    mixed: bool = False
    revoking: bool = False
    submitting: bool = True
    jobs: int = 0
    workers: int = 0
    without_store_until: dict[str, float] = attrs.field(factory=dict)

    def run(self, rounds: int) -> None:
        """Runs some rounds of cuts, then lets all jobs end."""
        self._submit_long_running_jobs()
        self._submit_job()
        self.check.run(3.0)
        for _ in range(rounds):
            self._inject_faults()
            self.check.run(ROUND_S)
        # The last cut ends within this time.
        self.check.run(CUT_S[1] + MAX_SKEW_S)
        self.submitting = False
        self._settle()

    def _settle(self) -> None:
        """Runs without faults until all jobs have ended, or for long enough."""
        self.check.run(batch_restarts.RECOVERY_S)
        end = self.world.now + SETTLING_S
        while self.list_unfinished_jobs() and self.world.now < end:
            self.check.run(SETTLING_STEP_S)

    def list_unfinished_jobs(self) -> list[str]:
        """Returns the accepted jobs that should have ended and have not."""
        world = self.world
        return [
            job_id
            for job_id, steps in world.jobs.items()
            if not any(step.long_running for step in steps)
            and world.get_state(job_id) is model.JobState.ACCEPTED
        ]

    def add_data_centre(self, name: str) -> None:
        """Starts the workers and instances of a data centre."""
        for number in range(WORKERS_PER_DATA_CENTRE):
            rack = f"r1-{number // WORKERS_PER_RACK + 1}"
            self.world.add_worker(
                self._make_worker_id(), name, WORKER_CPU_MILLIS, rack
            )
        for number in range(NODES_PER_DATA_CENTRE):
            self.world.add_node(f"e-{name}-{number}", name)

    def _make_worker_id(self) -> str:
        self.workers += 1
        return f"w-{self.workers}"

    def _submit_long_running_jobs(self) -> None:
        world, rng = self.world, self.world.rng
        for number in range(LONG_RUNNING_JOBS):
            amount = resources.Vector(rng.choice((500, 1500)), 100, 0)
            step = model.Step(rng.randint(1, 4), amount, long_running=True)
            node = rng.choice(world.nodes)
            world.submit(node, f"{number + 1:016x}", step)

    def _submit_job(self) -> None:
        if not self.submitting:
            return
        world, rng = self.world, self.world.rng
        self.jobs += 1
        steps = batch_restarts.draw_short_steps(rng)
        nodes = self.faults.list_sound_nodes()
        if nodes:
            world.submit(rng.choice(nodes), f"f{self.jobs:015x}", *steps)
        world.schedule(JOB_INTERVAL_S, self._submit_job)

    def _inject_faults(self) -> None:
        """Schedules the faults of a round."""
        world, rng = self.world, self.world.rng
        for _ in range(rng.randint(1, 2)):
            kind = rng.choice(
                (
                    self._split,
                    self._split,
                    self._cut_at_random,
                    self._isolate_owner,
                )
            )
            world.schedule(rng.uniform(0, 6), kind)
        if rng.random() < 0.2:
            world.schedule(rng.uniform(0, 10), self._revoke_store_leases)
        if rng.random() < 0.5:
            world.schedule(rng.uniform(0, 6), self._answer_polls_late)
        if rng.random() < 0.3:
            world.schedule(rng.uniform(0, 6), self._write_late)
        if self.mixed:
            for _ in range(rng.randint(1, 3)):
                world.schedule(rng.uniform(0, 16), self._disturb)

    def _split(self) -> None:
        """Cuts some instances and workers off from the store and the others."""
        rng = self.world.rng
        nodes, workers = self._list_nodes(), self._list_workers()
        isolated_nodes = self._choose(nodes, len(nodes) // 2)
        isolated_workers = self._choose(workers, len(workers) // 2)
        other_nodes = [name for name in nodes if name not in isolated_nodes]
        other_workers = [
            name for name in workers if name not in isolated_workers
        ]
        seconds = rng.uniform(*CUT_S)
        for name in isolated_nodes:
            self._cut_node_from_store(name, seconds)
        if rng.random() < 0.7:
            for name in isolated_workers:
                self._cut_worker_from_store(name, seconds)
        if rng.random() < 0.7:
            self._cut_paths(other_nodes, isolated_workers, seconds)
        if rng.random() < 0.4:
            self._cut_paths(isolated_nodes, other_workers, seconds)
        if rng.random() < 0.3:
            some = self._choose(isolated_workers, len(isolated_workers))
            self._cut_paths(isolated_nodes, some, seconds)

    def _isolate_owner(self) -> None:
        """Cuts an owner off from the store, its successors from some workers.

        The former owner still reaches all workers, and their answers to its
        polls may be older than what they have told the next owner.
        """
        rng = self.world.rng
        nodes = self.faults.list_sound_nodes()
        owners = [node.name for node in nodes if node.batch.partitions]
        if not owners:
            return
        owner = rng.choice(owners)
        others = [name for name in self._list_nodes() if name != owner]
        workers = self._list_workers()
        seconds = rng.uniform(*OWNER_CUT_S)
        self.faults.cut_node_from_store(owner, seconds)
        if self.revoking:
            self._revoke_soon(owner)
        self.faults.cut_paths(
            others, self._choose(workers, len(workers) // 2), seconds
        )
        self._answer_polls_late()

    def _revoke_soon(self, name: str) -> None:
        """Revokes the store lease of an instance before it can expire."""

        def revoke() -> None:
            for node in self.faults.list_sound_nodes():
                if node.name == name:
                    self.faults.revoke_store_lease(node)

        delay_s = self.world.rng.uniform(0, tenure.LEASE_TTL_S)
        self.world.schedule(delay_s, revoke)

    def _cut_at_random(self) -> None:
        """Cuts a few paths that have nothing to do with each other."""
        rng = self.world.rng
        nodes, workers = self._list_nodes(), self._list_workers()
        for _ in range(rng.randint(2, 5)):
            seconds = rng.uniform(*CUT_S)
            kind = rng.choice(("node", "worker", "paths"))
            if kind == "node":
                self._cut_node_from_store(rng.choice(nodes), seconds)
            elif kind == "worker":
                self._cut_worker_from_store(rng.choice(workers), seconds)
            else:
                some_nodes = self._choose(nodes, len(nodes))
                some_workers = self._choose(workers, len(workers))
                self._cut_paths(some_nodes, some_workers, seconds)

    def _list_nodes(self) -> list[str]:
        return sorted({node.name for node in self.world.nodes})

    def _list_workers(self) -> list[str]:
        return sorted(self.world.workers)

    def _choose(self, names: list[str], most: int) -> list[str]:
        """Chooses at least one name."""
        rng = self.world.rng
        return rng.sample(names, rng.randint(1, max(1, most)))

    def _draw_times(self, seconds: float) -> tuple[float, float]:
        """Draws the delay and the duration of one cut of a split, in seconds.

        Half of the cuts last as long as the others of the split.
        """
        rng = self.world.rng
        delay_s = rng.uniform(0, MAX_SKEW_S)
        if rng.random() < 0.5:
            seconds = rng.uniform(*CUT_S)
        return delay_s, seconds

    def _cut_node_from_store(self, name: str, seconds: float) -> None:
        delay_s, cut_s = self._draw_times(seconds)
        self.world.schedule(
            delay_s,
            functools.partial(self.faults.cut_node_from_store, name, cut_s),
        )

    def _cut_worker_from_store(self, name: str, seconds: float) -> None:
        delay_s, cut_s = self._draw_times(seconds)
        expiry_s = self.world.rng.uniform(*EXPIRY_S)

        def cut() -> None:
            now = self.world.now
            # A second cut of the same worker would return its entry too early.
            if now < self.without_store_until.get(name, 0.0):
                return
            until = now + cut_s + batch_faults.MAX_REGISTRATION_S
            self.without_store_until[name] = until
            self.faults.cut_worker_from_store(name, cut_s, expiry_s)

        self.world.schedule(delay_s, cut)

    def _cut_paths(
        self, nodes: list[str], workers: list[str], seconds: float
    ) -> None:
        delay_s, cut_s = self._draw_times(seconds)
        self.world.schedule(
            delay_s,
            functools.partial(self.faults.cut_paths, nodes, workers, cut_s),
        )

    def _revoke_store_leases(self) -> None:
        """Ends the store leases of one instance or of several."""
        rng = self.world.rng
        nodes = self.faults.list_sound_nodes()
        for node in rng.sample(nodes, min(len(nodes), rng.randint(1, 2))):
            self.faults.revoke_store_lease(node)

    def _answer_polls_late(self) -> None:
        rng = self.world.rng
        if not self.world.late_poll_fraction:
            fraction = rng.choice((0.2, 0.5, 1.0))
            self.faults.answer_polls_late(fraction, rng.uniform(3, 12))

    def _write_late(self) -> None:
        rng = self.world.rng
        if not self.world.late_write_fraction:
            fraction = rng.choice((0.1, 0.3))
            self.faults.write_late(fraction, rng.uniform(1, 6))

    def _disturb(self) -> None:
        """Kills, restarts or pauses an instance, or replaces a worker."""
        rng, faults = self.world.rng, self.faults
        kind = rng.choice(("crash", "restart", "pause", "replace"))
        if kind == "replace":
            names = faults.list_sound_workers()
            if names:
                name = rng.choice(names)
                faults.replace_worker(
                    name,
                    self._make_worker_id(),
                    address_reused=rng.random() < 0.5,
                )
            return
        nodes = faults.list_sound_nodes()
        if len(nodes) < 2:
            return
        node = rng.choice(nodes)
        if kind == "crash":
            faults.crash_node(node)
        elif kind == "restart":
            faults.restart_node(node)
        else:
            faults.pause_node(node, rng.uniform(1, 8))


def build_scenario(
    seed: int, *, mixed: bool = False, revoking: bool = False
) -> CutScenario:
    """Starts a random deployment.

    Args:
        seed: Seed of the random numbers.
        mixed: Whether there are other faults beside the cuts.
        revoking: Whether store leases of owners that are cut off are revoked.
    """
    world = batch_world.BatchWorld(seed)
    world.run_duration_s = world.rng.choice(RUN_S)
    world.store_division(world.rng.choice((1, 2)))
    faults = batch_faults.BatchFaults(world)
    check = batch_restarts.RestartCheck(world, faults)
    scenario = CutScenario(world, faults, check, mixed, revoking)
    for name in DATA_CENTRES:
        scenario.add_data_centre(name)
    world.run(START_S)
    return scenario


def describe(scenario: CutScenario) -> str:
    """Describes the broken invariants of a scenario; empty if there are none.

    Gives the number of violations of each kind and the first violation.
    """
    violations = scenario.world.violations
    kinds = collections.Counter(text.partition(":")[0] for text in violations)
    late = scenario.check.late
    unfinished = scenario.list_unfinished_jobs()
    parts = [f"{kind} {count}" for kind, count in sorted(kinds.items())]
    parts += [f"late {len(late)}"] if late else []
    parts += [f"unfinished {len(unfinished)}"] if unfinished else []
    return ", ".join(parts + violations[:1])


def play(seed: int, rounds: int, *, mixed: bool) -> str:
    """Plays the scenario of a seed and describes the broken invariants.

    Also plays it with store leases that are revoked.
    """
    found = []
    for revoking in (False, True):
        scenario = build_scenario(seed, mixed=mixed, revoking=revoking)
        scenario.run(rounds)
        if description := describe(scenario):
            found.append(("revoking: " if revoking else "") + description)
    return "; ".join(found)


def main() -> None:
    """Plays the scenarios that the command line names."""
    seeds.run_rounds(__doc__, "1-20", play)


if __name__ == "__main__":
    main()

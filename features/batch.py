"""Simulation of batch work in virtual time for the steps of features."""

from sapphirestall_core import eviction
from sapphirestall_core import jobs
from sapphirestall_core import messages
from sapphirestall_core import operator_messages
from standins import virtual
from standins import worker_model
from standins import world as world_module

DATA_CENTRE = "sefrou"


class Batch:
    """Instances and workers whose starts are checked after each event.

    A start is a violation if it exceeds the worker's capacity or if another
    attempt of the same task is running.
    """

    def __init__(self, entries, workers, racks=1, seed=1, cpu_millis=4000):
        """Starts the instances and waits until they own the partitions.

        Args:
            entries: Number of instances.
            workers: Number of workers on each rack.
            racks: Number of racks.
            seed: Seed of the simulation.
            cpu_millis: Processors of each worker, in thousandths.
        """
        self.world = virtual.make_world(seed)
        self.faults = self.world.faults
        self.violations = []
        self.checked_counts = {}
        self.workers = []
        for rack in range(racks):
            for number in range(workers):
                name = f"w{rack}{number}"
                capacity = worker_model.Amount(cpu_millis, 8000)
                self.world.add_worker(
                    name, DATA_CENTRE, f"rack{rack}", capacity
                )
                self.workers.append(name)
        self.entries = [f"e{number}" for number in range(entries)]
        for name in self.entries:
            self.world.add_entry(name, DATA_CENTRE)
        self.world.observers.append(lambda _: self.check_new_starts())
        self.world.run(6)

    def check_new_starts(self):
        """Checks new starts for capacity and for another running attempt."""
        for name, worker in self.world.workers.items():
            new = worker.started[self.checked_counts.get(name, 0) :]
            if not new:
                continue
            self.checked_counts[name] = len(worker.started)
            used = sum(
                task.reserved.cpu_millis for task in self.find_running(worker)
            )
            if used > worker.capacity.cpu_millis:
                self.violations.append(f"{name}: {used} millis reserved")
            for started in new:
                self.check_no_other_attempt(started)

    def find_running(self, worker):
        """Returns the attempts that are running on a worker."""
        passed_s = self.world.now - worker.now
        return [
            task
            for task in worker.tasks.values()
            if task.state == "running"
            and task.lease_until > self.world.now
            and task.work_left_s > passed_s
        ]

    def check_no_other_attempt(self, started):
        """Records a violation if the task has another running attempt."""
        subject = started.rsplit(".", 1)[0]
        others = [
            task.name
            for worker in self.world.workers.values()
            for task in self.find_running(worker)
            if task.name != started and task.name.rsplit(".", 1)[0] == subject
        ]
        if others:
            self.violations.append(f"{started} runs beside {others}")

    def submit(self, job_id, tasks, run_s, instance_id="", **options):
        """Submits a job and returns the result."""
        command = self.make_job(job_id, tasks, run_s, **options)
        return self.call(command, instance_id)

    def make_job(self, job_id, tasks, run_s, **options):
        """Makes the command that submits a job."""
        return operator_messages.SubmitJob(
            job_id=job_id,
            data_centre=options.pop("data_centre", DATA_CENTRE),
            team=options.pop("team", "press"),
            kind=options.pop("kind", "tally"),
            task_count=tasks,
            cpu_millis=options.pop("cpu_millis", 1000),
            memory_mb=options.pop("memory_mb", 500),
            run_s=run_s,
            **options,
        )

    def call(self, command, instance_id=""):
        """Executes a command at a live instance and returns the result."""
        call_id = self.world.send_operator_command(
            instance_id or self.list_live_instances()[0], command
        )
        self.world.run_until(lambda: call_id in self.world.results, 9)
        return self.world.results[call_id]

    def list_live_instances(self):
        """Returns the ids of the live entry instances."""
        return [e for e in self.entries if self.world.nodes[e].alive]

    def find_owner(self, rack="rack0"):
        """Returns the id of the owner of a rack, according to the store."""
        key = jobs.make_owner_key(DATA_CENTRE, rack)
        stored = self.world.store.items.get(key)
        return stored.value.instance_id if stored else ""

    def get_partition(self, rack="rack0"):
        """Returns the owner's state of a rack."""
        node = self.world.nodes[self.find_owner(rack)]
        return node.state.tasks.partitions[rack]

    def get_record(self, job_id):
        """Returns a job's record in the store, or None."""
        stored = self.world.store.items.get(
            jobs.make_job_key(DATA_CENTRE, job_id)
        )
        return stored.value if stored else None

    def has_ended(self, job_id, state="finished"):
        """Returns whether a job's record has a final state."""
        record = self.get_record(job_id)
        return record is not None and record.state.value == state

    def list_starts(self, job_id):
        """Returns the names of all attempts of a job that were started."""
        return [
            name
            for worker in self.world.workers.values()
            for name in worker.started
            if name.startswith(f"{job_id}.")
        ]

    def list_tasks(self, job_id, state):
        """Returns the tasks of a job on the workers that are in a state."""
        return [
            task
            for worker in self.world.workers.values()
            for task in worker.tasks.values()
            if task.name.startswith(f"{job_id}.") and task.state == state
        ]

    def shut_down(self, name):
        """Starts the graceful shutdown of an instance."""
        node = self.world.nodes[name]
        self.world.deliver(node, messages.ShutdownRequested())

    def evict(self, job_id, limit=1):
        """Makes the owner evict running attempts of a job.

        Returns:
            The names of the evicted attempts.
        """
        evicted = []
        node = self.world.nodes[self.find_owner()]
        partition = node.state.tasks.partitions.get("rack0")
        if partition is None:
            return evicted  # The owner restarted and its key has not expired.
        for worker in list(partition.workers.values()):
            found = eviction.list_candidates(worker, self.world.now)
            for candidate in found:
                if candidate.name.job_id != job_id or len(evicted) == limit:
                    continue
                evicted.append(str(candidate.name))
                effects = eviction.start(
                    candidate.name,
                    partition,
                    node.state,
                    self.world.now,
                    "test",
                )
                for effect in effects:
                    world_module.perform(effect, node, self.world)
        return evicted

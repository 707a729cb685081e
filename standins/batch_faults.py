"""Disturbances and planned work in a simulation of batch instances.

Planned work is a worker that drains and exits, or an instance that is asked to
shut down and starts again. Everything else is a disturbance.
"""

from collections.abc import Callable
from collections.abc import Collection

import attrs

from sapphirestall_core import messages
from sapphirestall_core.batch import model
from standins import batch_worker
from standins import batch_world

# The platform removes the entry of a worker that it has not heard of for this
# time, in seconds.
ENTRY_EXPIRY_S = 4.5
# Longest time until such a worker is registered again, in seconds.
MAX_REGISTRATION_S = 2.0
# Range of the time until an instance that has exited starts again, in seconds.
RESTART_DELAY_S = (1.0, 2.0)
RESTART_CHECK_INTERVAL_S = 0.1
# Range of the time for which a worker drains before it exits, in seconds.
DRAIN_S = (2.0, 6.0)
# Range of the time until the entry of a worker that exited disappears, in
# seconds.
DEREGISTRATION_S = (0.4, 1.2)
# Ranges of the times for which a worker that flaps is down and up, in seconds.
DOWN_S = (0.5, 4.0)
UP_S = (0.5, 6.0)
# Range of the time for which a worker fails, stalls or refuses, in seconds.
TROUBLE_S = (1.0, 7.0)
# The same for a worker that looks sound but hangs.
HANG_S = (5.0, 25.0)
# Range of the pauses of an instance that is slow, in seconds.
SLOW_S = (0.05, 0.4)


@attrs.define
class BatchFaults:
    """Source of disturbances and planned work.

    Attributes:
        world: The simulation.
        active: Number of disturbances that have not ended.
        disturbed_at: When the last disturbance ended, in seconds.
        draining: Ids of workers that will exit.
        hanging: Ids of workers that look sound but hang.
        restarting: Names of instances that shut down or have not started again.
        events: Descriptions of all faults, each with its time.
    """

    world: batch_world.BatchWorld
    active: int = 0
    disturbed_at: float = 0.0
    draining: set[str] = attrs.field(factory=set)
    hanging: set[str] = attrs.field(factory=set)
    restarting: set[str] = attrs.field(factory=set)
    events: list[tuple[float, str]] = attrs.field(factory=list)

    def find_calm_since(self) -> float:
        """Returns since when there has been no disturbance, in seconds."""
        return self.world.now if self.active else self.disturbed_at

    def isolate(self, data_centre: str, seconds: float) -> None:
        """Cuts a data centre off from the store and the other data centres."""
        world = self.world
        self._begin(f"isolate {data_centre} for {seconds:.2f} s")
        world.isolated_data_centres.add(data_centre)
        self._expire_entries(data_centre, seconds)

        def end() -> None:
            world.isolated_data_centres.discard(data_centre)
            self._end()

        world.schedule(seconds, end)

    def stop_store(self, seconds: float) -> None:
        """Makes the store answer no calls."""
        world = self.world
        self._begin(f"stop store for {seconds:.2f} s")
        world.store_down = True
        self._expire_entries("", seconds)

        def end() -> None:
            world.store_down = False
            self._end()

        world.schedule(seconds, end)

    def lose_answers(self, fraction: float, seconds: float) -> None:
        """Loses the answers to a fraction of the store calls."""
        world = self.world
        self._begin(f"lose {fraction} of the answers for {seconds:.2f} s")
        world.lost_answer_fraction = fraction

        def end() -> None:
            world.lost_answer_fraction = 0.0
            self._end()

        world.schedule(seconds, end)

    def lose_start_answers(self, fraction: float, seconds: float) -> None:
        """Loses the answers to starts, half of which are carried out late."""
        world = self.world
        self._begin(f"lose {fraction:.2f} of the starts for {seconds:.2f} s")
        world.late_start_fraction = fraction / 2
        world.unanswered_start_fraction = fraction / 2

        def end() -> None:
            world.late_start_fraction = world.unanswered_start_fraction = 0.0
            self._end()

        world.schedule(seconds, end)

    def write_late(self, fraction: float, seconds: float) -> None:
        """Carries out a fraction of the store's writes late, without answer."""
        world = self.world
        self._begin(f"write {fraction} late for {seconds:.2f} s")
        world.late_write_fraction = fraction

        def end() -> None:
            world.late_write_fraction = 0.0
            self._end()

        world.schedule(seconds, end)

    def answer_polls_late(self, fraction: float, seconds: float) -> None:
        """Lets workers overlook ends in a fraction of the long polls."""
        world = self.world
        self._begin(f"answer {fraction} of the polls late for {seconds:.2f} s")
        world.late_poll_fraction = fraction

        def end() -> None:
            world.late_poll_fraction = 0.0
            self._end()

        world.schedule(seconds, end)

    def revoke_store_lease(self, node: batch_world.Node) -> None:
        """Ends the store lease of an instance without a sign.

        Does nothing if the instance has no lease. The store's keys without a
        lease would be removed otherwise.
        """
        if not node.batch.lease_id:
            return
        self._begin(f"revoke the store lease of {node.name}")
        self.world.store.end_lease(node.batch.lease_id)
        self._end()

    def cut_worker_from_store(
        self, name: str, seconds: float, expiry_s: float = ENTRY_EXPIRY_S
    ) -> None:
        """Cuts one worker off from the store; instances still reach it.

        Args:
            name: Id of the worker.
            seconds: Time for which it does not reach the store.
            expiry_s: Time until its entry expires, in seconds.
        """
        self._begin(f"cut {name} from the store for {seconds:.2f} s")
        if seconds >= expiry_s:
            self._expire_entry(name, seconds, expiry_s)
        self.world.schedule(seconds, self._end)

    def cut_node_from_store(self, name: str, seconds: float) -> None:
        """Cuts one instance off from the store; it still reaches workers."""
        cuts = self.world.path_cuts
        cuts.cut_store(name)
        self._cut(
            f"cut {name} from the store for {seconds:.2f} s",
            seconds,
            lambda: cuts.restore_store(name),
        )

    def cut_paths(
        self,
        nodes: Collection[str],
        workers: Collection[str],
        seconds: float,
    ) -> None:
        """Cuts each of some instances off from each of some workers."""
        cuts = self.world.path_cuts
        cuts.cut_workers(nodes, workers)
        names = f"{','.join(sorted(nodes))} from {','.join(sorted(workers))}"
        self._cut(
            f"cut {names} for {seconds:.2f} s",
            seconds,
            lambda: cuts.restore_workers(nodes, workers),
        )

    def pause_node(self, node: batch_world.Node, seconds: float) -> None:
        """Pauses an instance, which handles no event meanwhile."""
        node.paused_until = self.world.now + seconds
        self._begin(f"pause {node.name} for {seconds:.2f} s")
        self.world.schedule(seconds, self._end)

    def cut_worker_from_nodes(
        self, name: str, seconds: float, *, by_reset: bool = False
    ) -> None:
        """Cuts one worker off from all instances.

        Args:
            name: Id of the worker.
            seconds: Duration of the cut, in seconds.
            by_reset: Whether the cut closes connections; it is silent if not.
        """
        self._begin(f"cut {name} from instances for {seconds:.2f} s")
        world = self.world
        world.isolated_workers.add(name)
        if by_reset:
            world.call_faults.resetting_workers.add(name)

        def end() -> None:
            world.isolated_workers.discard(name)
            world.call_faults.resetting_workers.discard(name)
            self._end()

        world.schedule(seconds, end)

    def crash_worker(self, name: str) -> None:
        """Ends a worker for good; its entry remains until it expires."""
        self._begin(f"crash {name}")
        del self.world.workers[name]
        self.world.schedule(ENTRY_EXPIRY_S, lambda: self._deregister(name))
        self._end()

    def flap_worker(self, name: str, times: int) -> None:
        """Lets a worker go down and up by turns, under the same id.

        Its entry is there all the time, as it is never down for long.
        """
        world = self.world
        self._begin(f"flap {name} {times} times")
        entry = world.listed_workers[name]

        def go_down(remaining: int) -> None:
            if not remaining or name not in world.workers:
                self._end()
                return
            del world.workers[name]
            delay_s = world.rng.uniform(*DOWN_S)
            world.schedule(delay_s, lambda: go_up(remaining))

        def go_up(remaining: int) -> None:
            world.restart_worker(name, entry)
            delay_s = world.rng.uniform(*UP_S) if remaining > 1 else 0.0
            world.schedule(delay_s, lambda: go_down(remaining - 1))

        go_down(times)

    def fail_worker_runs(self, name: str) -> None:
        """Lets all that a worker runs or starts fail for some seconds."""
        worker, seconds = self._begin_trouble("fail the runs of", name)
        worker.fail_runs(self.world.now, seconds)

    def stall_worker_runs(self, name: str) -> None:
        """Lets all that a worker runs or starts stand still for some time."""
        worker, seconds = self._begin_trouble("stall the runs of", name)
        worker.stall_runs(self.world.now, seconds)

    def refuse_calls(self, name: str) -> None:
        """Lets a worker refuse all calls for some seconds."""
        worker, seconds = self._begin_trouble("refuse calls at", name)
        worker.unhealthy_until = self.world.now + seconds

    def hang_worker(self, name: str) -> None:
        """Lets a worker refuse all calls, or ignore starts, for a long time.

        The platform's list shows it as before. This is no disturbance for the
        tasks that wait, since other workers can run them.
        """
        world = self.world
        seconds = world.rng.uniform(*HANG_S)
        refuses = world.rng.random() < 0.5
        what = "refuses all calls" if refuses else "ignores starts"
        self.events.append((world.now, f"{name} {what} for {seconds:.2f} s"))
        self.hanging.add(name)
        if refuses:
            world.workers[name].unhealthy_until = world.now + seconds
        else:
            world.call_faults.starts_ignored_by.add(name)

        def end() -> None:
            self.hanging.discard(name)
            world.call_faults.starts_ignored_by.discard(name)

        world.schedule(seconds, end)

    def slow_node(self, node: batch_world.Node, seconds: float) -> None:
        """Lets an instance handle events only at intervals for some time."""
        world = self.world
        self._begin(f"slow {node.name} for {seconds:.2f} s")
        ends_at = world.now + seconds

        def pause() -> None:
            if world.now >= ends_at:
                self._end()
                return
            node.paused_until = world.now + world.rng.uniform(*SLOW_S)
            world.schedule(world.rng.uniform(*SLOW_S) + SLOW_S[1], pause)

        pause()

    def crash_node(self, node: batch_world.Node) -> None:
        """Kills an instance, which starts again later."""
        self._begin(f"crash {node.name}")
        self.restarting.add(node.name)
        self.world.kill(node)
        self._start_again(node)
        self._end()

    def restart_node(self, node: batch_world.Node) -> None:
        """Asks an instance to shut down and starts it again afterwards."""
        self.events.append((self.world.now, f"restart {node.name}"))
        self.restarting.add(node.name)
        self.world.deliver(node, messages.ShutdownRequested())
        self._start_again(node)

    def replace_worker(
        self,
        name: str,
        successor: str,
        drain_s: float | None = None,
        *,
        address_reused: bool = False,
    ) -> None:
        """Drains a worker, which then exits, and starts another in its rack.

        Args:
            name: Id of the worker.
            successor: Id of the new worker.
            drain_s: Time until the worker exits, in seconds; None for a random
                time.
            address_reused: Whether another worker then answers at its address.
        """
        world = self.world
        delay_s = world.rng.uniform(*DRAIN_S) if drain_s is None else drain_s
        self.events.append(
            (world.now, f"replace {name} by {successor} in {delay_s:.2f} s")
        )
        entry = world.listed_workers[name]
        self.retire_worker(name, delay_s, address_reused=address_reused)
        world.add_worker(
            successor, entry.data_centre, entry.capacity.cpu_millis, entry.rack
        )

    def retire_worker(
        self, name: str, drain_s: float, *, address_reused: bool = False
    ) -> None:
        """Drains a worker, which then exits.

        Args:
            name: Id of the worker.
            drain_s: Time until the worker exits, in seconds.
            address_reused: Whether another worker then answers at its address.
        """
        world = self.world
        self.events.append((world.now, f"retire {name} in {drain_s:.2f} s"))
        self.draining.add(name)
        world.drain_worker(name)

        def exit_worker() -> None:
            world.workers.pop(name, None)
            if address_reused:
                world.call_faults.replaced_workers.add(name)
            world.schedule(
                world.rng.uniform(*DEREGISTRATION_S),
                lambda: self._deregister(name),
            )

        world.schedule(drain_s, exit_worker)

    def list_sound_workers(self) -> list[str]:
        """Returns the workers that are listed, work and will not exit."""
        excluded = self.draining | self.hanging
        return sorted(
            name
            for name in self.world.workers
            if name not in excluded and name in self.world.listed_workers
        )

    def list_sound_nodes(self) -> list[batch_world.Node]:
        """Returns the instances that run and are not shutting down."""
        return [
            node
            for node in self.world.nodes
            if node.alive and node.name not in self.restarting
        ]

    def _cut(
        self, description: str, seconds: float, restore: Callable[[], None]
    ) -> None:
        """Records a cut that has begun and schedules its end."""
        self._begin(description)

        def end() -> None:
            restore()
            self._end()

        self.world.schedule(seconds, end)

    def _begin(self, description: str) -> None:
        self.active += 1
        self.events.append((self.world.now, description))

    def _end(self) -> None:
        self.active -= 1
        self.disturbed_at = self.world.now

    def _begin_trouble(
        self, what: str, name: str
    ) -> tuple[batch_worker.BatchWorker, float]:
        """Records the trouble of a worker; returns it and the time it lasts."""
        seconds = self.world.rng.uniform(*TROUBLE_S)
        self._begin(f"{what} {name} for {seconds:.2f} s")
        self.world.schedule(seconds, self._end)
        return self.world.workers[name], seconds

    def _deregister(self, name: str) -> None:
        self.world.listed_workers.pop(name, None)

    def _start_again(self, node: batch_world.Node) -> None:
        """Starts a new incarnation of an instance once it has exited."""
        world, identity = self.world, node.batch.identity

        def start() -> None:
            self.restarting.discard(node.name)
            world.add_node(node.name, identity.data_centre, identity.processors)

        def check() -> None:
            if node.alive:
                world.schedule(RESTART_CHECK_INTERVAL_S, check)
            else:
                world.schedule(world.rng.uniform(*RESTART_DELAY_S), start)

        check()

    def _expire_entries(self, data_centre: str, seconds: float) -> None:
        """Removes entries of workers that do not reach the store for a while.

        Args:
            data_centre: Data centre of the workers; empty for all workers.
            seconds: Time for which they do not reach the store.
        """
        if seconds < ENTRY_EXPIRY_S:
            return
        world = self.world
        names = [
            name
            for name, worker in world.workers.items()
            if data_centre in ("", worker.entry.data_centre)
        ]
        for name in names:
            self._expire_entry(name, seconds)

    def _expire_entry(
        self, name: str, seconds: float, expiry_s: float = ENTRY_EXPIRY_S
    ) -> None:
        world = self.world
        hidden: list[model.WorkerEntry] = []

        def remove() -> None:
            entry = world.listed_workers.pop(name, None)
            if entry is not None:
                hidden.append(entry)

        def restore() -> None:
            if name in world.workers and hidden:
                draining = name in self.draining
                world.listed_workers[name] = attrs.evolve(
                    hidden[0], draining=draining
                )

        world.schedule(expiry_s, remove)
        delay_s = seconds + world.rng.uniform(0, MAX_REGISTRATION_S)
        world.schedule(delay_s, restore)

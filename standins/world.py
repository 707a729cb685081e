"""Simulation of entry instances, network and clock in virtual time.

The simulation makes no decisions of the system. It performs the effects of the
core with delays and with the faults that a test sets, and records the answers
to callers and operators. The seed determines the whole run.
"""

from __future__ import annotations

import collections
from collections.abc import Callable
import functools
import heapq
import itertools
import random

import attrs

from sapphirestall_core import instance
from sapphirestall_core import membership
from sapphirestall_core import messages
from sapphirestall_core import operator_messages
from sapphirestall_core import outcomes
from sapphirestall_core import peer_messages
from sapphirestall_core import request_messages
from sapphirestall_core import state
from standins import store_model
from standins import worker_model

STORE = "store"
MAX_HISTORY_EVENTS = 200
STORE_DELAY_S = 0.003
LINK_DELAY_S = 0.0015
CALL_TIMEOUT_S = 2.0
MAX_LATE_WRITE_DELAY_S = 6.0
WATCH_WAIT_S = 30.0


@attrs.define
class Node:
    """An entry instance.

    Attributes:
        state: State of its core.
        alive: Whether the process runs.
        paused_until: Time before which it handles no event, as if its process
            was stopped.
        deferred_events: Events that arrived during the pause.
    """

    state: state.Instance
    alive: bool = True
    paused_until: float = 0.0
    deferred_events: list[messages.Event] = attrs.field(factory=list)


@attrs.define
class Executor:
    """An executor.

    Attributes:
        slots: Number of requests that it runs at once.
        work_s: Mean time that one request takes, in seconds.
        random_fraction: Fraction of `work_s` that is drawn from an exponential
            distribution.
        running: Number of requests that run now.
        alive: Whether the process runs.
        leaving: Whether it reports that it is leaving.
        fault: Fault of its answers: `truncate`, `duplicate`, `crossed` (an
            answer carries the id of the previous attempt), or empty.
        last_attempt: Id of the attempt that it answered last.
        runs: Start times by request id.
    """

    slots: int = 8
    work_s: float = 0.01
    random_fraction: float = 0.0
    running: int = 0
    alive: bool = True
    leaving: bool = False
    fault: str = ""
    last_attempt: str = ""
    runs: dict[str, list[float]] = attrs.field(
        factory=lambda: collections.defaultdict(list)
    )

    def draw_work(self, rng: random.Random) -> float:
        """Draws the time that the next request takes, in seconds."""
        if not self.random_fraction:
            return self.work_s
        drawn = rng.expovariate(1.0)
        return self.work_s * (
            1 - self.random_fraction + self.random_fraction * drawn
        )


@attrs.define
class Faults:
    """Faults of the network and the store.

    Attributes:
        disconnected: Unordered pairs of ids between which no message arrives.
        store_down: Whether the store answers no call.
        loss: Fraction of messages that are lost.
        duplication: Fraction of worker calls that arrive twice.
        extra_delay_s: Upper bound of a random delay that is added to each
            message except store calls, in seconds.
        lost_answers: Fraction of store writes that take effect but whose answer
            is lost.
        late_writes: Fraction of store writes that time out and take effect up
            to `MAX_LATE_WRITE_DELAY_S` after they arrived.
        slow_store_s: Delay that is added to each store call, in seconds.
        writes_per_s: Number of writes that the store serves in a second; 0 if
            there is no limit.
    """

    disconnected: set[frozenset[str]] = attrs.field(factory=set)
    store_down: bool = False
    loss: float = 0.0
    duplication: float = 0.0
    extra_delay_s: float = 0.0
    lost_answers: float = 0.0
    late_writes: float = 0.0
    slow_store_s: float = 0.0
    writes_per_s: float = 0.0


@attrs.define
class World:
    """Entry instances and stand-ins under one virtual clock.

    Attributes:
        seed: Seed of the random numbers.
        now: Virtual time, in seconds.
        nodes: Current process of each entry instance, by id.
        workers: Current incarnation of each worker, by id.
        executors: Executors by id.
        store: The platform's store.
        listings: The platform's instance list, by id.
        faults: Faults of the network and the store.
        answers: Outcomes that callers got, by request id.
        results: Results that operators got, by call id.
        counts: Numbers of calls, messages, refusals, retries and log lines.
        store_busy_until: Time at which the store has served all writes so far,
            if `Faults.writes_per_s` limits them.
        unresponsive_workers: Workers that answer no call.
        history: Newest events that were delivered, each with its time and
            instance.
        observers: Functions that run after each action.
        queue: Heap of pending actions, each with its time and a number that
            keeps the order of actions at the same time.
        sequence: Source of unique numbers.
        rng: Random numbers of the simulation.
    """

    seed: int = 0
    now: float = 1000.0
    nodes: dict[str, Node] = attrs.field(factory=dict)
    workers: dict[str, worker_model.Worker] = attrs.field(factory=dict)
    executors: dict[str, Executor] = attrs.field(factory=dict)
    store: store_model.Store = attrs.field(factory=store_model.Store)
    listings: dict[str, membership.Listing] = attrs.field(factory=dict)
    faults: Faults = attrs.field(factory=Faults)
    answers: dict[str, list[outcomes.Outcome]] = attrs.field(
        factory=lambda: collections.defaultdict(list)
    )
    results: dict[str, operator_messages.Result] = attrs.field(factory=dict)
    counts: collections.Counter[str] = attrs.field(factory=collections.Counter)
    store_busy_until: float = 0.0
    unresponsive_workers: set[str] = attrs.field(factory=set)
    history: collections.deque[tuple[float, str, messages.Event]] = attrs.field(
        factory=lambda: collections.deque(maxlen=MAX_HISTORY_EVENTS)
    )
    observers: list[Callable[[World], None]] = attrs.field(factory=list)
    queue: list[tuple[float, int, Callable[[], None]]] = attrs.field(
        factory=list
    )
    sequence: itertools.count[int] = attrs.field(factory=itertools.count)
    rng: random.Random = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        """Seeds the random numbers of the simulation."""
        self.rng = random.Random(self.seed)

    def add_entry(self, node_id: str, data_centre: str) -> Node:
        """Adds an entry instance to the instance list and starts it."""
        self.listings[node_id] = membership.Listing(
            node_id, membership.Kind.ENTRY, data_centre, node_id
        )
        return self.start_entry(node_id)

    def start_entry(self, node_id: str) -> Node:
        """Starts a new process of a listed entry instance, with empty state."""
        identity = state.Identity(
            node_id,
            f"{node_id}-{next(self.sequence)}",
            self.listings[node_id].data_centre,
            node_id,
        )
        node = Node(instance.build(identity))
        self.nodes[node_id] = node
        self.deliver(node, messages.Started())
        return node

    def add_worker(
        self,
        worker_id: str,
        data_centre: str,
        rack: str,
        capacity: worker_model.Amount,
    ) -> worker_model.Worker:
        """Adds a worker and lists it."""
        self.listings[worker_id] = membership.Listing(
            worker_id,
            membership.Kind.WORKER,
            data_centre,
            worker_id,
            rack=rack,
        )
        worker = worker_model.Worker(capacity, worker_id, now=self.now)
        self.workers[worker_id] = worker
        return worker

    def restart_worker(self, worker_id: str) -> None:
        """Starts a new incarnation of a worker, without tasks or epoch."""
        old = self.workers[worker_id]
        self.workers[worker_id] = worker_model.Worker(
            old.capacity,
            f"{worker_id}-{next(self.sequence)}",
            started=old.started,
            now=self.now,
        )

    def add_executor(
        self, executor_id: str, data_centre: str, service: str
    ) -> Executor:
        """Adds an executor and lists it."""
        self.listings[executor_id] = membership.Listing(
            executor_id,
            membership.Kind.EXECUTOR,
            data_centre,
            executor_id,
            service=service,
        )
        self.executors[executor_id] = Executor()
        return self.executors[executor_id]

    def schedule(self, delay_s: float, action: Callable[[], None]) -> None:
        """Schedules an action after a delay in seconds."""
        due = self.now + max(0.0, delay_s)
        heapq.heappush(self.queue, (due, next(self.sequence), action))

    def run(self, duration_s: float) -> None:
        """Runs the simulation for a duration in seconds."""
        end = self.now + duration_s
        while self.queue and self.queue[0][0] <= end:
            self.step()
        self.now = end

    def step(self) -> bool:
        """Runs the next action and the observers.

        Returns:
            Whether there was an action.
        """
        if not self.queue:
            return False
        self.now, _, action = heapq.heappop(self.queue)
        action()
        for observe in self.observers:
            observe(self)
        return True

    def run_until(self, check: Callable[[], bool], limit_s: float) -> bool:
        """Runs the simulation until a check holds or the limit has passed.

        Args:
            check: Called every 0.1 s of virtual time.
            limit_s: Limit, in seconds of virtual time.

        Returns:
            Whether the check held in time.
        """
        end = self.now + limit_s
        while self.now < end:
            if check():
                return True
            self.run(0.1)
        return check()

    def deliver(self, node: Node, event: messages.Event) -> None:
        """Passes an event to an instance and performs its effects.

        A paused instance gets the event when its pause ends.
        """
        if not node.alive:
            return
        if self.now < node.paused_until:
            node.deferred_events.append(event)
            return
        self.history.append((self.now, node.state.identity.instance_id, event))
        for effect in instance.handle(event, node.state, self.now):
            perform(effect, node, self)

    def pause(self, node_id: str, duration_s: float) -> None:
        """Pauses an instance for a duration in seconds."""
        node = self.nodes[node_id]
        node.paused_until = self.now + duration_s
        self.schedule(duration_s, lambda: self._resume(node))

    def _resume(self, node: Node) -> None:
        deferred_events, node.deferred_events = node.deferred_events, []
        for event in deferred_events:
            self.deliver(node, event)

    def kill(self, node_id: str) -> None:
        """Ends the process of an instance without a shutdown."""
        self.nodes[node_id].alive = False

    def send_operator_command(
        self, node_id: str, command: operator_messages.Command
    ) -> str:
        """Sends a command of an operator and returns the call id."""
        call_id = f"call-{next(self.sequence)}"
        event = operator_messages.OperatorCalled(call_id, command)
        self.deliver(self.nodes[node_id], event)
        return call_id

    def is_disconnected(self, one: str, other: str) -> bool:
        """Returns whether no message arrives between two ids."""
        return frozenset((one, other)) in self.faults.disconnected

    def disconnect(self, ids: list[str], others: list[str]) -> None:
        """Disconnects each id from each of the others."""
        self.faults.disconnected |= {
            frozenset((one, other)) for one in ids for other in others
        }

    def draw_delay(self) -> float:
        """Draws the delay of one message, in seconds."""
        factor = 1 + self.rng.random()
        extra = self.rng.random() * self.faults.extra_delay_s
        return LINK_DELAY_S * factor + extra

    def draw_loss(self) -> bool:
        """Draws whether a message is lost."""
        return self.rng.random() < self.faults.loss


@functools.singledispatch
def perform(effect: messages.Effect, node: Node, world: World) -> None:
    """Performs one effect of the core."""
    raise NotImplementedError(type(effect).__name__)


@perform.register
def _(effect: messages.StartTimer, node: Node, world: World) -> None:
    factor = 1 + effect.jitter * world.rng.uniform(-1, 1)
    event = messages.TimerFired(effect.timer)
    world.schedule(effect.delay_s * factor, lambda: world.deliver(node, event))


@perform.register
def _(effect: messages.Exit, node: Node, world: World) -> None:
    node.alive = False


@perform.register
def _(effect: messages.CountRefusal, node: Node, world: World) -> None:
    world.counts[f"refusal {effect.part} {effect.code}"] += 1


@perform.register
def _(effect: messages.CountRetry, node: Node, world: World) -> None:
    world.counts[f"retry {effect.part} {effect.code}"] += 1


@perform.register
def _(effect: messages.Log, node: Node, world: World) -> None:
    world.counts[f"log {effect.part}"] += 1


@perform.register
def _(effect: membership.ReadInstances, node: Node, world: World) -> None:
    node_id = node.state.identity.instance_id
    failed = world.faults.store_down or world.is_disconnected(node_id, STORE)
    event: messages.Event = membership.InstancesUnread()
    if not failed:
        event = membership.InstancesListed(tuple(world.listings.values()))
    world.schedule(STORE_DELAY_S, lambda: world.deliver(node, event))


@perform.register
def _(effect: peer_messages.ConnectPeers, node: Node, world: World) -> None:
    """Does nothing: the simulated network needs no connections."""


@perform.register
def _(effect: peer_messages.SendPeer, node: Node, world: World) -> None:
    own_id = node.state.identity.instance_id
    if world.is_disconnected(own_id, effect.peer_id) or world.draw_loss():
        return
    event = peer_messages.PeerReceived(own_id, effect.message)

    def receive() -> None:
        if effect.peer_id in world.nodes:
            world.deliver(world.nodes[effect.peer_id], event)

    world.counts["peer messages"] += 1
    world.schedule(world.draw_delay(), receive)


@perform.register
def _(
    effect: operator_messages.AnswerOperator, node: Node, world: World
) -> None:
    world.results[effect.call_id] = effect.result


@perform.register
def _(effect: request_messages.AnswerCaller, node: Node, world: World) -> None:
    world.answers[effect.request_id].append(effect.outcome)

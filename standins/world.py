"""Entry instances, network and clock of a run in virtual time.

Nothing here decides anything: it performs the core's effects with delays and
with the faults that a test sets, and records what callers and operators got.
Every run is determined by its seed.
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
EVENTS_KEPT = 200
STORE_DELAY_S = 0.003
LINK_DELAY_S = 0.0015
CALL_TIMEOUT_S = 2.0
LATE_WRITE_S = 6.0
WATCH_WAIT_S = 30.0


@attrs.define
class Node:
    """An entry instance.

    Attributes:
        paused_until: Events wait until then, as when a process is frozen.
        held: Events that arrived during a pause.
    """

    state: state.Instance
    alive: bool = True
    paused_until: float = 0.0
    held: list[messages.Event] = attrs.field(factory=list)


@attrs.define
class Executor:
    """An executor; `work_s` is the mean time that one request takes.

    Attributes:
        fault: `truncate`, `duplicate` or `crossed` (answers under an earlier
            attempt's id).
        spread: Share of that time that is drawn at random, exponentially.
        runs: Start times by request id.
    """

    slots: int = 8
    work_s: float = 0.01
    spread: float = 0.0
    running: int = 0
    alive: bool = True
    leaving: bool = False
    fault: str = ""
    last_attempt: str = ""
    runs: dict[str, list[float]] = attrs.field(
        factory=lambda: collections.defaultdict(list)
    )

    def draw_work(self, rng: random.Random) -> float:
        """Returns the time that the next request takes, in seconds."""
        if not self.spread:
            return self.work_s
        drawn = rng.expovariate(1.0)
        return self.work_s * (1 - self.spread + self.spread * drawn)


@attrs.define
class Faults:
    """Faults of the network and the store.

    Attributes:
        cut: Pairs of ids between which nothing arrives, in either order.
        loss: Share of messages that are lost.
        duplication: Share of worker commands that arrive twice.
        lost_answers: Share of store writes whose answer is lost.
        late_writes: Share of store writes that time out and take effect up to
            `LATE_WRITE_S` after they were sent.
        slow_store_s: Added to each store call.
        writes_per_s: Store writes that are served in a second; 0 is no limit.
    """

    cut: set[frozenset[str]] = attrs.field(factory=set)
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
    """Entry instances, stand-ins, the network and the clock.

    Attributes:
        history: Newest events that instances were given, with the time and
            the instance.
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
    store_free_at: float = 0.0
    dead_workers: set[str] = attrs.field(factory=set)
    history: collections.deque[tuple[float, str, messages.Event]] = attrs.field(
        factory=lambda: collections.deque(maxlen=EVENTS_KEPT)
    )
    observers: list[Callable[[World], None]] = attrs.field(factory=list)
    queue: list[tuple[float, int, Callable[[], None]]] = attrs.field(
        factory=list
    )
    sequence: itertools.count[int] = attrs.field(factory=itertools.count)
    rng: random.Random = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        """Seeds the random numbers of this world."""
        self.rng = random.Random(self.seed)

    def add_entry(self, node_id: str, data_centre: str) -> Node:
        """Adds an entry instance and starts it."""
        self.listings[node_id] = membership.Listing(
            node_id, membership.Kind.ENTRY, data_centre, node_id
        )
        return self.start_entry(node_id)

    def start_entry(self, node_id: str) -> Node:
        """Starts a listed entry instance with empty state."""
        identity = state.Identity(
            node_id,
            f"{node_id}-{next(self.sequence)}",
            self.listings[node_id].data_centre,
            node_id,
        )
        node = Node(instance.build(identity))
        self.nodes[node_id] = node
        self.feed(node, messages.Started())
        return node

    def add_worker(
        self,
        worker_id: str,
        data_centre: str,
        rack: str,
        capacity: worker_model.Amount,
    ) -> worker_model.Worker:
        """Adds a worker."""
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
        """Restarts a worker: its tasks, epoch and clock are gone."""
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
        """Adds an executor."""
        self.listings[executor_id] = membership.Listing(
            executor_id,
            membership.Kind.EXECUTOR,
            data_centre,
            executor_id,
            service=service,
        )
        self.executors[executor_id] = Executor()
        return self.executors[executor_id]

    def at(self, delay_s: float, action: Callable[[], None]) -> None:
        """Runs an action after a delay."""
        due = self.now + max(0.0, delay_s)
        heapq.heappush(self.queue, (due, next(self.sequence), action))

    def run(self, duration_s: float) -> None:
        """Advances virtual time; observers run after each event."""
        end = self.now + duration_s
        while self.queue and self.queue[0][0] <= end:
            self.step()
        self.now = end

    def step(self) -> bool:
        """Runs the next action and the observers; tells if there was one."""
        if not self.queue:
            return False
        self.now, _, action = heapq.heappop(self.queue)
        action()
        for observe in self.observers:
            observe(self)
        return True

    def run_until(self, check: Callable[[], bool], limit_s: float) -> bool:
        """Advances until a check holds; tells whether it did in time."""
        end = self.now + limit_s
        while self.now < end:
            if check():
                return True
            self.run(0.1)
        return check()

    def feed(self, node: Node, event: messages.Event) -> None:
        """Hands an event to an instance and performs its effects."""
        if not node.alive:
            return
        if self.now < node.paused_until:
            node.held.append(event)
            return
        self.history.append((self.now, node.state.identity.instance_id, event))
        for effect in instance.handle(event, node.state, self.now):
            perform(effect, node, self)

    def pause(self, node_id: str, duration_s: float) -> None:
        """Freezes an instance; what arrives meanwhile waits."""
        node = self.nodes[node_id]
        node.paused_until = self.now + duration_s
        self.at(duration_s, lambda: self._wake(node))

    def _wake(self, node: Node) -> None:
        held, node.held = node.held, []
        for event in held:
            self.feed(node, event)

    def kill(self, node_id: str) -> None:
        """Ends an instance without notice."""
        self.nodes[node_id].alive = False

    def call_operator(
        self, node_id: str, command: operator_messages.Command
    ) -> str:
        """Sends an operator's command; returns the call id."""
        call_id = f"call-{next(self.sequence)}"
        event = operator_messages.OperatorCalled(call_id, command)
        self.feed(self.nodes[node_id], event)
        return call_id

    def is_cut(self, one: str, other: str) -> bool:
        """Tells whether nothing arrives between two ids."""
        return frozenset((one, other)) in self.faults.cut

    def cut_all(self, ids: list[str], others: list[str]) -> None:
        """Cuts every pair of the two groups."""
        self.faults.cut |= {
            frozenset((one, other)) for one in ids for other in others
        }

    def draw_delay(self) -> float:
        """Returns the delay of one message, in seconds."""
        factor = 1 + self.rng.random()
        extra = self.rng.random() * self.faults.extra_delay_s
        return LINK_DELAY_S * factor + extra

    def is_lost(self) -> bool:
        """Draws whether one message is lost."""
        return self.rng.random() < self.faults.loss


@functools.singledispatch
def perform(effect: messages.Effect, node: Node, world: World) -> None:
    """Performs one effect of the core."""
    raise NotImplementedError(type(effect).__name__)


@perform.register
def _(effect: messages.StartTimer, node: Node, world: World) -> None:
    factor = 1 + effect.jitter * world.rng.uniform(-1, 1)
    event = messages.TimerFired(effect.timer)
    world.at(effect.delay_s * factor, lambda: world.feed(node, event))


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
    failed = world.faults.store_down or world.is_cut(node_id, STORE)
    event: messages.Event = membership.InstancesUnread()
    if not failed:
        event = membership.InstancesListed(tuple(world.listings.values()))
    world.at(STORE_DELAY_S, lambda: world.feed(node, event))


@perform.register
def _(effect: peer_messages.ConnectPeers, node: Node, world: World) -> None:
    """Links need no set-up here."""


@perform.register
def _(effect: peer_messages.SendPeer, node: Node, world: World) -> None:
    own_id = node.state.identity.instance_id
    if world.is_cut(own_id, effect.peer_id) or world.is_lost():
        return
    event = peer_messages.PeerReceived(own_id, effect.message)

    def deliver() -> None:
        if effect.peer_id in world.nodes:
            world.feed(world.nodes[effect.peer_id], event)

    world.counts["peer messages"] += 1
    world.at(world.draw_delay(), deliver)


@perform.register
def _(
    effect: operator_messages.AnswerOperator, node: Node, world: World
) -> None:
    world.results[effect.call_id] = effect.result


@perform.register
def _(effect: request_messages.AnswerCaller, node: Node, world: World) -> None:
    world.answers[effect.request_id].append(effect.outcome)

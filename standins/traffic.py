"""Callers of a simulated deployment, their requests and the outcomes."""

from __future__ import annotations

import random

import attrs

from sapphirestall_core import configuration
from sapphirestall_core import outcomes
from sapphirestall_core import request_messages
from standins import virtual
from standins import world as world_module

SERVICE = "rota"
DATA_CENTRES = ("sefrou", "imouzzer", "el-hajeb")
SETTLE_S = 6.0
CONFIGURATION = {
    "services": {
        SERVICE: {
            "operations": {
                "compute": {"repeatable": True, "request_class": "urgent"},
                "report": {"repeatable": True, "request_class": "bulk"},
                "assign": {"repeatable": False, "request_class": "urgent"},
            }
        }
    },
    "request_classes": {
        "urgent": {"floor": 0.5},
        "bulk": {"floor": 0.2, "weight": 4.0},
    },
}


@attrs.define
class Call:
    """A request of a caller.

    Attributes:
        request_id: Its id.
        entry_id: Entry instance to which it was sent.
        operation: Operation of the service.
        key: Idempotency key; empty if there is none.
        sent_at: Virtual time of the request, in seconds.
        outcome: First outcome that the caller got, if any.
        answered_at: Virtual time of the outcome, in seconds.
        answers: Number of outcomes that the caller got.
    """

    request_id: str
    entry_id: str
    operation: str
    key: str
    sent_at: float
    outcome: outcomes.Outcome | None = None
    answered_at: float = 0.0
    answers: int = 0

    @property
    def code(self) -> str:
        """Reason code of the outcome, `answered`, or `none` without outcome."""
        if self.outcome is None:
            return "none"
        return str(getattr(self.outcome, "code", "answered"))


@attrs.define
class Traffic:
    """Requests to the entry instances of a simulation.

    Attributes:
        world: The simulation.
        calls: Requests by id.
    """

    world: world_module.World
    calls: dict[str, Call] = attrs.field(factory=dict)

    def __attrs_post_init__(self) -> None:
        """Registers an observer that records the outcomes."""
        self.world.observers.append(self._observe)

    def _observe(self, world: world_module.World) -> None:
        for request_id, answers in world.answers.items():
            call = self.calls[request_id]
            call.answers += len(answers)
            call.outcome = call.outcome or answers[0]
            call.answered_at = call.answered_at or world.now
        world.answers.clear()

    def send(
        self,
        entry_id: str,
        operation: str,
        key: str = "",
        body: bytes = b"gate 3",
        deadline_s: float = 1.0,
    ) -> Call:
        """Sends a request now."""
        now = self.world.now
        call = Call(f"r{len(self.calls)}", entry_id, operation, key, now)
        self.calls[call.request_id] = call
        event = request_messages.RequestArrived(
            call.request_id, SERVICE, operation, key, now + deadline_s, body
        )
        self.world.deliver(self.world.nodes[entry_id], event)
        self._observe(self.world)
        return call

    def schedule_load(
        self,
        operation: str,
        rate: float,
        duration_s: float,
        entries: list[str] | None = None,
        deadline_s: float = 1.0,
    ) -> None:
        """Schedules requests at random times, each with its own key.

        Args:
            operation: Operation of the requests.
            rate: Mean number of requests in a second.
            duration_s: Time from now within which they are sent, in seconds.
            entries: Entry instances that get them; all if None.
            deadline_s: Time until the deadline of each request, in seconds.
        """
        rng = random.Random(f"{self.world.seed} {operation}")
        chosen = entries or list(self.world.nodes)
        at_s = rng.expovariate(rate)
        while at_s < duration_s:
            entry_id = rng.choice(chosen)
            self.world.schedule(
                at_s,
                lambda entry_id=entry_id: self.send(  # type: ignore[misc]
                    entry_id,
                    operation,
                    f"{operation}-{len(self.calls)}",
                    deadline_s=deadline_s,
                ),
            )
            at_s += rng.expovariate(rate)

    def count_runs(self, call: Call) -> int:
        """Returns the number of times that executors ran a request."""
        return sum(
            len(executor.runs.get(call.request_id, ()))
            for executor in self.world.executors.values()
        )

    def find(self, operation: str = "", code: str = "") -> list[Call]:
        """Returns the calls of an operation with a code; empty matches any."""
        return [
            call
            for call in self.calls.values()
            if (not operation or call.operation == operation)
            and (not code or call.code == code)
        ]


def deploy(
    seed: int,
    entries: int = 8,
    executors: int = 24,
    data_centres: tuple[str, ...] = DATA_CENTRES,
    body: dict[str, object] | None = None,
) -> Traffic:
    """Returns the traffic of a new deployment whose configuration is in force.

    Args:
        seed: Seed of the simulation.
        entries: Number of entry instances.
        executors: Number of executors.
        data_centres: Data centres over which the instances are distributed.
        body: Body of the configuration; `CONFIGURATION` if None.
    """
    world = virtual.make_world(seed)
    for index in range(executors):
        data_centre = data_centres[index % len(data_centres)]
        world.add_executor(f"executor-{index:02}", data_centre, SERVICE)
    for index in range(entries):
        data_centre = data_centres[index % len(data_centres)]
        world.add_entry(f"entry-{index}", data_centre)
    document = configuration.Document(1, body or CONFIGURATION)
    world.store.put("configuration", document, 0, None)
    world.run(SETTLE_S)
    return Traffic(world)

"""Which worker takes which task."""

import functools

import attrs

from sapphirestall_core import interference
from sapphirestall_core import policy
from sapphirestall_core import resources
from sapphirestall_core import views

# Urgent work that adds no more pressure than this starts even beside a service
# at its limit; the controller then takes the room from other work.
MAX_URGENT_ADDED_PRESSURE = 0.1
# Pressure up to which urgent work starts at all. What an unknown kind adds is
# overestimated, and a wait for a quieter worker took up to 10 s in the bench.
MAX_URGENT_PRESSURE = 1.5


@attrs.frozen
class Demand:
    """What one task needs.

    Attributes:
        reserved: Declared size or, if larger, the learned one.
        predicted_cpu: Processors that the task is expected to use.
    """

    kind: str
    team: str
    urgency: int
    reserved: resources.Vector
    predicted_cpu: float


@attrs.frozen
class Decision:
    """Outcome of a search for a worker."""


@attrs.frozen
class Chosen(Decision):
    """The worker that takes the task."""

    worker_id: str


@attrs.frozen
class NotPlaced(Decision):
    """No worker takes the task now.

    Attributes:
        reason: `no_room`, `slowdown`, `probation`, `quota` or `floor`.
    """

    reason: str


@attrs.frozen
class Inputs:
    """What a strategy may take into account."""

    estimator: interference.Estimator
    rules: policy.Policy


@attrs.frozen
class Strategy:
    """A way to choose a worker among those with room."""


@attrs.frozen
class LeastSlowdown(Strategy):
    """Least predicted slowdown, within the limits of the services."""


@functools.singledispatch
def choose(
    strategy: Strategy,
    demand: Demand,
    candidates: list[views.WorkerView],
    inputs: Inputs,
    now: float,
) -> Decision:
    """Returns one of the candidates, all of which have room."""
    raise NotImplementedError(type(strategy).__name__)


@choose.register
def _(
    strategy: LeastSlowdown,
    demand: Demand,
    candidates: list[views.WorkerView],
    inputs: Inputs,
    now: float,
) -> Decision:
    best, least = "", float("inf")
    for view in candidates:
        cost = compute_cost(demand, view, inputs, now)
        if cost is not None and cost < least:
            best, least = view.worker_id, cost
    return Chosen(best) if best else NotPlaced("slowdown")


def compute_cost(
    demand: Demand, view: views.WorkerView, inputs: Inputs, now: float
) -> float | None:
    """Returns the cost of a placement, or None if it breaks a limit.

    Pressure is the predicted excess slowdown over the accepted one. Its square
    makes the cost of more load rise with the load that is there. Urgent work
    may exceed the limit, other work may use only `Sharing.margin` of it.
    """
    sharing = inputs.rules.sharing
    urgent = demand.urgency >= sharing.urgent_from
    limit = MAX_URGENT_PRESSURE if urgent else sharing.margin
    tolerance = MAX_URGENT_ADDED_PRESSURE if urgent else 0.0
    cost = 0.0
    for service in view.services:
        before, added = predict_pressure(
            service.service, demand, view, inputs, now
        )
        if before + added > limit and added > tolerance:
            return None
        cost += added * (2.0 * before + added)
    free = view.ledger.compute_free().cpu_millis - demand.reserved.cpu_millis
    unused = free / max(1, view.ledger.capacity.cpu_millis)
    weights = sharing.weights
    return weights.slowdown * cost + weights.packing * unused


def predict_pressure(
    service: str,
    demand: Demand,
    view: views.WorkerView,
    inputs: Inputs,
    now: float,
) -> tuple[float, float]:
    """Returns the pressure on a service without a task, and what it adds."""
    accepted = get_accepted_excess(inputs.rules, service)
    correction = view.history.get_correction(service)
    present = view.predict_excess(service, inputs.estimator, now)
    added = (
        inputs.estimator.estimate_upper(service, demand.kind, now)
        * demand.predicted_cpu
    )
    return correction * present / accepted, max(
        1.0, correction
    ) * added / accepted


def get_accepted_excess(rules: policy.Policy, service: str) -> float:
    """Returns the excess slowdown that a service accepts."""
    service_policy = rules.services.get(service)
    limit = (
        service_policy.slowdown_limit
        if service_policy
        else policy.DEFAULT_SLOWDOWN_LIMIT
    )
    return max(1e-6, limit - 1.0)

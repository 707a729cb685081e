"""Choice of a worker for a task."""

import functools

import attrs

from sapphirestall_core import interference
from sapphirestall_core import policy
from sapphirestall_core import resources
from sapphirestall_core import views

# Urgent work that adds no more pressure than this starts even beside a service
# at its limit; the controller then throttles or evicts other work.
MAX_URGENT_ADDED_PRESSURE = 0.1
# Pressure up to which urgent work that adds more may start. The effect of an
# unknown kind is overestimated, and a wait for a worker with less pressure took
# up to 10 s in the bench.
MAX_URGENT_PRESSURE = 1.5


@attrs.frozen
class Demand:
    """Demand of one task.

    Attributes:
        kind: Kind of work.
        team: Team whose quota the task uses.
        urgency: Urgency of its job.
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
    """Base of the outcomes of a search for a worker."""


@attrs.frozen
class Chosen(Decision):
    """The task is to start on this worker."""

    worker_id: str


@attrs.frozen
class NotPlaced(Decision):
    """The task can start on no worker now.

    Attributes:
        reason: Reason code: `no_room`, `slowdown`, `probation`, `quota` or
            `floor`.
    """

    reason: str


@attrs.frozen
class Inputs:
    """Inputs of a strategy besides the demand and the workers."""

    estimator: interference.Estimator
    rules: policy.Policy


@attrs.frozen
class Strategy:
    """Base of the ways to choose among the workers on which a task fits."""


@attrs.frozen
class LeastSlowdown(Strategy):
    """Chooses the least predicted slowdown within the services' limits."""


@functools.singledispatch
def choose(
    strategy: Strategy,
    demand: Demand,
    candidates: list[views.WorkerView],
    inputs: Inputs,
    now: float,
) -> Decision:
    """Chooses one of the candidates, on all of which the task fits."""
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
    """Returns the cost of a placement, or None if it exceeds a limit.

    Pressure is the predicted excess slowdown divided by the accepted one. The
    cost is the increase of its square, so that it rises with the pressure that
    is already there. The fraction of the worker's processors that stays
    unreserved is added with its weight, which favours full workers. Urgent work
    may exceed the limit; other work may use only the share `Sharing.margin` of
    it.
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
    """Returns the pressure on a service, and what a task would add to it."""
    accepted = get_accepted_excess(inputs.rules, service)
    correction = view.history.get_correction(service)
    excess = view.predict_excess(service, inputs.estimator, now)
    added = (
        inputs.estimator.estimate_upper(service, demand.kind, now)
        * demand.predicted_cpu
    )
    return correction * excess / accepted, max(
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

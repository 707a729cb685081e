"""Admission by class: floors, weights, queue limits (docs/design.md, 4.11)."""

from __future__ import annotations

from collections.abc import Callable

from sapphirestall_core import policy
from sapphirestall_core import requests_state

# Weight of one sample in the smoothed run time of an operation.
ESTIMATE_SMOOTHING = 0.1
# Without samples an estimate halves in this time; otherwise a slow spell could
# raise it so far that every request is shed and no sample ever corrects it.
ESTIMATE_HALF_LIFE_S = 1.0
DEFAULT_CLASS = policy.RequestClass()

Classes = dict[str, policy.RequestClass]


def find_queue(
    service: requests_state.Service, request: requests_state.Request
) -> requests_state.ClassQueue:
    """Returns the queue of a request's class."""
    name = request.operation.request_class
    return service.classes.setdefault(name, requests_state.ClassQueue())


def estimate_run_time(
    service: requests_state.Service, operation: str, now: float
) -> float:
    """Returns the usual run time of an operation, in seconds; 0 if unknown."""
    found = service.estimates.get(operation)
    if found is None:
        return 0.0
    age_s = now - found.updated_at
    return float(found.value_s * 0.5 ** (age_s / ESTIMATE_HALF_LIFE_S))


def record_run_time(
    service: requests_state.Service, operation: str, run_s: float, now: float
) -> None:
    """Takes the run time of a successful attempt into the estimate."""
    found = service.estimates.get(operation)
    if found is None:
        service.estimates[operation] = requests_state.RunTimeEstimate(
            run_s, now
        )
        return
    found.value_s += ESTIMATE_SMOOTHING * (run_s - found.value_s)
    found.updated_at = now


def enqueue(
    request: requests_state.Request,
    service: requests_state.Service,
    classes: Classes,
) -> requests_state.Request | None:
    """Adds a request to its queue.

    Returns:
        The request that has to be shed because the queue is full: the oldest
        one, since newer ones have more time left.
    """
    queue = find_queue(service, request)
    subqueue = (
        queue.waiting if request.operation.repeatable else queue.unclaimed
    )
    subqueue[request.arrival.request_id] = request
    limit = classes.get(
        request.operation.request_class, DEFAULT_CLASS
    ).queue_limit
    if len(queue.waiting) + len(queue.unclaimed) <= limit:
        return None
    return _pop(queue, [queue.waiting, queue.unclaimed], newest=False)


def remove(
    request: requests_state.Request, service: requests_state.Service
) -> None:
    """Removes a request from every lane of its queue."""
    queue = find_queue(service, request)
    for subqueue in (queue.waiting, queue.unclaimed, queue.ready):
        subqueue.pop(request.arrival.request_id, None)


def count_waiting(service: requests_state.Service) -> int:
    """Returns how many requests wait for a claim or a slot."""
    return sum(
        len(queue.waiting) + len(queue.unclaimed) + len(queue.ready)
        for queue in service.classes.values()
    )


def pick_sendable(
    service: requests_state.Service, classes: Classes, capacity: int
) -> requests_state.Request | None:
    """Removes and returns the request that gets the next slot."""
    queue = _choose_class(
        service,
        classes,
        capacity,
        lambda queue: bool(queue.ready or queue.waiting),
        lambda queue: queue.in_use,
    )
    if queue is None:
        return None
    if queue.ready:
        return _pop(queue, [queue.ready], newest=False)
    return _pop(
        queue, [queue.waiting], newest=_exceeds_capacity(queue, capacity)
    )


def pick_claimable(
    service: requests_state.Service, classes: Classes, capacity: int
) -> requests_state.Request | None:
    """Removes and returns the request whose key is claimed next.

    Claims hold no slot, so that a slow store takes none from other requests.
    At most as many claims as slots are made ahead, so that few claimed
    requests have to be released in overload.
    """
    queue = _choose_class(
        service,
        classes,
        capacity,
        lambda queue: (
            bool(queue.unclaimed)
            and queue.claiming + len(queue.ready) < capacity
        ),
        lambda queue: queue.claiming + len(queue.ready),
    )
    if queue is None:
        return None
    return _pop(
        queue, [queue.unclaimed], newest=_exceeds_capacity(queue, capacity)
    )


def _exceeds_capacity(queue: requests_state.ClassQueue, capacity: int) -> bool:
    """Tells whether more requests wait than there are slots."""
    return len(queue.waiting) + len(queue.unclaimed) > capacity


def _choose_class(
    service: requests_state.Service,
    classes: Classes,
    capacity: int,
    has_demand: Callable[[requests_state.ClassQueue], bool],
    count: Callable[[requests_state.ClassQueue], int],
) -> requests_state.ClassQueue | None:
    """Returns the class below its floor, or the least used by weight."""

    def rank(name: str) -> tuple[bool, float, str]:
        rules = classes.get(name, DEFAULT_CLASS)
        used = count(service.classes[name])
        floor = rules.floor * capacity
        if used < floor:
            return (False, used / floor, name)
        return (True, (used - floor) / max(rules.weight, 1e-9), name)

    names = [n for n, queue in service.classes.items() if has_demand(queue)]
    return service.classes[min(names, key=rank)] if names else None


def _pop(
    queue: requests_state.ClassQueue,
    subqueues: list[dict[str, requests_state.Request]],
    *,
    newest: bool,
) -> requests_state.Request:
    """Removes the newest or the oldest request of some lanes."""
    ends = [
        subqueue[next(reversed(subqueue)) if newest else next(iter(subqueue))]
        for subqueue in subqueues
        if subqueue
    ]
    choose = max if newest else min
    found = choose(ends, key=lambda request: request.sequence)
    for subqueue in subqueues:
        subqueue.pop(found.arrival.request_id, None)
    return found

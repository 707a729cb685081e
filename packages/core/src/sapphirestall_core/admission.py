"""Queues of request classes and the choice of the next request.

A class first gets the slots of its floor; the rest is divided by weight. See
docs/design.md, section 4.11.
"""

from __future__ import annotations

from collections.abc import Callable

from sapphirestall_core import policy
from sapphirestall_core import requests_state

# Weight of a new sample in the moving average of an operation's run time.
ESTIMATE_SMOOTHING = 0.1
# Time in which an estimate halves if there are no samples. Without the decay, a
# slow phase could raise the estimate so far that every request is shed and no
# sample ever lowers it.
ESTIMATE_HALF_LIFE_S = 1.0
DEFAULT_CLASS = policy.RequestClass()

Classes = dict[str, policy.RequestClass]


def find_queue(
    service: requests_state.Service, request: requests_state.Request
) -> requests_state.ClassQueue:
    """Returns the queue of a request's class, creating it if needed."""
    name = request.operation.request_class
    return service.classes.setdefault(name, requests_state.ClassQueue())


def estimate_run_time(
    service: requests_state.Service, operation: str, now: float
) -> float:
    """Estimates the run time of an operation.

    Returns:
        The run time in seconds; 0 if no attempt has succeeded yet.
    """
    found = service.estimates.get(operation)
    if found is None:
        return 0.0
    age_s = now - found.updated_at
    return float(found.value_s * 0.5 ** (age_s / ESTIMATE_HALF_LIFE_S))


def record_run_time(
    service: requests_state.Service, operation: str, run_s: float, now: float
) -> None:
    """Updates the estimate with the run time of a successful attempt."""
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
    """Adds a new request to the queue of its class.

    Returns:
        The oldest request of the queue if the queue is now too long, else
        None. The caller has to shed it. The oldest one is chosen because newer
        requests have more time left before their deadline.
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
    """Removes a request from the queue of its class, if it is there."""
    queue = find_queue(service, request)
    for subqueue in (queue.waiting, queue.unclaimed, queue.ready):
        subqueue.pop(request.arrival.request_id, None)


def count_waiting(service: requests_state.Service) -> int:
    """Returns the number of a service's requests that wait for claim or slot.

    Requests whose claim is being written are not counted.
    """
    return sum(
        len(queue.waiting) + len(queue.unclaimed) + len(queue.ready)
        for queue in service.classes.values()
    )


def pick_sendable(
    service: requests_state.Service, classes: Classes, capacity: int
) -> requests_state.Request | None:
    """Removes and returns the request that gets the next slot.

    Claimed requests and retries come first, oldest first. Of the others, the
    newest comes first in overload, so that answers are given in time to some
    callers instead of too late to all.

    Args:
        service: Queues of the service.
        classes: Floor, weight and limit of each class.
        capacity: Number of slots that this instance may use for the service.

    Returns:
        The request, or None if none can be sent.
    """
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

    A request occupies no slot while it is claimed, so that a slow store takes
    no slots from other requests. For each class, the number of requests that
    are being claimed or wait with a claim is limited to the number of slots,
    so that few claims have to be released again in overload.

    Args:
        service: Queues of the service.
        classes: Floor, weight and limit of each class.
        capacity: Number of slots that this instance may use for the service.

    Returns:
        The request, or None if no claim is to be started.
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
    """Returns whether a class has more queued requests than there are slots."""
    return len(queue.waiting) + len(queue.unclaimed) > capacity


def _choose_class(
    service: requests_state.Service,
    classes: Classes,
    capacity: int,
    has_demand: Callable[[requests_state.ClassQueue], bool],
    count: Callable[[requests_state.ClassQueue], int],
) -> requests_state.ClassQueue | None:
    """Returns the queue of the class that is served next.

    Classes that use less than their floor come first, then the class with the
    lowest use beyond its floor, relative to its weight.

    Args:
        service: Queues of the service.
        classes: Floor and weight of each class.
        capacity: Number of slots, of which a floor is a fraction.
        has_demand: Returns whether a queue has a request to pick.
        count: Returns the use of a class, in slots.

    Returns:
        The queue, or None if no class has demand.
    """

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
    """Removes and returns the newest or the oldest of the given requests.

    At least one of the dictionaries must not be empty.
    """
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

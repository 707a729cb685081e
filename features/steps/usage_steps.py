"""Steps for usage.feature."""

import behave

from sapphirestall_core import resources
from sapphirestall_core import usage


@behave.given(
    "learned usage of {count:d} tasks that use {used:d} millicores each"
)
def step(context, count, used):
    context.usage = usage.Usage()
    for index in range(count):
        spread = 1 + 0.1 * (index % 3 - 1)
        measured = resources.Vector(round(used * spread), 100)
        context.usage.record_use("scan", measured)


@behave.then(
    "a task that declares {declared:d} millicores reserves about {expected:d}"
)
def step(context, declared, expected):
    found = context.usage.compute_reservation(
        "scan",
        resources.Vector(declared, 100),
        resources.Vector(32_000, 125_000),
    )
    assert declared <= found.cpu_millis
    assert abs(found.cpu_millis - expected) <= expected * 0.1, found

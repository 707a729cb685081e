"""Steps for interference.feature."""

import random

import behave

from sapphirestall_core import interference

LAG_S = 2.0


def learn_measurements(context, count):
    pairs = {row["kind"]: float(row["true"]) for row in context.table}
    rng = random.Random(7)
    for _ in range(count):
        context.now += LAG_S
        loads = {kind: float(rng.randrange(0, 6)) for kind in pairs}
        excess = sum(loads[kind] * true for kind, true in pairs.items())
        slowdown = 1.0 + excess * rng.gauss(1.0, 0.1)
        context.estimator.learn("rota", loads, slowdown, context.now)


@behave.given("a slowdown estimator that saw {count:d} noisy measurements of")
def step(context, count):
    context.estimator = interference.Estimator()
    context.now = 1000.0
    learn_measurements(context, count)


@behave.when("it sees {count:d} noisy measurements of")
def step(context, count):
    learn_measurements(context, count)


@behave.then(
    "the estimated coefficient of {kind} is within {part:d}% of {true:f}"
)
def step(context, kind, part, true):
    found = context.estimator.fits["rota"].coefficients[kind]
    assert abs(found - true) <= true * part / 100, found


@behave.then(
    "it predicts more for {cores:d} processors of an unknown kind than of"
    " {kind}"
)
def step(context, cores, kind):
    now = context.now
    unknown = context.estimator.predict_upper("rota", {"unknown": cores}, now)
    known = context.estimator.predict_upper("rota", {kind: cores}, now)
    assert unknown > 2 * known, (unknown, known)


@behave.given(
    "a load history with {before:d} processors at {first:d} s and {after:d}"
    " processors at {second:d} s"
)
def step(context, before, first, after, second):
    context.estimator = interference.Estimator()
    context.history = interference.LoadHistory()
    context.history.record(first, {"scan": before} if before else {})
    context.history.record(second, {"scan": after})


@behave.when("a slowdown of {slowdown:f} measured at {at:d} s is recorded")
def step(context, slowdown, at):
    context.measurement = ("rota", slowdown, at, -1.0, 21.0)
    assert interference.record_measurement(
        context.estimator, context.history, *context.measurement
    )


@behave.then("the history shows no load at the time of that measurement")
def step(context):
    assert context.history.find_loads(context.measurement[2]) == {}
    assert "rota" not in context.estimator.fits


@behave.then("the same measurement is not recorded twice")
def step(context):
    assert not interference.record_measurement(
        context.estimator, context.history, *context.measurement
    )


@behave.then(
    "after an action at {at:d} s that measurement belongs to the later load"
)
def step(context, at):
    found = context.history.find_loads(context.measurement[2], float(at))
    assert found == {"scan": 8}, found

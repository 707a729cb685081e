"""How much tasks that fill raise the tail latency of tasks that serve.

The tail of a serving task behaves like that of a queue: it is inversely
proportional to the capacity that its load leaves. The headroom of a task, its
target divided by its tail, therefore falls linearly with all that loads it:
its own users, which vary within seconds, and the work that fills beside it, by
the harm of the pair of images times the share of the worker's processors that
the image uses. An image may harm some serving images and leave others as they
are. Headrooms and harms are learned from the listings, which are rough and lag
by about half a second; both are kept with their variance, as a Kalman filter
does.
"""

from __future__ import annotations

from collections.abc import Mapping
from typing import TYPE_CHECKING

import attrs

from sapphirestall_core.batch import trends

if TYPE_CHECKING:
    from sapphirestall_core.batch import state

# Harm of a pair of which nothing is known, and its variance.
FIRST_HARM = 4.0
FIRST_VARIANCE = 36.0
HIGHEST_HARM = 40.0
# A pair below this is harmless: it is neither paced nor kept apart.
HARMLESS = 1.5
# Headroom of a serving task without disturbance, before the first listing.
FIRST_HEADROOM = 2.0
FIRST_HEADROOM_VARIANCE = 0.8
FIRST_SLOPE_VARIANCE = 0.3
# Headroom of an image without load, before a higher one was seen.
FIRST_IDLE_HEADROOM = 4.0
# Share of their processors that serving tasks use at least.
LEAST_LOAD = 0.1
# Variance by which the slope of a headroom changes in a second, as the load
# varies.
LOAD_ACCELERATION = 0.4
# The headroom of serving tasks must last this long for a start, in seconds.
PLACEMENT_AHEAD_S = 1.0
# A harm below this is taken as this, as it is not known more exactly.
LEAST_HARM = 0.3
# An order shows its effect after this time, in seconds.
AHEAD_S = 0.6
# Growth of the variance of a harm with each observation.
HARM_VARIANCE_STEP = 0.05
# Error of a reading of the headroom, and of a loss that is computed from
# readings of the processors in use, as shares of their values.
READING_ERROR = 0.07
LOSS_ERROR = 0.2
# Headroom that is kept: a tail of five sixths of its target.
KEPT_HEADROOM = 1.2
# Below this headroom a queue grows: its tail stays high for seconds after the
# cause is gone, so nothing is learned until it has been above the next bound.
OVERLOADED = 0.5
RECOVERED = 1.2
# Listings that follow closer than this, in seconds, show the same readings.
LEARN_INTERVAL_S = 0.25
# Below this share of the processors an observation says nothing of an image.
LEAST_SHARE = 0.004


@attrs.frozen(slots=True, cache_hash=True)
class Pair:
    """An image that serves and one that fills beside it."""

    serving: str
    filling: str


@attrs.frozen(slots=True)
class Estimate:
    """A harm with the variance of its error."""

    value: float
    variance: float


UNKNOWN_HARM = Estimate(FIRST_HARM, FIRST_VARIANCE)


@attrs.define(slots=True)
class Harm:
    """What an instance has learned.

    Attributes:
        idle: Headroom that each serving image has without load.
        harms: Loss of headroom by pair of images, when the one that fills uses
            all processors of a worker.
    """

    idle: dict[str, float] = attrs.field(factory=dict)
    harms: dict[Pair, Estimate] = attrs.field(factory=dict)

    def get_harm(self, serving: str, filling: str) -> float:
        """Returns the learned harm of a pair of images."""
        return self.harms.get(Pair(serving, filling), UNKNOWN_HARM).value

    def find_harm(self, worker: state.Worker, filling: str) -> float:
        """Returns the highest harm that an image does on a worker."""
        return max(
            (
                self.get_harm(step.image, filling)
                for step in (run.task.step for run in worker.runs.values())
                if step.tail_target_ms
            ),
            default=0.0,
        )

    def learn(self, worker: state.Worker, now: float) -> None:
        """Takes the readings of a worker's newest listing."""
        if now - worker.learned_at < LEARN_INTERVAL_S:
            return
        worker.learned_at = now
        shares = list_shares(worker)
        for runs in group_serving(worker):
            target_ms = runs[0].task.step.tail_target_ms
            readings = [run.reading for run in runs if run.reading > 0]
            if readings:
                observed = target_ms * len(readings) / sum(readings)
                self._learn_step(runs, observed, shares, now)

    def _learn_step(
        self,
        runs: list[state.Run],
        observed: float,
        shares: Mapping[str, float],
        now: float,
    ) -> None:
        """Corrects the headroom of a step and the harms by one observation.

        Args:
            runs: Runs of the step on one worker; they share their load.
            observed: Headroom that they have.
            shares: Processors in use beside them, by image.
            now: Time of the listing.
        """
        was_overloaded = runs[0].overloaded
        for run in runs:
            run.overloaded = observed < (
                RECOVERED if was_overloaded else OVERLOADED
            )
        if was_overloaded:
            return
        step = find_step(runs[0])
        own = expect_headroom(step, now)
        known = {
            image: self.harms.get(Pair(step.step.image, image), UNKNOWN_HARM)
            for image in shares
        }
        loss = sum(
            known[image].value * share for image, share in shares.items()
        )
        variance = own.variance
        variance += (READING_ERROR * observed) ** 2 + (LOSS_ERROR * loss) ** 2
        for image, share in shares.items():
            variance += share * share * known[image].variance
        error = observed - (own.value - loss)
        for image, share in shares.items():
            old = known[image]
            gain = -share * old.variance / variance
            value = min(HIGHEST_HARM, max(0.0, old.value + gain * error))
            rest = old.variance * (1 + gain * share) + HARM_VARIANCE_STEP
            self.harms[Pair(step.step.image, image)] = Estimate(value, rest)
        step.headroom = trends.correct(own, error, variance)
        step.headroom_at = now
        idle = self.idle.get(step.step.image, FIRST_IDLE_HEADROOM)
        self.idle[step.step.image] = max(idle, step.headroom.value)

    def find_budgets(
        self, worker: state.Worker, now: float, ahead_s: float
    ) -> dict[str, float]:
        """Returns the headroom that may be lost, by serving image.

        Args:
            worker: The worker.
            now: Time at which it is asked.
            ahead_s: Time for which the headroom has to last, in seconds.
        """
        budgets: dict[str, float] = {}
        for runs in group_serving(worker):
            own = expect_headroom(find_step(runs[0]), now)
            value = own.value + min(0.0, own.slope) * ahead_s
            budget = max(0.0, value - KEPT_HEADROOM)
            image = runs[0].task.step.image
            budgets[image] = min(budget, budgets.get(image, budget))
        return budgets

    def find_serving_load(self, worker: state.Worker, now: float) -> float:
        """Returns the share of their processors that serving runs use."""
        used = 0.0
        asked = 0
        for runs in group_serving(worker):
            step = find_step(runs[0])
            idle = self.idle.get(step.step.image, FIRST_IDLE_HEADROOM)
            own = expect_headroom(step, now)
            value = own.value + min(0.0, own.slope) * AHEAD_S
            load = min(1.0, max(LEAST_LOAD, 1 - value / idle))
            cpu_millis = len(runs) * step.step.amount.cpu_millis
            asked += cpu_millis
            used += load * cpu_millis
        return used / asked if asked else 0.0

    def predict(self, worker: state.Worker, serving: str) -> dict[str, float]:
        """Returns the headroom that each image costs at full pace."""
        capacity = max(1, worker.entry.capacity.cpu_millis)
        losses: dict[str, float] = {}
        for run in worker.runs.values():
            step = run.task.step
            if not step.fills:
                continue
            harm = self.get_harm(serving, step.image)
            loss = harm * step.amount.cpu_millis / capacity
            losses[step.image] = losses.get(step.image, 0.0) + loss
        return losses

    def find_room(
        self, worker: state.Worker, budgets: dict[str, float], filling: str
    ) -> int:
        """Returns the processors that an image may use, in thousandths.

        Images that harm more leave their room to it, as they are paced first.

        Args:
            worker: The worker.
            budgets: Headroom that may be lost, by serving image.
            filling: The image.
        """
        share = 1.0
        for serving, budget in budgets.items():
            harm = max(self.get_harm(serving, filling), LEAST_HARM)
            taken = sum(
                loss
                for image, loss in self.predict(worker, serving).items()
                if self.get_harm(serving, image) <= harm
            )
            slack = max(0.0, budget * worker.trust - taken)
            share = min(share, slack / harm)
        return int(share * worker.entry.capacity.cpu_millis)


def find_step(run: state.Run) -> state.StepState:
    """Returns the step that a run belongs to."""
    return run.task.job.steps[run.task.name.step]


def expect_headroom(step: state.StepState, now: float) -> trends.Trend:
    """Returns the headroom that a step has without tasks that fill."""
    if step.headroom is None:
        return trends.start(
            FIRST_HEADROOM, FIRST_HEADROOM_VARIANCE, FIRST_SLOPE_VARIANCE
        )
    elapsed_s = max(0.0, now - step.headroom_at)
    return trends.advance(step.headroom, elapsed_s, LOAD_ACCELERATION)


def group_serving(worker: state.Worker) -> list[list[state.Run]]:
    """Returns the serving runs of a worker, grouped by step."""
    groups: dict[tuple[str, int], list[state.Run]] = {}
    for run in worker.runs.values():
        if run.task.step.tail_target_ms:
            key = (run.task.name.job_id, run.task.name.step)
            groups.setdefault(key, []).append(run)
    return list(groups.values())


def list_shares(worker: state.Worker) -> dict[str, float]:
    """Returns the processors in use by images that fill, as shares."""
    capacity = max(1, worker.entry.capacity.cpu_millis)
    used: dict[str, float] = {}
    for run in worker.runs.values():
        if run.task.step.fills and run.reading > 0:
            image = run.task.step.image
            used[image] = used.get(image, 0.0) + run.reading
    return {
        image: amount / capacity
        for image, amount in used.items()
        if amount / capacity >= LEAST_SHARE
    }

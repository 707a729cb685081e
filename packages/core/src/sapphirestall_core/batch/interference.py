"""How much tasks that fill raise the tail latency of tasks that serve.

The tail of a serving task behaves like that of a queue: it is inversely
proportional to the capacity that its load leaves. The headroom of a task, its
target divided by its tail, therefore falls linearly with all that loads it:
its own users, and the work that fills beside it, by the harm of the pair of
images times the share of the worker's processors that the image uses. An image
may harm some serving images and leave others as they are.

The tasks of a step have their users in common: their load rises and falls
together. So the load is followed for the step, which tells it from the harm on
single workers. Readings are rough and lag by about
half a second; loads and harms are kept with their variance, as a Kalman filter
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
INITIAL_INTERFERENCE = 4.0
INITIAL_VARIANCE = 36.0
MAX_INTERFERENCE = 40.0
# A pair below this is harmless: its image is not kept apart.
NEGLIGIBLE_INTERFERENCE = 1.5
# A harm below this is taken as this, as it is not known more exactly.
MIN_INTERFERENCE = 0.3
# Growth of the variance of a harm with each observation.
PROCESS_VARIANCE = 0.05
# Headroom of an image without load, before a higher one was seen.
INITIAL_IDLE_HEADROOM = 4.0
# Load of a step before its first listing, as the headroom that it costs.
INITIAL_LOAD = 2.0
INITIAL_LOAD_VARIANCE = 0.8
INITIAL_SLOPE_VARIANCE = 0.3
# Variance by which the slope of a load changes in a second.
LOAD_ACCELERATION_VARIANCE = 0.4
# Share of their processors that serving tasks use at least.
MIN_LOAD_SHARE = 0.1
# Error of a reading of the headroom, and of a loss that is computed from
# readings of the processors in use, as shares of their values.
READING_ERROR_SHARE = 0.07
LOSS_ERROR_SHARE = 0.2
# Headroom that is kept: a tail of five sixths of its target.
RESERVED_HEADROOM = 1.2
# Below this headroom a queue grows: its tail stays high for seconds after the
# cause is gone, so nothing is learned until it has been above the next bound.
OVERLOAD_HEADROOM = 0.5
RECOVERY_HEADROOM = 1.2
# An order shows its effect after this time, in seconds.
PACING_HORIZON_S = 0.6
# The headroom of serving tasks must last this long for a start, in seconds.
PLACEMENT_HORIZON_S = 1.0
# Listings that follow closer than this, in seconds, show the same readings.
MIN_LISTING_INTERVAL_S = 0.25
# Below this share of the processors an observation says nothing of an image.
MIN_CPU_SHARE = 0.004


@attrs.frozen(slots=True, cache_hash=True)
class ImagePair:
    """An image that serves and one that fills beside it."""

    serving: str
    opportunistic: str


@attrs.frozen(slots=True)
class Estimate:
    """A harm with the variance of its error."""

    value: float
    variance: float


DEFAULT_ESTIMATE = Estimate(INITIAL_INTERFERENCE, INITIAL_VARIANCE)


@attrs.define(slots=True)
class InterferenceModel:
    """What an instance has learned.

    Attributes:
        idle_headrooms: Headroom that each serving image has without load.
        estimates: Loss of headroom by pair of images, when the one that fills
            uses all processors of a worker.
    """

    idle_headrooms: dict[str, float] = attrs.field(factory=dict)
    estimates: dict[ImagePair, Estimate] = attrs.field(factory=dict)

    def get_interference(self, serving: str, opportunistic: str) -> float:
        """Returns the learned harm of a pair of images."""
        return self.estimates.get(
            ImagePair(serving, opportunistic), DEFAULT_ESTIMATE
        ).value

    def get_idle_headroom(self, serving: str) -> float:
        """Returns the headroom of a serving image without load."""
        return self.idle_headrooms.get(serving, INITIAL_IDLE_HEADROOM)

    def find_highest_interference(
        self, worker: state.Worker, opportunistic: str
    ) -> float:
        """Returns the highest harm that an image does on a worker."""
        return max(
            (
                self.get_interference(run.task.step.image, opportunistic)
                for run in list_serving_runs(worker)
            ),
            default=0.0,
        )

    def update(self, worker: state.Worker, now: float) -> None:
        """Takes the readings of a worker's newest listing."""
        if now - worker.measurements_learned_at < MIN_LISTING_INTERVAL_S:
            return
        worker.measurements_learned_at = now
        shares = find_cpu_shares(worker)
        for runs in group_serving_runs(worker):
            settled = [run for run in runs if _is_stable(run)]
            if settled:
                self._update_step(settled, shares, now)

    def _update_step(
        self, runs: list[state.Run], shares: Mapping[str, float], now: float
    ) -> None:
        """Corrects the load of a step and the harms by one listing.

        Args:
            runs: Runs of the step on one worker.
            shares: Processors in use beside them, by image.
            now: Time of the listing.
        """
        step = get_step(runs[0])
        serving = step.step.image
        headrooms = [step.step.tail_target_ms / run.measurement for run in runs]
        observed = sum(headrooms) / len(runs)
        load = predict_load(step, now)
        loss = sum(
            self.get_interference(serving, image) * share
            for image, share in shares.items()
        )
        variance = (READING_ERROR_SHARE * observed) ** 2 + (
            LOSS_ERROR_SHARE * loss
        ) ** 2
        variance += load.variance
        for image, share in shares.items():
            known = self.estimates.get(
                ImagePair(serving, image), DEFAULT_ESTIMATE
            )
            variance += share * share * known.variance
        error = observed - (self.get_idle_headroom(serving) - load.value - loss)
        self._update_estimates(serving, shares, error, variance)
        step.serving_load = trends.correct(load, error, variance, -1.0)
        step.load_corrected_at = now
        self.idle_headrooms[serving] = max(
            self.get_idle_headroom(serving), observed
        )

    def _update_estimates(
        self,
        serving: str,
        shares: Mapping[str, float],
        error: float,
        variance: float,
    ) -> None:
        """Corrects the harms to an image.

        Args:
            serving: The image.
            shares: Processors in use beside it, by image.
            error: Headroom observed less that expected.
            variance: Variance of the error.
        """
        for image, share in shares.items():
            old = self.estimates.get(
                ImagePair(serving, image), DEFAULT_ESTIMATE
            )
            gain = -share * old.variance / variance
            value = min(MAX_INTERFERENCE, max(0.0, old.value + gain * error))
            rest = old.variance * (1 + gain * share) + PROCESS_VARIANCE
            self.estimates[ImagePair(serving, image)] = Estimate(value, rest)

    def predict_headroom(
        self, run: state.Run, now: float, horizon_s: float
    ) -> float:
        """Returns the headroom of a run without tasks that fill beside it.

        Args:
            run: The run.
            now: Time at which it is asked.
            horizon_s: Time for which the headroom has to last, in seconds.
        """
        load = predict_load(get_step(run), now)
        most = load.value + max(0.0, load.slope) * horizon_s
        idle = self.get_idle_headroom(run.task.step.image)
        return idle - max(0.0, most)

    def find_headroom_budgets(
        self, worker: state.Worker, now: float, horizon_s: float
    ) -> dict[str, float]:
        """Returns the headroom that may be lost, by serving image."""
        budgets: dict[str, float] = {}
        for run in list_serving_runs(worker):
            headroom = self.predict_headroom(run, now, horizon_s)
            budget = max(0.0, headroom - RESERVED_HEADROOM)
            image = run.task.step.image
            budgets[image] = min(budget, budgets.get(image, budget))
        return budgets

    def estimate_serving_load(self, worker: state.Worker, now: float) -> float:
        """Returns the share of their processors that serving runs use."""
        used = 0.0
        asked = 0
        for run in list_serving_runs(worker):
            step = run.task.step
            idle = self.get_idle_headroom(step.image)
            share = 1 - self.predict_headroom(run, now, PACING_HORIZON_S) / idle
            cpu_millis = step.amount.cpu_millis
            asked += cpu_millis
            used += min(1.0, max(MIN_LOAD_SHARE, share)) * cpu_millis
        return used / asked if asked else 0.0

    def predict_losses(
        self, worker: state.Worker, serving: str
    ) -> dict[str, float]:
        """Returns the headroom that each image costs at full pace."""
        capacity = max(1, worker.entry.capacity.cpu_millis)
        losses: dict[str, float] = {}
        for run in worker.runs.values():
            step = run.task.step
            if not step.fills:
                continue
            interference = self.get_interference(serving, step.image)
            loss = interference * step.amount.cpu_millis / capacity
            losses[step.image] = losses.get(step.image, 0.0) + loss
        return losses

    def find_allowed_cpu(
        self,
        worker: state.Worker,
        budgets: dict[str, float],
        opportunistic: str,
    ) -> int:
        """Returns the processors that an image may use, in thousandths.

        Images that harm more leave their room to it, as they are paced first.

        Args:
            worker: The worker.
            budgets: Headroom that may be lost, by serving image.
            opportunistic: The image.
        """
        share = 1.0
        for serving, budget in budgets.items():
            interference = max(
                self.get_interference(serving, opportunistic), MIN_INTERFERENCE
            )
            taken = sum(
                loss
                for image, loss in self.predict_losses(worker, serving).items()
                if self.get_interference(serving, image) <= interference
            )
            slack = max(0.0, budget * worker.trust - taken)
            share = min(share, slack / interference)
        return int(share * worker.entry.capacity.cpu_millis)


def _is_stable(run: state.Run) -> bool:
    """Tells whether a reading shows the present; notes what overflows."""
    if run.measurement <= 0:
        return False
    headroom = run.task.step.tail_target_ms / run.measurement
    was_overloaded = run.overloaded
    run.overloaded = headroom < (
        RECOVERY_HEADROOM if was_overloaded else OVERLOAD_HEADROOM
    )
    return not was_overloaded


def get_step(run: state.Run) -> state.StepState:
    """Returns the step that a run belongs to."""
    return run.task.job.steps[run.task.name.step]


def predict_load(step: state.StepState, now: float) -> trends.Trend:
    """Returns the load of a step's serving tasks."""
    if step.serving_load is None:
        return trends.initialise(
            INITIAL_LOAD, INITIAL_LOAD_VARIANCE, INITIAL_SLOPE_VARIANCE
        )
    elapsed_s = max(0.0, now - step.load_corrected_at)
    return trends.predict(
        step.serving_load, elapsed_s, LOAD_ACCELERATION_VARIANCE
    )


def list_serving_runs(worker: state.Worker) -> list[state.Run]:
    """Returns the serving runs of a worker."""
    return [run for run in worker.runs.values() if run.task.step.tail_target_ms]


def group_serving_runs(worker: state.Worker) -> list[list[state.Run]]:
    """Returns the serving runs of a worker, grouped by step."""
    groups: dict[tuple[str, int], list[state.Run]] = {}
    for run in list_serving_runs(worker):
        key = (run.task.name.job_id, run.task.name.step)
        groups.setdefault(key, []).append(run)
    return list(groups.values())


def find_cpu_shares(worker: state.Worker) -> dict[str, float]:
    """Returns the processors in use by images that fill, as shares."""
    capacity = max(1, worker.entry.capacity.cpu_millis)
    used: dict[str, float] = {}
    for run in worker.runs.values():
        if run.task.step.fills and run.measurement > 0:
            image = run.task.step.image
            used[image] = used.get(image, 0.0) + run.measurement
    return {
        image: amount / capacity
        for image, amount in used.items()
        if amount / capacity >= MIN_CPU_SHARE
    }

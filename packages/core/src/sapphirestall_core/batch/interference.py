"""Model of how opportunistic tasks raise the tail latency of serving tasks.

A serving task is one with a target for its tail latency. The tail latency
behaves like that of a queue: it is inversely proportional to the capacity that
the load leaves. The headroom of a task, which is its target divided by its tail
latency, therefore falls linearly with the load of its own users and with the
work of opportunistic tasks on the same worker.

The interference of a pair of images is the headroom that tasks of the serving
image lose when the opportunistic image uses all processors of a worker. It is
learned for each pair, as an image may disturb some serving images and leave
others unaffected.

The serving tasks of one step share their users, so that their load rises and
falls together on all workers. Load is therefore estimated for the step as a
whole, which separates it from interference on single workers. Measurements are
rough and lag by about half a second. Loads and interference are kept together
with the variance of their errors, as in a Kalman filter. Decisions use the
interference that is expected from an estimate and from what is known of pairs
in general (interference_prior.py).
"""

from __future__ import annotations

from collections.abc import Mapping
from typing import TYPE_CHECKING

import attrs

from sapphirestall_core.batch import interference_prior
from sapphirestall_core.batch import processor_use
from sapphirestall_core.batch import trends

if TYPE_CHECKING:
    from sapphirestall_core.batch import state

# Interference from which the estimate of a pair of images starts, and its
# variance, which is so high that a few measurements count for more.
INITIAL_INTERFERENCE = 4.0
INITIAL_VARIANCE = 36.0
MAX_INTERFERENCE = 40.0
# An estimate with a higher variance says too little about its pair of images.
MAX_KNOWN_VARIANCE = 8.0
# From this interference on, an opportunistic image waits for other workers. Its
# runs would be paced down as soon as the load of the serving image rises. Pairs
# without measurements are expected to lie below it, so that they are tried.
STRONG_INTERFERENCE = 4.0
# Below this interference an opportunistic image is not kept away from workers
# of a serving image.
NEGLIGIBLE_INTERFERENCE = 1.5
# Lower estimates are replaced by this value when capacity is computed, as they
# are not more exact than this.
MIN_INTERFERENCE = 0.3
# Growth of the variance of an estimate with each measurement.
PROCESS_VARIANCE = 0.05
# Headroom of an image without load, until a higher one is measured.
INITIAL_IDLE_HEADROOM = 4.0
# Load of a step before its first measurement, as the headroom that it costs,
# with its variance and that of its slope.
INITIAL_LOAD = 2.0
INITIAL_LOAD_VARIANCE = 0.8
INITIAL_SLOPE_VARIANCE = 0.3
# Growth of the variance of the slope of a load, per second.
LOAD_ACCELERATION_VARIANCE = 0.4
# Smallest share of their processors that serving tasks are assumed to use.
MIN_LOAD_SHARE = 0.1
# Standard error of the headroom that is measured for a single run, and the part
# of it that the runs of a step on a worker have in common. It does not fall
# with the headroom, as tail latencies scatter more under load.
RUN_ERROR = 0.25
COMMON_ERROR = 0.05
# Standard error of a loss computed from the measured use of processors, as a
# share of its value.
LOSS_ERROR_SHARE = 0.2
# Headroom that opportunistic tasks may not use up. It keeps the tail latency at
# or below five sixths of its target.
RESERVED_HEADROOM = 1.2
# Below `OVERLOAD_HEADROOM` requests queue up, and the tail latency stays high
# for seconds after the cause is gone. Measurements are ignored until the
# headroom has risen above `RECOVERY_HEADROOM`.
OVERLOAD_HEADROOM = 0.5
RECOVERY_HEADROOM = 1.2
# Time until a pace command takes effect, in seconds. Paces are chosen for the
# load that is expected then.
PACING_HORIZON_S = 0.6
# Time for which the headroom of serving tasks must last for an opportunistic
# task to start beside them, in seconds.
PLACEMENT_HORIZON_S = 1.0
# Listings that follow sooner, in seconds, show the same measurements.
MIN_LISTING_INTERVAL_S = 0.25


@attrs.frozen(slots=True)
class Estimate:
    """Estimated interference of a pair of images.

    Attributes:
        value: Headroom that the serving image loses when the opportunistic one
            uses all processors of a worker.
        variance: Variance of the error of this value.
    """

    value: float
    variance: float


DEFAULT_ESTIMATE = Estimate(INITIAL_INTERFERENCE, INITIAL_VARIANCE)


@attrs.frozen(slots=True)
class RemainingBudget:
    """Headroom that opportunistic tasks may cost a serving image on a worker.

    Attributes:
        serving: The serving image.
        headroom: The headroom, with the runs on the worker included.
        losses: Interference of each opportunistic image that runs there, and
            the headroom that its runs cost.
    """

    serving: str
    headroom: float
    losses: list[tuple[float, float]]


@attrs.define(slots=True)
class InterferenceModel:
    """Interference that an instance has learned from measurements.

    Attributes:
        idle_headrooms: Headroom of each serving image without load.
        estimates: Estimated interference, by serving and by opportunistic
            image. It uses measurements alone, and none of what is known of
            pairs in general.
        expected: Expected interference of the pairs with an estimate, by
            serving and by opportunistic image.
    """

    idle_headrooms: dict[str, float] = attrs.field(factory=dict)
    estimates: dict[str, dict[str, Estimate]] = attrs.field(factory=dict)
    expected: dict[str, dict[str, float]] = attrs.field(factory=dict)

    def find_estimate(
        self, serving: str, opportunistic: str
    ) -> Estimate | None:
        """Returns the estimate for a pair of images, if there is one."""
        by_image = self.estimates.get(serving)
        return by_image.get(opportunistic) if by_image is not None else None

    def get_estimate(self, serving: str, opportunistic: str) -> Estimate:
        """Returns the estimate for a pair of images, or the default one."""
        return self.find_estimate(serving, opportunistic) or DEFAULT_ESTIMATE

    def set_estimate(
        self, serving: str, opportunistic: str, estimate: Estimate
    ) -> None:
        """Replaces the estimate for a pair of images."""
        self.estimates.setdefault(serving, {})[opportunistic] = estimate
        expected = _find_expected_interference(estimate)
        self.expected.setdefault(serving, {})[opportunistic] = expected

    def get_interference(self, serving: str, opportunistic: str) -> float:
        """Returns the measured interference of a pair of images."""
        return self.get_estimate(serving, opportunistic).value

    def expect_interference(self, serving: str, opportunistic: str) -> float:
        """Returns the expected interference of a pair of images.

        This is the measured one, corrected by what is known of pairs in
        general: the rougher the measurements are, the more.
        """
        by_image = self.expected.get(serving)
        if by_image is None:
            return interference_prior.UNMEASURED_INTERFERENCE
        return by_image.get(
            opportunistic, interference_prior.UNMEASURED_INTERFERENCE
        )

    def get_idle_headroom(self, serving: str) -> float:
        """Returns the headroom of a serving image without load."""
        return self.idle_headrooms.get(serving, INITIAL_IDLE_HEADROOM)

    def find_highest_interference(
        self, worker: state.Worker, opportunistic: str
    ) -> float:
        """Returns the highest interference of an image with a worker's runs."""
        return max(
            (
                self.expect_interference(run.task.step.image, opportunistic)
                for run in list_serving_runs(worker)
            ),
            default=0.0,
        )

    def is_strong(self, worker: state.Worker, opportunistic: str) -> bool:
        """Returns whether an image is known to disturb serving runs a lot."""
        for run in list_serving_runs(worker):
            estimate = self.find_estimate(run.task.step.image, opportunistic)
            if (
                estimate is not None
                and self.expect_interference(run.task.step.image, opportunistic)
                >= STRONG_INTERFERENCE
                and estimate.variance <= MAX_KNOWN_VARIANCE
            ):
                return True
        return False

    def update(self, worker: state.Worker, now: float) -> None:
        """Corrects the estimates by the measurements in a worker's listing."""
        if now - worker.measurements_learned_at < MIN_LISTING_INTERVAL_S:
            return
        worker.measurements_learned_at = now
        shares = processor_use.record_shares(worker, now)
        for runs in group_serving_runs(worker):
            accepted = [run for run in runs if _accept_measurement(run)]
            if accepted:
                self._update_step(accepted, shares, now)

    def _update_step(
        self, runs: list[state.Run], shares: Mapping[str, float], now: float
    ) -> None:
        """Corrects the load of a step and the interference with its image.

        Args:
            runs: Runs of the step on one worker.
            shares: Share of the worker's processors that each opportunistic
                image uses.
            now: Monotonic time at which the listing arrived, in seconds.
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
        variance = RUN_ERROR**2 / len(runs) + COMMON_ERROR**2
        variance += (LOSS_ERROR_SHARE * loss) ** 2 + load.variance
        for image, share in shares.items():
            estimate = self.get_estimate(serving, image)
            variance += share * share * estimate.variance
        error = observed - (self.get_idle_headroom(serving) - load.value - loss)
        self._update_estimates(serving, shares, error, variance)
        step.load_estimate = trends.correct(load, error, variance, -1.0)
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
        """Corrects the estimated interference with a serving image.

        Args:
            serving: The serving image.
            shares: Share of the worker's processors that each opportunistic
                image uses.
            error: Measured minus expected headroom.
            variance: Variance of this error.
        """
        for image, share in shares.items():
            old = self.get_estimate(serving, image)
            gain = -share * old.variance / variance
            value = min(MAX_INTERFERENCE, max(0.0, old.value + gain * error))
            new_variance = old.variance * (1 + gain * share) + PROCESS_VARIANCE
            self.set_estimate(serving, image, Estimate(value, new_variance))

    def predict_headroom(
        self, run: state.Run, now: float, horizon_s: float
    ) -> float:
        """Predicts the headroom of a run without opportunistic tasks beside it.

        It is the same for all runs of a step, which share their users.

        Args:
            run: The serving run.
            now: Monotonic time, in seconds.
            horizon_s: Time from now, in seconds, for which a rising load is
                taken into account.
        """
        load = predict_load(get_step(run), now)
        peak_load = load.value + max(0.0, load.slope) * horizon_s
        idle = self.get_idle_headroom(run.task.step.image)
        return idle - max(0.0, peak_load)

    def find_headroom_budgets(
        self, worker: state.Worker, now: float, horizon_s: float
    ) -> dict[str, float]:
        """Returns the headroom that opportunistic tasks may cost each image."""
        budgets: dict[str, float] = {}
        for runs in group_serving_runs(worker):
            headroom = self.predict_headroom(runs[0], now, horizon_s)
            budget = max(0.0, headroom - RESERVED_HEADROOM)
            image = runs[0].task.step.image
            budgets[image] = min(budget, budgets.get(image, budget))
        return budgets

    def estimate_serving_load(self, worker: state.Worker, now: float) -> float:
        """Estimates the share of their processors that serving runs use."""
        used = 0.0
        reserved = 0
        for runs in group_serving_runs(worker):
            step = runs[0].task.step
            idle = self.get_idle_headroom(step.image)
            headroom = self.predict_headroom(runs[0], now, PACING_HORIZON_S)
            share = 1 - headroom / idle
            cpu_millis = len(runs) * step.amount.cpu_millis
            reserved += cpu_millis
            used += min(1.0, max(MIN_LOAD_SHARE, share)) * cpu_millis
        return used / reserved if reserved else 0.0

    def predict_losses(
        self, worker: state.Worker, serving: str
    ) -> dict[str, float]:
        """Predicts the headroom that opportunistic images cost a serving image.

        Args:
            worker: Worker on which the images run.
            serving: The serving image.

        Returns:
            Loss by opportunistic image if its runs work at full pace.
        """
        capacity = max(1, worker.entry.capacity.cpu_millis)
        return {
            image: self.expect_interference(serving, image)
            * cpu_millis
            / capacity
            for image, cpu_millis in sum_opportunistic_cpu(worker).items()
        }

    def find_remaining_budgets(
        self, worker: state.Worker, budgets: dict[str, float]
    ) -> list[RemainingBudget]:
        """Returns what the runs on a worker leave of its headroom budgets.

        Args:
            worker: The worker.
            budgets: Headroom that opportunistic tasks may cost, by serving
                image.
        """
        remaining = []
        for serving, budget in budgets.items():
            losses = [
                (self.expect_interference(serving, image), loss)
                for image, loss in self.predict_losses(worker, serving).items()
            ]
            remaining.append(
                RemainingBudget(serving, budget * worker.trust, losses)
            )
        return remaining

    def find_allowed_cpu(
        self,
        worker: state.Worker,
        remaining: list[RemainingBudget],
        opportunistic: str,
    ) -> int:
        """Returns the processors that a further image may use, in thousandths.

        Running images with higher interference are not counted against the
        budget, since their pace is reduced first.

        Args:
            worker: The worker.
            remaining: What its runs leave of its headroom budgets.
            opportunistic: The further opportunistic image.
        """
        share = 1.0
        for budget in remaining:
            interference = max(
                self.expect_interference(budget.serving, opportunistic),
                MIN_INTERFERENCE,
            )
            used = sum(
                loss for other, loss in budget.losses if other <= interference
            )
            unused = max(0.0, budget.headroom - used)
            share = min(share, unused / interference)
        return int(share * worker.entry.capacity.cpu_millis)


def _find_expected_interference(estimate: Estimate) -> float:
    """Returns the expected interference of a pair of images.

    Replaces the wide distribution that estimates start from by what is known of
    pairs in general.
    """
    variance = max(PROCESS_VARIANCE, estimate.variance)
    precision = 1 / variance - 1 / INITIAL_VARIANCE
    if precision <= 0:
        return interference_prior.UNMEASURED_INTERFERENCE
    weighted_value = (
        estimate.value / variance - INITIAL_INTERFERENCE / INITIAL_VARIANCE
    )
    return interference_prior.find_expected_interference(
        weighted_value / precision, 1 / precision
    )


def _accept_measurement(run: state.Run) -> bool:
    """Returns whether a run's measurement is usable; updates its overload.

    Measurements of a run are ignored from the one after an overload was
    detected to the one that shows the recovery.
    """
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
    """Predicts the load of a step's serving tasks.

    Args:
        step: The step.
        now: Monotonic time for which the load is predicted, in seconds.

    Returns:
        Load as the headroom that it costs.
    """
    if step.load_estimate is None:
        return trends.initialise(
            INITIAL_LOAD, INITIAL_LOAD_VARIANCE, INITIAL_SLOPE_VARIANCE
        )
    elapsed_s = max(0.0, now - step.load_corrected_at)
    return trends.predict(
        step.load_estimate, elapsed_s, LOAD_ACCELERATION_VARIANCE
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


def sum_opportunistic_cpu(worker: state.Worker) -> dict[str, int]:
    """Returns the processors that each opportunistic image requests there.

    Returns:
        Processors in thousandths, by image.
    """
    requested: dict[str, int] = {}
    for run in worker.runs.values():
        step = run.task.step
        if step.fills:
            cpu_millis = requested.get(step.image, 0) + step.amount.cpu_millis
            requested[step.image] = cpu_millis
    return requested

"""Learned slowdown of services by kinds of batch work.

The excess slowdown of a service is its slowdown above 1. It is modelled as the
sum, over the kinds of batch work on the same worker, of the processors that a
kind uses multiplied by the coefficient of the service and the kind. The
coefficients are fitted by regularised least squares, in which older
measurements lose weight. See docs/design.md, section 4.10.
"""

import collections
from collections.abc import Mapping
import math

import attrs

# Time constant of the weight of a measurement. Measurements older than a few
# minutes tell little about the current load.
DECAY_S = 120.0
# Weight of the previous estimate of a coefficient, in the unit of evidence
# (squared processors).
RIDGE_WEIGHT = 4.0
# Coefficient of a pair without measurements, per processor.
PRIOR_COEFFICIENT = 0.002
# The uncertainty of a coefficient is this value divided by the square root of
# its evidence plus `RIDGE_WEIGHT`. Upper estimates include it, so that few
# processors of an unknown kind are placed beside a service until they have been
# measured.
UNCERTAINTY_COEFFICIENT = 0.02
DESCENT_SWEEPS = 3
# Exponent of a new measurement's weight above which all weights are rescaled.
MAX_EXPONENT = 30.0
# Below this expected excess, the ratio of the measured to the expected excess
# is mostly noise.
MIN_CORRECTION_EXCESS = 0.02
CORRECTION_STEP = 0.3
MAX_CORRECTION = 3.0
HISTORY_LENGTH = 16  # reports
# Uncertainty grows slowly, so that upper estimates may be cached for this time.
UPPER_CACHE_S = 5.0

Loads = Mapping[str, float]


@attrs.define
class ServiceFit:
    """Weighted sums of the measurements of one service.

    Attributes:
        products: Sum of products of the loads of two kinds.
        targets: Sum of products of a kind's load and the measured excess.
        coefficients: Estimated excess per processor in use by a kind.
        upper: Upper estimates of coefficients by kind, each with the monotonic
            time in seconds until which it is cached.
    """

    products: dict[str, dict[str, float]] = attrs.field(factory=dict)
    targets: dict[str, float] = attrs.field(factory=dict)
    coefficients: dict[str, float] = attrs.field(factory=dict)
    upper: dict[str, tuple[float, float]] = attrs.field(factory=dict)

    def add(self, loads: Loads, excess: float, weight: float) -> None:
        """Adds one measurement.

        Args:
            loads: Processors in use by kind at the time of the measurement.
            excess: Measured excess slowdown.
            weight: Weight of the measurement.
        """
        for kind, load in loads.items():
            row = self.products.setdefault(kind, {})
            for other, other_load in loads.items():
                row[other] = row.get(other, 0.0) + weight * load * other_load
            target = self.targets.get(kind, 0.0)
            self.targets[kind] = target + weight * load * excess

    def solve(self, kinds: Loads, weight: float) -> None:
        """Updates the coefficients of some kinds by coordinate descent.

        The regularisation pulls towards the previous estimate and not towards
        zero, so that a pair keeps its coefficient when its measurements have
        lost their weight.

        Args:
            kinds: Loads of the kinds to update; all have measurements.
            weight: Weight of a measurement taken now.
        """
        for _ in range(DESCENT_SWEEPS):
            for kind in kinds:
                last = self.coefficients.get(kind, PRIOR_COEFFICIENT)
                row = self.products[kind]
                explained = sum(
                    product * self.coefficients.get(other, PRIOR_COEFFICIENT)
                    for other, product in row.items()
                    if other != kind
                )
                evidence = row[kind] / weight
                residual = (self.targets[kind] - explained) / weight
                coefficient = (residual + RIDGE_WEIGHT * last) / (
                    evidence + RIDGE_WEIGHT
                )
                self.coefficients[kind] = max(0.0, coefficient)
        for kind in kinds:
            self.upper.pop(kind, None)

    def scale(self, factor: float) -> None:
        """Multiplies all sums by a factor."""
        for kind, row in self.products.items():
            self.targets[kind] *= factor
            for other in row:
                row[other] *= factor


@attrs.define
class Estimator:
    """Coefficients of all pairs, shared by all workers of an owner.

    Attributes:
        fits: Fits by service.
        weight_origin: Monotonic time in seconds at which a measurement has
            weight 1. The weights of later ones grow exponentially, so that
            earlier ones lose influence without being rescaled each time.
    """

    fits: dict[str, ServiceFit] = attrs.field(factory=dict)
    weight_origin: float | None = None

    def learn(
        self, service: str, loads: Loads, slowdown: float, now: float
    ) -> None:
        """Learns from a measured slowdown beside a batch load.

        Args:
            service: Name of the service.
            loads: Processors in use by kind at the time of the measurement.
            slowdown: Measured slowdown of the service.
            now: Monotonic time, in seconds.
        """
        used = {kind: load for kind, load in loads.items() if load > 0.0}
        if not used:
            return
        fit = self.fits.setdefault(service, ServiceFit())
        weight = self._compute_weight(now)
        fit.add(used, max(0.0, slowdown - 1.0), weight)
        fit.solve(used, weight)

    def estimate_upper(self, service: str, kind: str, now: float) -> float:
        """Returns the coefficient of a pair plus its uncertainty.

        The less evidence there is, the larger is the uncertainty.
        """
        fit = self.fits.get(service)
        if fit is None or kind not in fit.products:
            return PRIOR_COEFFICIENT + UNCERTAINTY_COEFFICIENT / math.sqrt(
                RIDGE_WEIGHT
            )
        cached = fit.upper.get(kind)
        if cached is not None and now < cached[1]:
            return cached[0]
        evidence = fit.products[kind][kind] / self._compute_weight(now)
        uncertainty = UNCERTAINTY_COEFFICIENT / math.sqrt(
            evidence + RIDGE_WEIGHT
        )
        upper = fit.coefficients[kind] + uncertainty
        fit.upper[kind] = (upper, now + UPPER_CACHE_S)
        return upper

    def predict_upper(self, service: str, loads: Loads, now: float) -> float:
        """Returns an upper estimate of the excess beside a batch load."""
        return sum(
            load * self.estimate_upper(service, kind, now)
            for kind, load in loads.items()
        )

    def predict_expected(self, service: str, loads: Loads) -> float:
        """Returns the expected excess beside a batch load."""
        fit = self.fits.get(service)
        known = fit.coefficients if fit else {}
        return sum(
            load * known.get(kind, PRIOR_COEFFICIENT)
            for kind, load in loads.items()
        )

    def _compute_weight(self, now: float) -> float:
        if self.weight_origin is None:
            self.weight_origin = now
        exponent = (now - self.weight_origin) / DECAY_S
        if exponent > MAX_EXPONENT:
            for fit in self.fits.values():
                fit.scale(math.exp(-exponent))
            self.weight_origin, exponent = now, 0.0
        return math.exp(exponent)


def _make_snapshots() -> collections.deque[tuple[float, Loads]]:
    return collections.deque(maxlen=HISTORY_LENGTH)


@attrs.define
class LoadHistory:
    """Batch load of one worker in its most recent reports.

    A measurement is older than the report that contains it, so that it has to
    be compared with the load at its own time.

    Attributes:
        snapshots: Time of each report by the worker's clock, in seconds, and
            processors in use by kind; oldest first.
        corrections: Smoothed ratio of the measured to the expected excess, by
            service. It follows a change of the service's own load faster than
            the coefficients do.
        measured_at: Time of the newest measurement by the worker's clock, in
            seconds, by service.
    """

    snapshots: collections.deque[tuple[float, Loads]] = attrs.field(
        factory=_make_snapshots
    )
    corrections: dict[str, float] = attrs.field(factory=dict)
    measured_at: dict[str, float] = attrs.field(factory=dict)

    def record(self, clock: float, loads: Loads) -> None:
        """Records the loads of one report."""
        self.snapshots.append((clock, loads))

    def find_loads(
        self, clock: float, last_action_at: float = -math.inf
    ) -> Loads | None:
        """Returns the loads at a time by the worker's clock.

        Args:
            clock: Time of a measurement, in seconds.
            last_action_at: Time of the report after which the controller last
                acted, in seconds. A throttle takes effect at once, so that a
                measurement between that report and the next belongs to the
                loads of the next.

        Returns:
            The loads, or None if no report has been recorded.
        """
        found = None
        for taken_at, loads in self.snapshots:
            changed = found is not None and last_action_at < clock
            if taken_at > clock and found is not None:
                if changed and found[0] <= last_action_at:
                    return loads
                break
            found = (taken_at, loads)
        return found[1] if found else None

    def get_correction(self, service: str) -> float:
        """Returns the ratio of the measured to the expected excess.

        It is 1 for a service without measurements on this worker.
        """
        return self.corrections.get(service, 1.0)


def record_measurement(
    estimator: Estimator,
    history: LoadHistory,
    service: str,
    slowdown: float,
    measured_at: float,
    last_action_at: float,
    now: float,
) -> bool:
    """Learns from a measurement of a service, unless it was recorded before.

    Args:
        estimator: Coefficients; changed in place.
        history: Loads of the worker; changed in place.
        service: Name of the service.
        slowdown: Measured slowdown of the service.
        measured_at: Time of the measurement by the worker's clock, in seconds.
        last_action_at: Time of the report after which the controller last
            acted, by the worker's clock, in seconds.
        now: Monotonic time, in seconds.

    Returns:
        Whether the measurement was new.
    """
    if measured_at <= history.measured_at.get(service, -math.inf):
        return False
    history.measured_at[service] = measured_at
    loads = history.find_loads(measured_at, last_action_at)
    if loads is None:
        return True
    expected = estimator.predict_expected(service, loads)
    if expected > MIN_CORRECTION_EXCESS:
        ratio = min(MAX_CORRECTION, max(0.0, slowdown - 1.0) / expected)
        correction = history.get_correction(service)
        history.corrections[service] = correction + CORRECTION_STEP * (
            ratio - correction
        )
    estimator.learn(service, loads, slowdown, now)
    return True

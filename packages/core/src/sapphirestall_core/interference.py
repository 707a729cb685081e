"""Learned slowdown of services by kinds of batch work.

The slowdown of a service in excess of 1 is modelled as a sum over the batch
kinds on its worker: processors in use by the kind, times the coefficient of
the pair. Section 4.10 of the design states the model.
"""

import collections
from collections.abc import Mapping
import math

import attrs

# Measurements older than a few minutes tell little about the present load.
DECAY_S = 120.0
# Evidence, in squared processors, that weighs as much as the last estimate.
RIDGE_WEIGHT = 4.0
# Assumed for a pair that was never measured, per processor.
PRIOR_COEFFICIENT = 0.002
# Added to a coefficient per square root of evidence, so that few processors of
# an unknown kind are placed beside a service until they have been measured.
UNCERTAINTY_COEFFICIENT = 0.02
DESCENT_SWEEPS = 3
MAX_EXPONENT = 30.0
# Below this predicted excess, the ratio of measured to predicted is noise.
MIN_CORRECTION_EXCESS = 0.02
CORRECTION_STEP = 0.3
MAX_CORRECTION = 3.0
HISTORY_LENGTH = 16
# Doubt grows slowly, so that a cautious coefficient is kept this long.
UPPER_CACHE_S = 5.0

Loads = Mapping[str, float]


@attrs.define
class ServiceFit:
    """Weighted sums of the measurements of one service.

    Attributes:
        products: Sum of products of the loads of two kinds.
        targets: Sum of products of a kind's load and the measured excess.
        coefficients: Estimated excess per processor in use by a kind.
        upper: Coefficients with the doubt added, and until when they hold.
    """

    products: dict[str, dict[str, float]] = attrs.field(factory=dict)
    targets: dict[str, float] = attrs.field(factory=dict)
    coefficients: dict[str, float] = attrs.field(factory=dict)
    upper: dict[str, tuple[float, float]] = attrs.field(factory=dict)

    def add(self, loads: Loads, excess: float, weight: float) -> None:
        """Adds one measurement."""
        for kind, load in loads.items():
            row = self.products.setdefault(kind, {})
            for other, other_load in loads.items():
                row[other] = row.get(other, 0.0) + weight * load * other_load
            target = self.targets.get(kind, 0.0)
            self.targets[kind] = target + weight * load * excess

    def solve(self, kinds: Loads, weight: float) -> None:
        """Improves the coefficients of some kinds by coordinate descent.

        The ridge term pulls towards the last estimate, not towards zero, so
        that a pair keeps its coefficient when its evidence has been forgotten.
        """
        for _ in range(DESCENT_SWEEPS):
            for kind in kinds:
                last = self.coefficients.get(kind, PRIOR_COEFFICIENT)
                row = self.products[kind]
                explained = sum(
                    value * self.coefficients.get(other, PRIOR_COEFFICIENT)
                    for other, value in row.items()
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
        """Multiplies all sums."""
        for kind, row in self.products.items():
            self.targets[kind] *= factor
            for other in row:
                row[other] *= factor


@attrs.define
class Estimator:
    """Coefficients of all pairs, shared by all workers of an owner.

    Attributes:
        weight_origin: Time in seconds at which a measurement has weight 1.
            Weights grow exponentially with time, so that earlier measurements
            lose influence without being rescaled.
    """

    fits: dict[str, ServiceFit] = attrs.field(factory=dict)
    weight_origin: float | None = None

    def learn(
        self, service: str, loads: Loads, slowdown: float, now: float
    ) -> None:
        """Takes one measurement of a service beside some batch work."""
        used = {kind: load for kind, load in loads.items() if load > 0.0}
        if not used:
            return
        fit = self.fits.setdefault(service, ServiceFit())
        weight = self._compute_weight(now)
        fit.add(used, max(0.0, slowdown - 1.0), weight)
        fit.solve(used, weight)

    def estimate_upper(self, service: str, kind: str, now: float) -> float:
        """Returns a cautious coefficient: the less evidence, the higher."""
        fit = self.fits.get(service)
        if fit is None or kind not in fit.products:
            return PRIOR_COEFFICIENT + UNCERTAINTY_COEFFICIENT / math.sqrt(
                RIDGE_WEIGHT
            )
        cached = fit.upper.get(kind)
        if cached is not None and now < cached[1]:
            return cached[0]
        evidence = fit.products[kind][kind] / self._compute_weight(now)
        doubt = UNCERTAINTY_COEFFICIENT / math.sqrt(evidence + RIDGE_WEIGHT)
        upper = fit.coefficients[kind] + doubt
        fit.upper[kind] = (upper, now + UPPER_CACHE_S)
        return upper

    def predict_upper(self, service: str, loads: Loads, now: float) -> float:
        """Returns the cautious excess slowdown beside some batch work."""
        return sum(
            load * self.estimate_upper(service, kind, now)
            for kind, load in loads.items()
        )

    def predict_likely(self, service: str, loads: Loads) -> float:
        """Returns the likely excess slowdown beside some batch work."""
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
    """Batch load of one worker in its newest reports.

    Measurements lag, so that each has to be compared with the load at its own
    time.

    Attributes:
        snapshots: Reading of the worker's clock and processors in use by kind.
        corrections: Smoothed ratio of the measured to the likely excess, by
            service. It follows a change of the service's own load faster than
            the coefficients do.
        measured_at: Newest measurement by service.
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
        """Returns the loads at a reading of the worker's clock.

        Args:
            clock: Reading at the measurement.
            last_action_at: Reading of the report on which the controller
                acted last. A throttle takes effect at once, so that a
                measurement between that report and the next belongs to the
                loads of the next.
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
        """Returns measured over likely excess of a service on this worker."""
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
    """Learns from one measurement; a repeated one is ignored.

    Returns:
        Whether the measurement was new.
    """
    if measured_at <= history.measured_at.get(service, -math.inf):
        return False
    history.measured_at[service] = measured_at
    loads = history.find_loads(measured_at, last_action_at)
    if loads is None:
        return True
    likely = estimator.predict_likely(service, loads)
    if likely > MIN_CORRECTION_EXCESS:
        ratio = min(MAX_CORRECTION, max(0.0, slowdown - 1.0) / likely)
        correction = history.get_correction(service)
        history.corrections[service] = correction + CORRECTION_STEP * (
            ratio - correction
        )
    estimator.learn(service, loads, slowdown, now)
    return True

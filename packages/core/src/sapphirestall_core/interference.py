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
FORGETTING_S = 120.0
# Evidence, in squared processors, that weighs as much as the last estimate.
RIDGE = 4.0
# Assumed for a pair that was never measured, per processor.
PRIOR = 0.002
# Added to a coefficient per square root of evidence, so that few processors of
# an unknown kind are placed beside a service until they have been measured.
UNCERTAINTY = 0.02
SWEEPS = 3
MAX_EXPONENT = 30.0
# Below this predicted excess, the ratio of measured to predicted is noise.
GAIN_FLOOR = 0.02
GAIN_STEP = 0.3
MAX_GAIN = 3.0
HISTORY_LENGTH = 16
# Doubt grows slowly, so that a cautious coefficient is kept this long.
CAUTION_TERM_S = 5.0

Loads = Mapping[str, float]


@attrs.define
class Fit:
    """Weighted sums of the measurements of one service.

    Attributes:
        products: Sum of products of the loads of two kinds.
        targets: Sum of products of a kind's load and the measured excess.
        coefficients: Estimated excess per processor in use by a kind.
        cautious: Coefficients with the doubt added, and until when they hold.
    """

    products: dict[str, dict[str, float]] = attrs.field(factory=dict)
    targets: dict[str, float] = attrs.field(factory=dict)
    coefficients: dict[str, float] = attrs.field(factory=dict)
    cautious: dict[str, tuple[float, float]] = attrs.field(factory=dict)

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
        for _ in range(SWEEPS):
            for kind in kinds:
                last = self.coefficients.get(kind, PRIOR)
                row = self.products[kind]
                explained = sum(
                    value * self.coefficients.get(other, PRIOR)
                    for other, value in row.items()
                    if other != kind
                )
                evidence = row[kind] / weight
                rest = (self.targets[kind] - explained) / weight
                found = (rest + RIDGE * last) / (evidence + RIDGE)
                self.coefficients[kind] = max(0.0, found)
        for kind in kinds:
            self.cautious.pop(kind, None)

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
        origin: Time at which a measurement has the weight 1; later ones weigh
            more, which forgets the earlier ones without touching them.
    """

    fits: dict[str, Fit] = attrs.field(factory=dict)
    origin: float | None = None

    def learn(
        self, service: str, loads: Loads, slowdown: float, now: float
    ) -> None:
        """Takes one measurement of a service beside some batch work."""
        used = {kind: load for kind, load in loads.items() if load > 0.0}
        if not used:
            return
        fit = self.fits.setdefault(service, Fit())
        weight = self._weigh(now)
        fit.add(used, max(0.0, slowdown - 1.0), weight)
        fit.solve(used, weight)

    def estimate(self, service: str, kind: str, now: float) -> float:
        """Returns a cautious coefficient: the less evidence, the higher."""
        fit = self.fits.get(service)
        if fit is None or kind not in fit.products:
            return PRIOR + UNCERTAINTY / math.sqrt(RIDGE)
        kept = fit.cautious.get(kind)
        if kept is not None and now < kept[1]:
            return kept[0]
        evidence = fit.products[kind][kind] / self._weigh(now)
        doubt = UNCERTAINTY / math.sqrt(evidence + RIDGE)
        cautious = fit.coefficients[kind] + doubt
        fit.cautious[kind] = (cautious, now + CAUTION_TERM_S)
        return cautious

    def predict(self, service: str, loads: Loads, now: float) -> float:
        """Returns the cautious excess slowdown beside some batch work."""
        return sum(
            load * self.estimate(service, kind, now)
            for kind, load in loads.items()
        )

    def explain(self, service: str, loads: Loads) -> float:
        """Returns the likely excess slowdown beside some batch work."""
        fit = self.fits.get(service)
        known = fit.coefficients if fit else {}
        return sum(
            load * known.get(kind, PRIOR) for kind, load in loads.items()
        )

    def _weigh(self, now: float) -> float:
        if self.origin is None:
            self.origin = now
        exponent = (now - self.origin) / FORGETTING_S
        if exponent > MAX_EXPONENT:
            for fit in self.fits.values():
                fit.scale(math.exp(-exponent))
            self.origin, exponent = now, 0.0
        return math.exp(exponent)


def _make_snapshots() -> collections.deque[tuple[float, Loads]]:
    return collections.deque(maxlen=HISTORY_LENGTH)


@attrs.define
class History:
    """Batch load of one worker in its newest reports.

    Measurements lag, so that each has to be compared with the load at its own
    time.

    Attributes:
        snapshots: Reading of the worker's clock and processors in use by kind.
        gains: Measured over likely excess by service, smoothed. It follows a
            shift of the service's own load before the coefficients do.
        measured_at: Newest measurement by service.
    """

    snapshots: collections.deque[tuple[float, Loads]] = attrs.field(
        factory=_make_snapshots
    )
    gains: dict[str, float] = attrs.field(factory=dict)
    measured_at: dict[str, float] = attrs.field(factory=dict)

    def record(self, clock: float, loads: Loads) -> None:
        """Records the loads of one report."""
        self.snapshots.append((clock, loads))

    def find(
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

    def get_gain(self, service: str) -> float:
        """Returns measured over likely excess of a service on this worker."""
        return self.gains.get(service, 1.0)


def take_measurement(
    estimator: Estimator,
    history: History,
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
    loads = history.find(measured_at, last_action_at)
    if loads is None:
        return True
    likely = estimator.explain(service, loads)
    if likely > GAIN_FLOOR:
        ratio = min(MAX_GAIN, max(0.0, slowdown - 1.0) / likely)
        gain = history.get_gain(service)
        history.gains[service] = gain + GAIN_STEP * (ratio - gain)
    estimator.learn(service, loads, slowdown, now)
    return True

"""Learned usage and run time of each kind of batch work."""

import attrs

from sapphirestall_core import resources

# Weight of one more observation; about the last 20 count.
SMOOTHING = 0.05
# The estimate rises faster than it falls: to be too low overloads a worker,
# to be too high only leaves room unused.
RISE_FACTOR = 4.0


@attrs.define
class KindUsage:
    """What is known about one kind.

    Attributes:
        cpu_millis: Smoothed upper estimate of the use of one task.
        memory_mb: Smoothed upper estimate of the use of one task.
        run_s: Smoothed run time, in seconds.
        uses: Measurements of use.
        runs: Measurements of run time.
    """

    cpu_millis: float = 0.0
    memory_mb: float = 0.0
    run_s: float = 0.0
    use_samples: int = 0
    run_samples: int = 0


def _smooth(old: float, new: float, count: int) -> float:
    weight = max(SMOOTHING, 1.0 / count)
    if new > old:
        weight = min(1.0, weight * RISE_FACTOR)
    return old + weight * (new - old)


@attrs.define
class Usage:
    """Learned usage and run time by kind."""

    kinds: dict[str, KindUsage] = attrs.field(factory=dict)

    def record_use(self, kind: str, used: resources.Vector) -> None:
        """Takes the measured use of one unthrottled task."""
        found = self.kinds.setdefault(kind, KindUsage())
        found.use_samples += 1
        found.cpu_millis = _smooth(
            found.cpu_millis, used.cpu_millis, found.use_samples
        )
        found.memory_mb = _smooth(
            found.memory_mb, used.memory_mb, found.use_samples
        )

    def record_run(self, kind: str, run_s: float) -> None:
        """Takes the run time of one finished task."""
        found = self.kinds.setdefault(kind, KindUsage())
        found.run_samples += 1
        found.run_s = _smooth(found.run_s, run_s, found.run_samples)

    def compute_reservation(
        self, kind: str, declared: resources.Vector, largest: resources.Vector
    ) -> resources.Vector:
        """Returns the larger of declared and learned size.

        The learned part is cut to `largest`, the capacity of the largest
        worker, since a kind that uses more would never be placed again.
        """
        found = self.kinds.get(kind)
        if found is None or not found.use_samples:
            return declared
        learned = resources.Vector(
            min(round(found.cpu_millis), largest.cpu_millis),
            min(round(found.memory_mb), largest.memory_mb),
        )
        return declared.maximum(learned)

    def predict_cpu(self, kind: str, declared: resources.Vector) -> float:
        """Returns the processors that a task is expected to use."""
        found = self.kinds.get(kind)
        if found is None or not found.use_samples:
            return declared.cpu_millis / 1000.0
        return found.cpu_millis / 1000.0

    def predict_run_s(self, kind: str, declared_s: float) -> float:
        """Returns the run time that a task is expected to need."""
        found = self.kinds.get(kind)
        return found.run_s if found and found.run_samples else declared_s

"""Learned usage and run time of each kind of batch work."""

import attrs

from sapphirestall_core import resources

# Weight of one more observation; about the last 20 count.
STEP = 0.05
# The estimate rises faster than it falls: to be too low overloads a worker,
# to be too high only leaves room unused.
RISE = 4.0


@attrs.define
class Kind:
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
    uses: int = 0
    runs: int = 0


def _smooth(old: float, new: float, count: int) -> float:
    step = max(STEP, 1.0 / count)
    if new > old:
        step = min(1.0, step * RISE)
    return old + step * (new - old)


@attrs.define
class Usage:
    """Learned usage and run time by kind."""

    kinds: dict[str, Kind] = attrs.field(factory=dict)

    def record_use(self, kind: str, used: resources.Vector) -> None:
        """Takes the measured use of one unthrottled task."""
        known = self.kinds.setdefault(kind, Kind())
        known.uses += 1
        known.cpu_millis = _smooth(
            known.cpu_millis, used.cpu_millis, known.uses
        )
        known.memory_mb = _smooth(known.memory_mb, used.memory_mb, known.uses)

    def record_run(self, kind: str, run_s: float) -> None:
        """Takes the run time of one finished task."""
        known = self.kinds.setdefault(kind, Kind())
        known.runs += 1
        known.run_s = _smooth(known.run_s, run_s, known.runs)

    def compute_reservation(
        self, kind: str, declared: resources.Vector, largest: resources.Vector
    ) -> resources.Vector:
        """Returns the larger of declared and learned size.

        The learned part is cut to `largest`, the capacity of the largest
        worker, since a kind that uses more would never be placed again.
        """
        known = self.kinds.get(kind)
        if known is None or not known.uses:
            return declared
        learned = resources.Vector(
            min(round(known.cpu_millis), largest.cpu_millis),
            min(round(known.memory_mb), largest.memory_mb),
        )
        return declared.maximum(learned)

    def predict_cpu(self, kind: str, declared: resources.Vector) -> float:
        """Returns the processors that a task is expected to use."""
        known = self.kinds.get(kind)
        if known is None or not known.uses:
            return declared.cpu_millis / 1000.0
        return known.cpu_millis / 1000.0

    def predict_run_s(self, kind: str, declared_s: float) -> float:
        """Returns the run time that a task is expected to need."""
        known = self.kinds.get(kind)
        return known.run_s if known and known.runs else declared_s

"""Learned resource usage and run time of each kind of batch work."""

import attrs

from sapphirestall_core import resources

# Weight of a new sample; the average covers about the last 20 samples.
SMOOTHING = 0.05
# Factor on the weight of a sample above the average, so that an estimate rises
# faster than it falls. An estimate that is too low overloads a worker; one that
# is too high only leaves capacity unused.
RISE_FACTOR = 4.0


@attrs.define
class KindUsage:
    """Averages over the tasks of one kind, biased upwards.

    Attributes:
        cpu_millis: Processors that a task uses, in thousandths.
        memory_mb: Memory that a task uses, in megabytes.
        run_s: Run time of a task, in seconds.
        use_samples: Number of samples of usage.
        run_samples: Number of samples of run time.
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
    """Learned usage and run time of all kinds.

    Attributes:
        kinds: Averages by kind.
    """

    kinds: dict[str, KindUsage] = attrs.field(factory=dict)

    def record_use(self, kind: str, used: resources.Vector) -> None:
        """Adds the measured usage of an unthrottled task to the averages."""
        found = self.kinds.setdefault(kind, KindUsage())
        found.use_samples += 1
        found.cpu_millis = _smooth(
            found.cpu_millis, used.cpu_millis, found.use_samples
        )
        found.memory_mb = _smooth(
            found.memory_mb, used.memory_mb, found.use_samples
        )

    def record_run(self, kind: str, run_s: float) -> None:
        """Adds the run time of a finished task to the average.

        Args:
            kind: Kind of the task.
            run_s: Run time, in seconds.
        """
        found = self.kinds.setdefault(kind, KindUsage())
        found.run_samples += 1
        found.run_s = _smooth(found.run_s, run_s, found.run_samples)

    def compute_reservation(
        self, kind: str, declared: resources.Vector, largest: resources.Vector
    ) -> resources.Vector:
        """Returns the resources to reserve for a task.

        Each part is the larger of the declared and the learned amount. The
        learned amount is limited to the capacity of the largest worker;
        otherwise a kind whose tasks use more could never be placed again.

        Args:
            kind: Kind of the task.
            declared: Amount that the job declares.
            largest: Capacity of the largest worker.
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
        """Returns the number of processors that a task is expected to use."""
        found = self.kinds.get(kind)
        if found is None or not found.use_samples:
            return declared.cpu_millis / 1000.0
        return found.cpu_millis / 1000.0

    def predict_run_s(self, kind: str, declared_s: float) -> float:
        """Returns the expected run time of a task, in seconds."""
        found = self.kinds.get(kind)
        return found.run_s if found and found.run_samples else declared_s

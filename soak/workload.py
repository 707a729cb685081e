"""Random jobs of the callers: their steps, sizes and durations."""

import random

import attrs

from sapphirestall_core import resources
from sapphirestall_core.batch import model

HOST = "press.example"
FIRST_SERVICE = "press"
SECOND_SERVICE = "yard"
MAX_ATTEMPTS = 4
QUEUES = (
    model.Queue(
        "urgent", HOST, "/urgent/", FIRST_SERVICE, 0, MAX_ATTEMPTS, 2.0, 1.0
    ),
    model.Queue(
        "batch", HOST, "/batch/", FIRST_SERVICE, 1, MAX_ATTEMPTS, 3.0, 2.0
    ),
    model.Queue(
        "yard", HOST, "/yard/", SECOND_SERVICE, 1, MAX_ATTEMPTS, 3.0, 2.0
    ),
)
LABELS = ("a", "b")
# Range of the actual duration of a task, as a multiple of its estimate.
DURATION_FACTORS = (0.4, 1.8)


@attrs.frozen
class Job:
    """A job as a caller submits it.

    Attributes:
        job_id: Id of the job.
        queue: Queue to which it is submitted.
        spec: Opaque text that its runs receive.
        steps: Steps of the job.
    """

    job_id: str
    queue: model.Queue
    spec: str
    steps: tuple[model.Step, ...]

    @property
    def is_long_running(self) -> bool:
        """Whether tasks of the job run until it is cancelled."""
        return any(step.long_running for step in self.steps)


def draw_job(rng: random.Random) -> Job:
    """Returns a random job."""
    job_id = f"{rng.getrandbits(64):016x}"
    queue = rng.choice(QUEUES)
    generators = (
        _draw_plain,
        _draw_chain,
        _draw_checkpointing,
        _draw_long_running,
        _draw_labelled,
        _draw_spread,
        _draw_opportunistic,
    )
    draw = rng.choices(generators, (6, 5, 2, 2, 2, 2, 1))[0]
    return Job(job_id, queue, f"spec of {job_id}", draw(rng))


def compute_duration(task: model.TaskName, step: model.Step) -> float:
    """Returns the duration of a task, in seconds; the same for all its runs."""
    name = f"{task.job_id}.{task.step}.{task.index}"
    factor = random.Random(name).uniform(*DURATION_FACTORS)
    return step.estimate_s * factor


def _draw_amount(rng: random.Random) -> resources.Vector:
    return resources.Vector(rng.choice((250, 500, 1000, 2500)), 500, 0)


def _draw_plain(rng: random.Random) -> tuple[model.Step, ...]:
    estimate_s = rng.uniform(0.2, 2.0)
    return (model.Step(rng.randint(1, 6), _draw_amount(rng), estimate_s),)


def _draw_chain(rng: random.Random) -> tuple[model.Step, ...]:
    steps: list[model.Step] = []
    for number in range(rng.randint(2, 4)):
        after = tuple(i for i in range(number) if rng.random() < 0.7)
        estimate_s = rng.uniform(0.1, 0.8)
        count = rng.randint(1, 4)
        amount = _draw_amount(rng)
        steps.append(model.Step(count, amount, estimate_s, after))
    return tuple(steps)


def _draw_checkpointing(rng: random.Random) -> tuple[model.Step, ...]:
    estimate_s = rng.uniform(2.0, 4.0)
    step = model.Step(rng.randint(1, 3), _draw_amount(rng), estimate_s)
    return (attrs.evolve(step, checkpointing=True),)


def _draw_long_running(rng: random.Random) -> tuple[model.Step, ...]:
    amount = resources.Vector(rng.choice((250, 500)), 300, 0)
    step = model.Step(rng.randint(1, 4), amount, long_running=True)
    if rng.random() < 0.5:
        step = attrs.evolve(step, max_per_worker=1)
    if rng.random() < 0.5:
        step = attrs.evolve(step, image="counter", tail_target_ms=50)
    return (step,)


def _draw_labelled(rng: random.Random) -> tuple[model.Step, ...]:
    step = model.Step(rng.randint(1, 4), _draw_amount(rng), 0.6)
    return (attrs.evolve(step, required_label=rng.choice(LABELS)),)


def _draw_spread(rng: random.Random) -> tuple[model.Step, ...]:
    step = model.Step(rng.randint(2, 3), _draw_amount(rng), 0.6)
    return (attrs.evolve(step, max_per_worker=rng.randint(1, 2)),)


def _draw_opportunistic(rng: random.Random) -> tuple[model.Step, ...]:
    step = model.Step(rng.randint(1, 3), _draw_amount(rng), 0.8)
    return (attrs.evolve(step, fills=True, image="fold"),)

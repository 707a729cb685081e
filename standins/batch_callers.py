"""Callers whose calls and answers are lost, late and repeated, in virtual time.

Each caller submits one job, asks for its state and may cancel it. It makes each
call several times, at any instance, whatever was answered before. Meanwhile the
store's answers are lost and its writes are carried out late.

    python -m standins.batch_callers --seeds 1-200
"""

import attrs

from sapphirestall_core import resources
from sapphirestall_core.batch import caller_messages
from sapphirestall_core.batch import model
from sapphirestall_core.batch import records
from standins import batch_world
from standins import seeds

# The second data centre has room for few tasks, so that jobs are moved.
DATA_CENTRES = ("north", "south")
CPU_MILLIS = (8000, 2000)
AMOUNT = resources.Vector(1000, 100, 0)
JOBS = 12
START_S = 4.0
WORK_S = 25.0
# Late writes land within 6 s; then all work has to end.
SETTLE_S = 60.0
# Time after the answer to a cancellation from which no task may start.
CANCEL_S = 3.0
REJECTIONS = (
    caller_messages.Refused,
    caller_messages.QueueUnknown,
    caller_messages.Invalid,
)


@attrs.define
class Attempt:
    """One call of a caller.

    Attributes:
        kind: Type of the call.
        call_id: Id of the call.
        sent_at: Time at which it was made, in seconds.
    """

    kind: type[caller_messages.CallerCalled]
    call_id: str
    sent_at: float


@attrs.define
class CallersWorld(batch_world.BatchWorld):
    """A simulation that records the calls of each job and their answers.

    Attributes:
        attempts: Calls, by job.
        answered_at: Time of each answer, by call id, in seconds.
    """

    attempts: dict[str, list[Attempt]] = attrs.field(factory=dict)
    answered_at: dict[str, float] = attrs.field(factory=dict)

    def make_call(
        self, job_id: str, kind: type[caller_messages.CallerCalled]
    ) -> None:
        """Makes a call at any instance."""
        node = self.rng.choice([node for node in self.nodes if node.alive])
        if kind is caller_messages.SubmitCalled:
            call_id = self.submit(node, job_id, *self.jobs[job_id])
        else:
            path = batch_world.QUEUE.prefix + job_id
            call_id = self.call(node, kind, path)
        attempt = Attempt(kind, call_id, self.now)
        self.attempts.setdefault(job_id, []).append(attempt)

    def run(self, seconds: float) -> None:
        """Runs the simulation and records when calls were answered."""
        end = self.now + seconds
        while self.now < end:
            batch_world.BatchWorld.run(self, min(0.02, end - self.now))
            for call_id in self.answers.keys() - self.answered_at.keys():
                self.answered_at[call_id] = self.now


def play(seed: int) -> list[str]:
    """Plays a seed; returns what went wrong."""
    world = CallersWorld(seed)
    for name, cpu_millis in zip(DATA_CENTRES, CPU_MILLIS, strict=True):
        world.add_worker(f"w-{name}", name, cpu_millis)
        for number in (1, 2):
            world.add_node(f"e-{name}-{number}", name)
    world.run(START_S)
    rng = world.rng
    for number in range(1, JOBS + 1):
        _plan_caller(world, f"{number:016x}")
    world.lost_answer_fraction = rng.choice((0.1, 0.3, 0.6))
    world.late_write_fraction = rng.choice((0.0, 0.2, 0.4))
    world.late_start_fraction = rng.choice((0.0, 0.2))
    world.unanswered_start_fraction = rng.choice((0.0, 0.2))
    world.run(WORK_S)
    world.lost_answer_fraction = world.late_write_fraction = 0.0
    world.late_start_fraction = world.unanswered_start_fraction = 0.0
    world.run(SETTLE_S)
    problems = list(world.violations)
    for job_id in world.attempts:
        problems += _check_job(world, job_id)
    return problems


def _plan_caller(world: CallersWorld, job_id: str) -> None:
    rng = world.rng
    world.jobs[job_id] = (
        model.Step(rng.randint(1, 3), AMOUNT),
        model.Step(1, AMOUNT, after=(0,)),
    )
    kinds = [caller_messages.SubmitCalled] * rng.randint(1, 3)
    plan: list[type[caller_messages.CallerCalled]] = list(kinds)
    plan += [caller_messages.StateCalled] * 3
    if rng.random() < 0.5:
        plan += [caller_messages.CancelCalled] * rng.randint(1, 2)
    first_s = rng.uniform(0.0, WORK_S / 2)
    for kind in plan:
        delay_s = first_s + rng.choice((0.0, 0.01, 0.5, 3.0)) * rng.random()
        world.schedule(delay_s, lambda kind=kind: world.make_call(job_id, kind))


def _check_job(world: CallersWorld, job_id: str) -> list[str]:
    attempts = world.attempts[job_id]
    submissions = _list_answers(world, attempts, caller_messages.SubmitCalled)
    cancellations = _list_answers(world, attempts, caller_messages.CancelCalled)
    starts = [
        at for task, at in world.started_at.items() if task.job_id == job_id
    ]
    problems = []
    if starts and all(isinstance(a, REJECTIONS) for a, _ in submissions):
        problems.append("started though every submission was rejected")
    problems += [
        f"no answer to {attempt.kind.__name__}"
        for attempt in attempts
        if attempt.call_id not in world.answers
    ]
    stopped_at = [
        at
        for answer, at in cancellations
        if isinstance(answer, caller_messages.Cancelled | caller_messages.Gone)
    ]
    if stopped_at and any(at > min(stopped_at) + CANCEL_S for at in starts):
        problems.append("started after its cancellation")
    if not cancellations:
        problems += _check_kept(world, job_id, submissions)
    return [f"{job_id}: {text}" for text in problems]


def _check_kept(
    world: CallersWorld,
    job_id: str,
    submissions: list[tuple[caller_messages.Answer, float]],
) -> list[str]:
    """Checks a job that nobody has cancelled."""
    accepted_at = [
        at
        for answer, at in submissions
        if isinstance(answer, caller_messages.Accepted)
    ]
    if not accepted_at:
        return []
    problems = []
    for attempt in world.attempts[job_id]:
        answer = world.answers.get(attempt.call_id)
        if attempt.sent_at > min(accepted_at) and isinstance(
            answer, caller_messages.Gone
        ):
            problems.append("told as unknown after it was accepted")
    found = world.store.find(records.make_state_key(job_id))
    if found is None or found.value.state is not model.JobState.COMPLETED:
        problems.append("accepted and not completed")
    return problems


def _list_answers(
    world: CallersWorld,
    attempts: list[Attempt],
    kind: type[caller_messages.CallerCalled],
) -> list[tuple[caller_messages.Answer, float]]:
    return [
        (world.answers[attempt.call_id], world.answered_at[attempt.call_id])
        for attempt in attempts
        if attempt.kind is kind and attempt.call_id in world.answers
    ]


def describe(seed: int) -> str:
    """Plays a seed; returns what went wrong."""
    return "; ".join(play(seed))


def main() -> None:
    """Plays seeds and prints what went wrong."""
    seeds.run(__doc__, "1-60", describe)


if __name__ == "__main__":
    main()

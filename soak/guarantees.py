"""Promises that are checked while a run goes on, from what others see."""

import functools

import attrs

from sapphirestall_core import resources
from sapphirestall_core.batch import model
from sapphirestall_standins import caller_client as caller_module
from sapphirestall_standins import observations
from soak import disturbances as disturbances_module
from soak import history as ledger_module
from soak import workload as work

# Bounds of the platform's rules, in seconds.
CANCEL_S = 3.0
STOP_S = 0.4
DRAIN_S = 2.0
IDLE_S = 3.0
IDLE_LASTING_S = 6.0
# Calm time that the bound on idle work needs before it.
IDLE_CALM_S = 4.0
# Accepted jobs are counted after this time; a count may be 2 s old.
VISIBLE_S = 5.0
# A start that was sent before something was noted may arrive this much later.
NOTED_S = 1.0
FINAL = ("completed", "failed", "cancelled")
NO_AMOUNT = resources.Vector()


@attrs.define(eq=False)
class Promises:
    """Checks of all promises against one ledger.

    Attributes:
        entries: Workers by id, as the platform lists them.
        runs: Runs that go on, by worker.
        senders: Sender of each fencing token, by worker.
        drained_at: When workers announced that they leave.
    """

    ledger: ledger_module.Ledger
    disturbances: disturbances_module.Disturbances
    entries: dict[str, model.WorkerEntry] = attrs.field(factory=dict)
    runs: dict[str, dict[tuple[model.TaskName, int], ledger_module.Run]] = (
        attrs.field(factory=dict)
    )
    ends: dict[str, list[observations.RunEnded]] = attrs.field(factory=dict)
    senders: dict[tuple[str, int], str] = attrs.field(factory=dict)
    drained_at: dict[str, float] = attrs.field(factory=dict)

    def find_reserved(self, worker_id: str) -> resources.Vector:
        """Returns what the runs of a worker take."""
        total = NO_AMOUNT
        for run in self.runs.get(worker_id, {}).values():
            total = total.plus(run.amount)
        return total

    def is_in_touch(self, sender: str, at: float) -> bool:
        """Tells whether an instance and the store have been calm for long."""
        return self.disturbances.is_calm(
            at, at, sender, margin_s=disturbances_module.CONTACT_S
        )

    def see_submission(
        self,
        facts: ledger_module.JobFacts,
        answer: caller_module.Answer,
        now: float,
    ) -> None:
        """Takes the answer to a submission."""
        if answer.outcome is not caller_module.Outcome.UNDECIDED:
            facts.open_attempts -= 1
        if answer.outcome is caller_module.Outcome.OK:
            facts.accepted_at = facts.accepted_at or now
        elif answer.outcome is caller_module.Outcome.REFUSED:
            facts.refused += 1
            self.check_refused(facts)
        elif answer.outcome is not caller_module.Outcome.UNDECIDED:
            self._break(facts, "answered", f"submission got {answer.detail}")

    def check_refused(self, facts: ledger_module.JobFacts) -> None:
        """Checks that no job runs of which every submission was refused."""
        if (
            facts.started_at is not None
            and facts.refused
            and not facts.open_attempts
            and facts.accepted_at is None
        ):
            self._break(facts, "refused work never starts", "it has started")

    def see_state(
        self,
        facts: ledger_module.JobFacts,
        answer: caller_module.Answer,
        sent_at: float,
        now: float,
    ) -> None:
        """Takes the answer to a question for a job's state."""
        if answer.outcome is caller_module.Outcome.GONE:
            if facts.accepted_at and facts.accepted_at < sent_at:
                self._break(facts, "accepted work is known", answer.detail)
            return
        if answer.outcome is not caller_module.Outcome.OK:
            return
        shown = answer.shown
        if facts.shown in FINAL and shown != facts.shown:
            # Answers may overtake each other; final states do not change.
            text = f"shown as {facts.shown}, then as {shown}"
            if shown in FINAL or sent_at > (facts.ended_at or now):
                self._break(facts, "final states stay", text)
            return
        facts.shown = shown
        if shown in FINAL:
            facts.ended_at = facts.ended_at or now
            self._check_final(facts, shown)

    def _check_final(self, facts: ledger_module.JobFacts, shown: str) -> None:
        if shown == "completed":
            missing = [
                name
                for name, task in facts.tasks.items()
                if task.done_at is None
            ]
            if missing:
                self._break(facts, "completed is true", f"not done: {missing}")
        elif shown == "failed":
            most = max(len(task.failed) for task in facts.tasks.values())
            if most < work.MAX_ATTEMPTS:
                self._break(facts, "failed is true", f"{most} runs failed")
        elif facts.cancel_sent_at is None:
            self._break(facts, "cancelled is true", "nobody cancelled it")

    def see_pending(
        self, queue: str, count: int, sender: str, sent_at: float
    ) -> None:
        """Takes the number of a queue's jobs of which nothing has started."""
        if not self.is_in_touch(sender, sent_at):
            return
        waiting = [
            facts
            for facts in self.ledger.jobs.values()
            if facts.job.queue.name == queue
            and facts.accepted_at
            and sent_at - facts.accepted_at > VISIBLE_S
            and facts.started_at is None
            and facts.cancel_sent_at is None
            and facts.ended_at is None
        ]
        if count * 2 < len(waiting):
            text = f"{sender} counts {count} of {len(waiting)} in {queue}"
            self.ledger.break_promise("waiting work is counted", "", text)

    def sample(self, now: float) -> None:
        """Checks what depends on the passing of time."""
        for facts in self.ledger.jobs.values():
            self._check_cancelled(facts, now)
            self._check_idle(facts, now)

    def _check_cancelled(
        self, facts: ledger_module.JobFacts, now: float
    ) -> None:
        if facts.cancelled_at is None:
            return
        for task in facts.tasks.values():
            for run in list(task.runs.values()):
                since = max(facts.cancelled_at, run.seen_at)
                parties = (run.sender, run.worker_id)
                late_s = now - since - CANCEL_S - STOP_S
                if late_s > 0 and self.disturbances.is_calm(
                    since, now, margin_s=disturbances_module.CONTACT_S
                ):
                    text = f"{run.task} runs on {parties} {late_s:.2f} s late"
                    self._break(facts, "cancelled work stops", text)
                    task.runs.pop(run.worker_id)

    def _check_idle(self, facts: ledger_module.JobFacts, now: float) -> None:
        bound_s = IDLE_LASTING_S if facts.job.lasts else IDLE_S
        calm_since = now - bound_s
        if not (
            facts.accepted_at
            and facts.cancel_sent_at is None
            and facts.ended_at is None
            and self._could_start(facts)
            and self.disturbances.is_calm(calm_since, now, margin_s=IDLE_CALM_S)
        ):
            facts.idle_since = None
            return
        facts.idle_since = facts.idle_since or max(now, facts.accepted_at)
        if now - facts.idle_since > bound_s:
            text = f"nothing runs for {bound_s:g} s though there is room"
            self._break(facts, "accepted work goes on", text)
            facts.idle_since = None

    def _could_start(self, facts: ledger_module.JobFacts) -> bool:
        """Tells whether nothing runs and there is room twice over."""
        for task in facts.tasks.values():
            if task.runs and not facts.job.lasts:
                return False
        return any(
            task.done_at is None
            and not task.runs
            and facts.is_released(number)
            and self._has_room(facts.job.steps[number], facts.job)
            for (number, _), task in facts.tasks.items()
        )

    def _has_room(self, step: model.Step, job: work.Job) -> bool:
        twice = step.amount.plus(step.amount)
        used = total = 0
        fits = False
        for worker_id, entry in self.entries.items():
            if entry.service != job.queue.service or entry.draining:
                continue
            reserved = self.find_reserved(worker_id)
            used += reserved.cpu_millis
            total += entry.capacity.cpu_millis
            usable = step.required_label in ("", *entry.labels)
            room = entry.capacity.minus(reserved)
            fits = fits or usable and twice.fits(room)
        return fits and used * 2 < total

    def _break(
        self, facts: ledger_module.JobFacts, promise: str, text: str
    ) -> None:
        self.ledger.break_promise(promise, facts.job.job_id, text)


@functools.singledispatch
def observe(event: observations.Observation, promises: Promises) -> None:
    """Takes what a worker saw, and checks the promises that it concerns."""


@observe.register
def _(event: observations.OrderReceived, promises: Promises) -> None:
    if not event.sender:
        return
    key = (event.worker_id, event.token)
    known = promises.senders.setdefault(key, event.sender)
    if known != event.sender:
        text = f"{known} and {event.sender} call {event.worker_id} as"
        promises.ledger.break_promise(
            "one owner a token", "", f"{text} {event.token}"
        )


@observe.register
def _(event: observations.RunStarted, promises: Promises) -> None:
    book = promises.ledger
    book.starts += 1
    step = book.find_step(event.task)
    facts = book.jobs.get(event.task.job_id)
    if step is None or facts is None:
        name = event.task.job_id
        book.break_promise("only submitted work runs", name, str(event))
        return
    task = facts.tasks[(event.task.step, event.task.index)]
    facts.started_at = facts.started_at or event.at
    for name, text in find_faults(event, promises, facts, task, step):
        where = f"{event.task.step}.{event.task.index} run {event.number}"
        sent = f"on {event.worker_id} by {event.sender}, token {event.token}"
        late = ", carried out late" if event.late else ""
        book.break_promise(
            name, event.task.job_id, f"{where} {sent}{late}: {text}"
        )
    promises.check_refused(facts)
    amount = step.amount
    if step.fills:
        amount = attrs.evolve(amount, cpu_millis=0)
    run = ledger_module.Run(
        event.worker_id,
        event.task,
        event.number,
        amount,
        event.sender,
        event.at,
    )
    task.runs[event.worker_id] = run
    task.started_at = event.at
    on_worker = promises.runs.setdefault(event.worker_id, {})
    on_worker[(event.task, event.number)] = run


def find_faults(
    event: observations.RunStarted,
    promises: Promises,
    facts: ledger_module.JobFacts,
    task: ledger_module.TaskFacts,
    step: model.Step,
) -> list[tuple[str, str]]:
    """Returns the promises that a start breaks, and how."""
    faults = []
    for run in task.runs.values():
        text = f"run {run.number} goes on at {run.worker_id} from {run.sender}"
        faults.append(("one run at a time", text))
    if task.noted and not step.long_running:
        faults.append(("done work is not run again", "its end was noted"))
    if not facts.is_released(event.task.step):
        faults.append(("order of steps", f"after {step.after}"))
    if len(task.failed_noted) >= work.MAX_ATTEMPTS and not step.long_running:
        faults.append(("limit of attempts", f"{len(task.failed)} failed"))
    if event.spec != facts.job.spec:
        faults.append(("specs are kept", event.spec))
    if event.checkpoint and event.checkpoint not in task.saved:
        faults.append(("checkpoints are kept", event.checkpoint))
    faults += _find_place_faults(event, promises, facts, step)
    faults += _find_late_faults(event, promises, facts)
    return faults


def _find_place_faults(
    event: observations.RunStarted,
    promises: Promises,
    facts: ledger_module.JobFacts,
    step: model.Step,
) -> list[tuple[str, str]]:
    faults = []
    entry = promises.entries[event.worker_id]
    reserved = promises.find_reserved(event.worker_id)
    amount = step.amount
    if step.fills:
        amount = attrs.evolve(amount, cpu_millis=0)
    if not reserved.plus(amount).fits(entry.capacity):
        faults.append(("capacity", f"{amount} beside {reserved}"))
    if step.required_label not in ("", *entry.labels):
        faults.append(("labels", f"{entry.labels}"))
    if entry.service != facts.job.queue.service:
        faults.append(("services", entry.service))
    beside = [
        name
        for name, _ in promises.runs.get(event.worker_id, {})
        if (name.job_id, name.step) == (event.task.job_id, event.task.step)
    ]
    if step.max_per_worker and len(beside) >= step.max_per_worker:
        faults.append(("spread", f"beside {len(beside)} others"))
    return faults


def _find_late_faults(
    event: observations.RunStarted,
    promises: Promises,
    facts: ledger_module.JobFacts,
) -> list[tuple[str, str]]:
    """Returns broken promises that bind only instances in touch."""
    faults: list[tuple[str, str]] = []
    if event.late or not promises.is_in_touch(event.sender, event.at):
        return faults
    cancelled_at = facts.cancelled_at
    if cancelled_at is not None and event.at - cancelled_at > CANCEL_S:
        text = f"{event.at - cancelled_at:.2f} s after its cancellation"
        faults.append(("cancelled work does not start", text))
    ended_at = facts.ended_at if facts.shown == "completed" else None
    if ended_at is not None and event.at - ended_at > NOTED_S:
        faults.append(("done work is not run again", "job was completed"))
    drained_at = promises.drained_at.get(event.worker_id)
    if drained_at is not None and event.at - drained_at > DRAIN_S:
        text = f"{event.at - drained_at:.2f} s after the worker's notice"
        faults.append(("workers that leave get no work", text))
    return faults


@observe.register
def _(event: observations.RunEnded, promises: Promises) -> None:
    promises.runs.get(event.worker_id, {}).pop((event.task, event.number), None)
    facts = promises.ledger.jobs[event.task.job_id]
    task = facts.tasks[(event.task.step, event.task.index)]
    run = task.runs.get(event.worker_id)
    if run is not None and run.number == event.number:
        task.runs.pop(event.worker_id)
    task.last_at = event.at
    if event.checkpoint:
        _note_saved(task, event.checkpoint)
    if event.kind is model.EndKind.DONE:
        task.done_at = task.done_at or event.at
    elif event.kind is model.EndKind.FAILED:
        task.failed.add((event.worker_id, event.number))
    promises.ends.setdefault(event.worker_id, []).append(event)


@observe.register
def _(event: observations.CheckpointListed, promises: Promises) -> None:
    facts = promises.ledger.jobs[event.task.job_id]
    task = facts.tasks[(event.task.step, event.task.index)]
    _note_saved(task, event.checkpoint)


def _note_saved(task: ledger_module.TaskFacts, newest: str) -> None:
    name, _, units = newest.rpartition("@")
    for count in range(1, int(units) + 1):
        task.saved.add(f"{name}@{count}")


@observe.register
def _(event: observations.EndsForgotten, promises: Promises) -> None:
    ends = promises.ends.get(event.worker_id, [])
    kept = [end for end in ends if end.position > event.position]
    for end in ends:
        if end.position > event.position:
            continue
        facts = promises.ledger.jobs[end.task.job_id]
        task = facts.tasks[(end.task.step, end.task.index)]
        if end.kind is model.EndKind.FAILED:
            task.failed_noted.add((end.worker_id, end.number))
        if end.kind is not model.EndKind.DONE:
            continue
        if end.position <= event.lapsed_position:
            continue
        task.noted = True
        if task.started_at > end.at:
            text = f"{end.task} run {end.number} on {end.worker_id}"
            promises.ledger.break_promise(
                "done work is not run again",
                end.task.job_id,
                f"{text}: started again before the end was noted",
            )
    promises.ends[event.worker_id] = kept


@observe.register
def _(event: observations.WorkerLost, promises: Promises) -> None:
    for (task, _), run in promises.runs.pop(event.worker_id, {}).items():
        facts = promises.ledger.jobs[task.job_id]
        known = facts.tasks[(task.step, task.index)]
        if known.runs.get(event.worker_id) is run:
            known.runs.pop(event.worker_id)
        known.last_at = event.at
    promises.ends.pop(event.worker_id, None)
    promises.drained_at.pop(event.worker_id, None)
    for key in [key for key in promises.senders if key[0] == event.worker_id]:
        promises.senders.pop(key)

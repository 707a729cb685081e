"""Lists the longest times without a run of long-running tasks, from logs.

Reads the merged log lines of all instances from files. The loss of a worker
has no line of its own: it is taken to be the last sign of the worker that an
instance logs before the task starts again.
"""

import argparse
from collections.abc import Iterable
from collections.abc import Iterator
import datetime
import fileinput
import itertools
import re
import shlex

import attrs

WORKER_NAME = re.compile(r"'([^']+)'")
LINE = re.compile(
    r"(\d{4}-\d\d-\d\d \d\d:\d\d:\d\d,\d{3}) INFO ([a-z]+): (\w+) (.*)"
)
DEFAULT_COUNT = 10
# Ends of runs that only tasks of limited duration have.
DONE = "done"
# Lines that tell how long ago a worker last answered.
CONTACT_LINES = frozenset({"silent", "deregistered", "order"})


@attrs.frozen
class Line:
    """A parsed log line.

    Attributes:
        at: Time of the line, in seconds since the epoch.
        text: What the line reports.
        fields: Its values by name.
    """

    at: float
    text: str
    fields: dict[str, str]


@attrs.define
class Run:
    """A run of a task.

    Attributes:
        worker: Id of the worker.
        ordered_at: Time at which the start was sent, in seconds.
        ended_at: Time at which its end was listed, in seconds; None if it was
            not.
        known_at: Time at which its owner took it as ended, in seconds; None
            if no line tells.
        former_ended_at: Times at which a successor took the runs of former
            owners on the worker as ended, in seconds.
    """

    worker: str
    ordered_at: float
    ended_at: float | None = None
    known_at: float | None = None
    former_ended_at: list[float] = attrs.field(factory=list)

    def settle(self, until: float) -> None:
        """Finds when a successor took the run as ended, if its owner did not.

        Args:
            until: Time of the next start of the task, in seconds.
        """
        if self.known_at is None:
            times = [at for at in self.former_ended_at if at <= until]
            self.known_at = max(times, default=None)


@attrs.define
class Job:
    """A job whose tasks have runs.

    Attributes:
        queue: Name of its queue.
        ended_at: Time at which it ended or was removed, in seconds.
        moves: Times at which tasks of it were moved, in seconds.
    """

    queue: str = ""
    ended_at: float | None = None
    moves: list[float] = attrs.field(factory=list)


@attrs.frozen
class Wait:
    """A time without a run.

    Attributes:
        task: Name of the task.
        worker: Worker of the run before.
        lost_at: When the run before ended, in seconds.
        unknown_s: Time until its owner took it as ended, in seconds; negative
            if no line tells.
        total_s: Time until the next start was sent, in seconds.
        moves: Number of moves of tasks of the job meanwhile.
        is_open: Whether the task did not start again in these logs.
    """

    task: str
    worker: str
    lost_at: float
    unknown_s: float
    total_s: float
    moves: int
    is_open: bool


@attrs.define
class History:
    """What the logs tell of jobs, runs and workers.

    Attributes:
        jobs: Jobs by id.
        runs: Runs by task, in the order of their starts.
        contacts: Times at which each worker answered, in seconds.
        done_queues: Queues with tasks that were done.
        last_at: Time of the last line, in seconds.
    """

    jobs: dict[str, Job] = attrs.field(factory=dict)
    runs: dict[str, dict[str, Run]] = attrs.field(factory=dict)
    contacts: dict[str, list[float]] = attrs.field(factory=dict)
    done_queues: set[str] = attrs.field(factory=set)
    last_at: float = 0.0

    def add(self, line: Line) -> None:
        """Adds a line."""
        fields = line.fields
        self.last_at = max(self.last_at, line.at)
        job = self.jobs.setdefault(fields.get("job", ""), Job())
        if line.text in CONTACT_LINES and fields.get("contact_age_s"):
            answered_at = line.at - float(fields["contact_age_s"])
            worker = fields["worker"]
            self.contacts.setdefault(worker, []).append(answered_at)
        match line.text:
            case "known":
                job.queue = fields["queue"]
            case "removed" | "ended" if "job" in fields:
                job.ended_at = line.at
            case "move":
                job.moves.append(line.at)
            case "order":
                task = f"{fields['job']}.{fields['task']}"
                run = Run(fields["worker"], line.at)
                self.runs.setdefault(task, {})[fields["run"]] = run
            case "end":
                self._add_end(line, job)
            case "runs_lost":
                for name in fields["runs"].split(","):
                    self._add_loss(name, line.at)
            case "former_ended":
                self._add_former_end(fields["workers"], line.at)

    def _add_end(self, line: Line, job: Job) -> None:
        fields = line.fields
        if fields["how"] == DONE:
            self.done_queues.add(job.queue)
        task = f"{fields['job']}.{fields['task']}"
        run = self.runs.get(task, {}).get(fields["run"])
        if run is not None:
            run.ended_at = run.known_at = line.at

    def _add_loss(self, name: str, at: float) -> None:
        task, _, number = name.partition("/")
        run = self.runs.get(task, {}).get(number)
        if run is not None:
            run.known_at = at

    def _add_former_end(self, workers: str, at: float) -> None:
        """Adds that the runs of former owners on some workers have ended.

        Runs that the owner itself has started there may go on.
        """
        names = set(WORKER_NAME.findall(workers))
        for runs in self.runs.values():
            for run in runs.values():
                if run.worker in names and run.known_at is None:
                    run.former_ended_at.append(at)

    def list_waits(self) -> Iterator[Wait]:
        """Returns the times without a run of all long-running tasks."""
        for task, runs in self.runs.items():
            job = self.jobs[task.split(".")[0]]
            if job.queue in self.done_queues:
                continue
            ordered = sorted(runs.values(), key=lambda run: run.ordered_at)
            for run, following in itertools.pairwise(ordered):
                run.settle(following.ordered_at)
            for run, following in zip(ordered, ordered[1:], strict=False):
                yield self._make_wait(task, job, run, following.ordered_at)
            last = ordered[-1]
            if last.known_at is not None and job.ended_at is None:
                yield self._make_wait(task, job, last, None)

    def _make_wait(
        self, task: str, job: Job, run: Run, started_at: float | None
    ) -> Wait:
        until = self.last_at if started_at is None else started_at
        lost_at = self._find_end(run, until)
        return Wait(
            task,
            run.worker,
            lost_at,
            -1.0 if run.known_at is None else run.known_at - lost_at,
            until - lost_at,
            sum(lost_at <= at <= until for at in job.moves),
            started_at is None,
        )

    def _find_end(self, run: Run, until: float) -> float:
        """Returns when a run ended, or when its worker last answered."""
        if run.ended_at is not None:
            return run.ended_at
        limit = until if run.known_at is None else run.known_at
        signs = [
            at
            for at in self.contacts.get(run.worker, ())
            if run.ordered_at <= at < limit
        ]
        return max(signs, default=run.ordered_at)


def parse(lines: Iterable[str]) -> Iterator[Line]:
    """Returns the lines that have the form of the project's logs."""
    for text in lines:
        found = LINE.search(text)
        if found is None:
            continue
        time, _, name, rest = found.groups()
        at = datetime.datetime.fromisoformat(f"{time}+00:00")
        try:
            words = shlex.split(rest)
        except ValueError:
            continue
        fields = dict(word.split("=", 1) for word in words if "=" in word)
        yield Line(at.timestamp(), name, fields)


def main() -> None:
    """Prints the longest times without a run."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("files", nargs="+")
    parser.add_argument("--count", type=int, default=DEFAULT_COUNT)
    arguments = parser.parse_args()
    history = History()
    with fileinput.input(arguments.files) as lines:
        for line in parse(lines):
            history.add(line)
    waits = sorted(history.list_waits(), key=lambda wait: -wait.total_s)
    print(f"{len(waits)} times without a run of long-running tasks")
    for wait in waits[: arguments.count]:
        at = datetime.datetime.fromtimestamp(wait.lost_at, datetime.UTC)
        print(
            f"{wait.total_s:7.3f} s from {at:%H:%M:%S.%f} {wait.task}"
            f" worker={wait.worker} unknown_s={wait.unknown_s:.3f}"
            f" moves={wait.moves}{' open' if wait.is_open else ''}"
        )


if __name__ == "__main__":
    main()

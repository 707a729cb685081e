"""Callers that submit, repeat, query and cancel jobs."""

from __future__ import annotations

import asyncio
import random
import time

import attrs

from sapphirestall_standins import caller_client
from soak import guarantees as guarantees_module
from soak import history as history_module
from soak import processes
from soak import workload

CALL_DEADLINE_S = 3.0
MAX_SUBMISSION_ATTEMPTS = 10
MAX_OPEN_JOBS = 3
SUBMISSION_INTERVAL_S = (0.1, 0.9)
STATE_QUERY_INTERVAL_S = (0.5, 2.0)
RETRY_DELAY_S = (0.1, 0.5)
REPEAT_FRACTION = 0.15
REPEAT_DELAY_S = (0.5, 5.0)
CANCEL_FRACTION = 0.15
CANCEL_DELAY_S = (0.0, 3.0)
# Share of the jobs, in percent, whose caller cancels them after a submission
# without an answer instead of repeating it.
ABANDONED_PERCENT = 30
PENDING_QUERY_FRACTION = 0.2
READINESS_INTERVAL_S = 1.0
READINESS_TIMEOUT_S = 0.5
# An instance that has failed this many consecutive readiness checks gets no new
# connections.
MAX_FAILED_CHECKS = 2
CANCEL_CONFIRMATIONS = (caller_client.Outcome.OK, caller_client.Outcome.GONE)


@attrs.define(eq=False)
class LoadBalancer:
    """Selects instances for callers' connections by their readiness.

    Attributes:
        instances: All instances by name, including removed ones.
        addresses: Address at which callers reach each instance that was not
            removed.
        failed_checks: Number of consecutive failed readiness checks, by
            instance; larger by MAX_FAILED_CHECKS if the instance has not passed
            one yet.
    """

    instances: dict[str, processes.Instance]
    addresses: dict[str, str] = attrs.field(factory=dict)
    failed_checks: dict[str, int] = attrs.field(factory=dict)

    async def run_checks(self) -> None:
        """Checks the readiness of all instances until it is cancelled."""
        while True:
            checks = [self._check(name) for name in self.addresses]
            await asyncio.gather(*checks, asyncio.sleep(READINESS_INTERVAL_S))

    async def _check(self, name: str) -> None:
        address = self.instances[name].ready_address
        if await caller_client.is_ready(address, READINESS_TIMEOUT_S):
            self.failed_checks[name] = 0
        else:
            self.failed_checks[name] = (
                self.failed_checks.get(name, MAX_FAILED_CHECKS) + 1
            )

    def choose_instance(self, data_centre: str, rng: random.Random) -> str:
        """Returns an instance of a data centre for a new connection.

        If no instance is ready, it returns one that is not.
        """
        local = [
            name
            for name, instance in self.instances.items()
            if instance.data_centre == data_centre and name in self.addresses
        ]
        ready = [
            name
            for name in local
            if self.failed_checks.get(name, 0) < MAX_FAILED_CHECKS
        ]
        return rng.choice(ready or local)


@attrs.define(eq=False)
class Caller:
    """A caller with a few open jobs.

    Attributes:
        data_centre: Data centre whose instances it calls.
        rng: Random numbers of this caller.
        client: Sends its calls over persistent connections.
        load_balancer: Selects the instances that it calls.
        checker: Checks the answers that it gets.
        instance: Name of the instance that it currently calls.
        closing: Whether it submits no more jobs.
        jobs: Tasks of its open jobs.
    """

    data_centre: str
    rng: random.Random
    client: caller_client.CallerClient
    load_balancer: LoadBalancer
    checker: guarantees_module.Checker
    instance: str = ""
    closing: bool = False
    jobs: set[asyncio.Task[None]] = attrs.field(factory=set)

    async def run(self) -> None:
        """Submits jobs until `closing` is set; waits until all have ended."""
        while not self.closing:
            await asyncio.sleep(self.rng.uniform(*SUBMISSION_INTERVAL_S))
            if len(self.jobs) < MAX_OPEN_JOBS:
                task = asyncio.create_task(
                    self.run_job(workload.draw_job(self.rng))
                )
                self.jobs.add(task)
                task.add_done_callback(self.jobs.discard)
            if self.rng.random() < PENDING_QUERY_FRACTION:
                await self.query_pending()
        while self.jobs:
            await asyncio.gather(*self.jobs)

    def find_address(self) -> str:
        """Returns the address of the current instance.

        An instance that was removed is replaced by another one first.
        """
        if self.instance not in self.load_balancer.addresses:
            self.switch_instance()
        return self.load_balancer.addresses[self.instance]

    def switch_instance(self) -> None:
        """Selects an instance for the next calls."""
        self.instance = self.load_balancer.choose_instance(
            self.data_centre, self.rng
        )

    async def run_job(self, job: workload.Job) -> None:
        """Submits a job and queries it until it ends.

        Some jobs are also submitted again or cancelled.
        """
        job_history = self.checker.history.add(job)
        if not await self.submit(job_history):
            return
        other_calls = []
        if self.rng.random() < REPEAT_FRACTION:
            other_calls.append(
                asyncio.create_task(self.repeat_submission(job_history))
            )
        will_cancel = self.rng.random() < CANCEL_FRACTION
        if will_cancel:
            delay_s = self.rng.uniform(*CANCEL_DELAY_S)
            other_calls.append(
                asyncio.create_task(self.cancel(job_history, delay_s))
            )
        while job_history.shown_state not in guarantees_module.FINAL_STATES:
            await asyncio.sleep(self.rng.uniform(*STATE_QUERY_INTERVAL_S))
            if job.is_long_running and self.closing and not will_cancel:
                # The checks at the end of the soak check and cancel the job.
                break
            await self.query_state(job_history)
        await asyncio.gather(*other_calls)

    async def submit(self, job_history: history_module.JobHistory) -> bool:
        """Submits a job with retries; returns whether it was accepted.

        Some jobs are cancelled after an attempt without an answer.
        """
        for _ in range(MAX_SUBMISSION_ATTEMPTS):
            answer = await self._send_submission(job_history)
            if answer.outcome is caller_client.Outcome.OK:
                return True
            if answer.outcome is not caller_client.Outcome.REFUSED:
                self.switch_instance()
                if _is_abandoned(job_history.job):
                    await self.cancel(job_history)
                    return False
            pause_s = answer.retry_after_s or self.rng.uniform(*RETRY_DELAY_S)
            await asyncio.sleep(pause_s)
        return False

    async def _send_submission(
        self, job_history: history_module.JobHistory
    ) -> caller_client.Answer:
        job = job_history.job
        job_history.open_attempts += 1
        answer = await self.client.submit(
            self.find_address(),
            job.queue,
            job.job_id,
            job.spec,
            job.steps,
            CALL_DEADLINE_S,
        )
        self.checker.record_submission(job_history, answer, time.monotonic())
        return answer

    async def repeat_submission(
        self, job_history: history_module.JobHistory
    ) -> None:
        """Submits an accepted job once more, possibly to another instance."""
        await asyncio.sleep(self.rng.uniform(*REPEAT_DELAY_S))
        self.switch_instance()
        await self._send_submission(job_history)

    async def cancel(
        self, job_history: history_module.JobHistory, delay_s: float = 0.0
    ) -> None:
        """Cancels a job; repeats the call until it is confirmed.

        The answer that there is no such job confirms it as well.

        Args:
            job_history: History of the job.
            delay_s: Time to wait before the first call, in seconds.
        """
        await asyncio.sleep(delay_s)
        while job_history.cancelled_at is None:
            job_history.cancel_sent_at = (
                job_history.cancel_sent_at or time.monotonic()
            )
            answer = await self._call("DELETE", job_history)
            if answer.outcome in CANCEL_CONFIRMATIONS:
                job_history.cancelled_at = time.monotonic()
                return
            if answer.outcome is caller_client.Outcome.UNDECIDED:
                self.switch_instance()
            pause_s = answer.retry_after_s or self.rng.uniform(*RETRY_DELAY_S)
            await asyncio.sleep(pause_s)

    async def query_state(self, job_history: history_module.JobHistory) -> None:
        """Queries the state of a job."""
        answer = await self._call("GET", job_history)
        if answer.outcome is caller_client.Outcome.UNDECIDED:
            self.switch_instance()

    async def _call(
        self, method: str, job_history: history_module.JobHistory
    ) -> caller_client.Answer:
        sent_at = time.monotonic()
        answer = await self.client.call(
            method,
            self.find_address(),
            job_history.job.queue,
            job_history.job.job_id,
            CALL_DEADLINE_S,
        )
        now = time.monotonic()
        if method == "GET" or answer.outcome is caller_client.Outcome.GONE:
            self.checker.record_state(job_history, answer, sent_at, now)
        return answer

    async def query_pending(self) -> None:
        """Queries the number of pending jobs of a random queue."""
        queue = self.rng.choice(workload.QUEUES)
        sent_at = time.monotonic()
        address = self.find_address()
        sender = self.instance
        answer = await self.client.call(
            "GET", address, queue, "", CALL_DEADLINE_S
        )
        if answer.outcome is caller_client.Outcome.OK:
            self.checker.check_pending(
                queue.name, answer.pending, sender, sent_at
            )
        elif answer.outcome is caller_client.Outcome.UNDECIDED:
            self.switch_instance()


def _is_abandoned(job: workload.Job) -> bool:
    """Returns whether the caller cancels a job instead of repeating it.

    The id decides, so that the random numbers of a seed stay the same.
    """
    return int(job.job_id, 16) % 100 < ABANDONED_PERCENT

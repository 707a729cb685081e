"""Callers: hand jobs in, repeat, ask, cancel; each keeps its connections."""

from __future__ import annotations

import asyncio
import random
import time

import attrs

from sapphirestall_standins import caller_client as wire
from soak import guarantees as promises_module
from soak import history as ledger_module
from soak import processes
from soak import workload as work

DEADLINE_S = 3.0
ATTEMPTS = 10
OPEN_JOBS = 3
PAUSE_S = (0.1, 0.9)
POLL_S = (0.5, 2.0)
RETRY_S = (0.1, 0.5)
REPEAT_SHARE = 0.15
REPEAT_S = (0.5, 5.0)
CANCEL_SHARE = 0.15
CANCEL_S = (0.0, 3.0)
COUNT_SHARE = 0.2
READY_S = 1.0
READY_TIMEOUT_S = 0.5
# Misses after which an instance gets no new connections.
MISSES = 2


@attrs.define(eq=False)
class Entrance:
    """The instances that callers reach, and those that are ready.

    Attributes:
        addresses: Address at which callers reach each instance.
        misses: Readiness checks in a row that an instance missed.
    """

    instances: dict[str, processes.Instance]
    addresses: dict[str, str] = attrs.field(factory=dict)
    misses: dict[str, int] = attrs.field(factory=dict)

    async def watch(self) -> None:
        """Checks which instances are ready, for as long as it runs."""
        while True:
            checks = [self._check(name) for name in self.addresses]
            await asyncio.gather(*checks, asyncio.sleep(READY_S))

    async def _check(self, name: str) -> None:
        address = self.instances[name].ready_address
        if await wire.is_ready(address, READY_TIMEOUT_S):
            self.misses[name] = 0
        else:
            self.misses[name] = self.misses.get(name, MISSES) + 1

    def choose(self, data_centre: str, rng: random.Random) -> str:
        """Returns an instance for a new connection."""
        local = [
            name
            for name, instance in self.instances.items()
            if instance.data_centre == data_centre and name in self.addresses
        ]
        ready = [name for name in local if self.misses.get(name, 0) < MISSES]
        return rng.choice(ready or local)


@attrs.define(eq=False)
class Caller:
    """One caller with a few open jobs.

    Attributes:
        instance: The instance to which its connections go.
        closing: Whether it hands in no more jobs.
    """

    data_centre: str
    rng: random.Random
    connection: wire.Caller
    entrance: Entrance
    promises: promises_module.Promises
    instance: str = ""
    closing: bool = False
    jobs: set[asyncio.Task[None]] = attrs.field(factory=set)

    async def run(self) -> None:
        """Hands in jobs until it is told to close; waits for all of them."""
        while not self.closing:
            await asyncio.sleep(self.rng.uniform(*PAUSE_S))
            if len(self.jobs) < OPEN_JOBS:
                task = asyncio.create_task(self.follow(work.draw_job(self.rng)))
                self.jobs.add(task)
                task.add_done_callback(self.jobs.discard)
            if self.rng.random() < COUNT_SHARE:
                await self.count()
        while self.jobs:
            await asyncio.gather(*self.jobs)

    def find_address(self) -> str:
        """Returns the address of the instance that it uses."""
        if self.instance not in self.entrance.addresses:
            self.leave()
        return self.entrance.addresses[self.instance]

    def leave(self) -> None:
        """Chooses another instance for its next connection."""
        self.instance = self.entrance.choose(self.data_centre, self.rng)

    async def follow(self, job: work.Job) -> None:
        """Sees one job from its submission to its end."""
        facts = self.promises.ledger.add(job)
        if not await self.submit(facts):
            return
        others = []
        if self.rng.random() < REPEAT_SHARE:
            others.append(asyncio.create_task(self.repeat(facts)))
        cancels = self.rng.random() < CANCEL_SHARE
        if cancels:
            delay_s = self.rng.uniform(*CANCEL_S)
            others.append(asyncio.create_task(self.cancel(facts, delay_s)))
        while facts.shown not in promises_module.FINAL:
            await asyncio.sleep(self.rng.uniform(*POLL_S))
            if job.lasts and self.closing and not cancels:
                # The checks at the end of the run look at it.
                break
            await self.ask(facts)
        await asyncio.gather(*others)

    async def submit(self, facts: ledger_module.JobFacts) -> bool:
        """Hands in a job; tells whether it was accepted."""
        for _ in range(ATTEMPTS):
            answer = await self._send_submission(facts)
            if answer.outcome is wire.Outcome.OK:
                return True
            if answer.outcome is not wire.Outcome.REFUSED:
                self.leave()
            pause_s = answer.retry_after_s or self.rng.uniform(*RETRY_S)
            await asyncio.sleep(pause_s)
        return False

    async def _send_submission(
        self, facts: ledger_module.JobFacts
    ) -> wire.Answer:
        job = facts.job
        facts.open_attempts += 1
        answer = await self.connection.submit(
            self.find_address(),
            job.queue,
            job.job_id,
            job.spec,
            job.steps,
            DEADLINE_S,
        )
        self.promises.see_submission(facts, answer, time.monotonic())
        return answer

    async def repeat(self, facts: ledger_module.JobFacts) -> None:
        """Hands in an accepted job once more, at any instance."""
        await asyncio.sleep(self.rng.uniform(*REPEAT_S))
        self.leave()
        await self._send_submission(facts)

    async def cancel(
        self, facts: ledger_module.JobFacts, delay_s: float = 0.0
    ) -> None:
        """Cancels a job; repeats that until it is confirmed."""
        await asyncio.sleep(delay_s)
        while facts.cancelled_at is None:
            facts.cancel_sent_at = facts.cancel_sent_at or time.monotonic()
            answer = await self._call("DELETE", facts)
            if answer.outcome is wire.Outcome.OK:
                facts.cancelled_at = time.monotonic()
                return
            if answer.outcome is wire.Outcome.GONE:
                return
            if answer.outcome is wire.Outcome.UNDECIDED:
                self.leave()
            pause_s = answer.retry_after_s or self.rng.uniform(*RETRY_S)
            await asyncio.sleep(pause_s)

    async def ask(self, facts: ledger_module.JobFacts) -> None:
        """Asks for the state of a job."""
        answer = await self._call("GET", facts)
        if answer.outcome is wire.Outcome.UNDECIDED:
            self.leave()

    async def _call(
        self, method: str, facts: ledger_module.JobFacts
    ) -> wire.Answer:
        sent_at = time.monotonic()
        answer = await self.connection.call(
            method,
            self.find_address(),
            facts.job.queue,
            facts.job.job_id,
            DEADLINE_S,
        )
        now = time.monotonic()
        if method == "GET" or answer.outcome is wire.Outcome.GONE:
            self.promises.see_state(facts, answer, sent_at, now)
        return answer

    async def count(self) -> None:
        """Asks how many jobs of a queue wait."""
        queue = self.rng.choice(work.QUEUES)
        sent_at = time.monotonic()
        address = self.find_address()
        sender = self.instance
        answer = await self.connection.call(
            "GET", address, queue, "", DEADLINE_S
        )
        if answer.outcome is wire.Outcome.OK:
            self.promises.see_pending(
                queue.name, answer.pending, sender, sent_at
            )
        elif answer.outcome is wire.Outcome.UNDECIDED:
            self.leave()

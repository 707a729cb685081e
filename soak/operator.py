"""The operator: writes versions of the configuration and looks for them."""

from __future__ import annotations

import asyncio
import random
import time

import attrs

from sapphirestall_core.batch import model
from sapphirestall_standins import caller_client as wire
from soak import deployment as site_module
from soak import disturbances
from soak import workload as work

PAUSE_S = (3.0, 7.0)
PROBE_S = 0.25
DEADLINE_S = 2.0
# Bounds of the platform's rules, in seconds.
APPLY_S = 2.0
DOWNGRADE_SLACK_S = 0.25


@attrs.frozen
class Version:
    """A version of the configuration, told by a queue of its own."""

    number: int
    queue: model.Queue
    confirmed_at: float


@attrs.define(eq=False)
class Operator:
    """Writes versions; each adds one queue and removes that of the last.

    Attributes:
        versions: All versions so far.
        newest_seen: Newest version that each process has shown, and when.
    """

    site: site_module.Site
    rng: random.Random
    connection: wire.Caller
    versions: list[Version] = attrs.field(factory=list)
    newest_seen: dict[tuple[str, float], Version] = attrs.field(factory=dict)

    async def run(self) -> None:
        """Writes versions whenever the store takes them, while it runs."""
        number = 1
        while True:
            await asyncio.sleep(self.rng.uniform(*PAUSE_S))
            if self.site.store.faults.down:
                continue
            number += self.rng.randint(1, 5)
            name = f"probe{number}"
            queue = attrs.evolve(work.QUEUES[0], name=name, prefix=f"/{name}/")
            self.site.publish(number, (queue,))
            self.versions.append(Version(number, queue, time.monotonic()))

    async def probe(self) -> None:
        """Asks instances for the queues of the last two versions."""
        while True:
            await asyncio.sleep(PROBE_S)
            if not self.versions:
                continue
            name = self.rng.choice(list(self.site.entrance.addresses))
            version = self.rng.choice(self.versions[-2:])
            started_at = self.site.instances[name].started_at
            newest = self.versions[-1]
            sent_at = time.monotonic()
            answer = await self.connection.call(
                "GET",
                self.site.entrance.addresses[name],
                version.queue,
                "",
                DEADLINE_S,
            )
            shown = answer.outcome is wire.Outcome.OK
            if shown:
                self._check_order((name, started_at), version, sent_at)
            unknown = answer.outcome is wire.Outcome.UNKNOWN_QUEUE
            late = unknown if version is newest else shown
            if late:
                self._check_age(name, newest, version, sent_at)

    def _check_order(
        self, process: tuple[str, float], version: Version, sent_at: float
    ) -> None:
        newest = self.newest_seen.get(process)
        if newest is None or newest.number < version.number:
            now = time.monotonic()
            seen = attrs.evolve(version, confirmed_at=now)
            self.newest_seen[process] = seen
        elif (
            newest.number > version.number
            and sent_at - newest.confirmed_at > DOWNGRADE_SLACK_S
        ):
            text = f"{process[0]}: {version.number} after {newest.number}"
            self.site.ledger.break_promise("versions never go back", "", text)

    def _check_age(
        self, name: str, newest: Version, asked: Version, sent_at: float
    ) -> None:
        age_s = sent_at - newest.confirmed_at
        calm = self.site.disturbances.is_calm(
            newest.confirmed_at,
            sent_at,
            name,
            margin_s=disturbances.CONTACT_S,
        )
        if age_s > APPLY_S and calm:
            text = f"{name} lacks {newest.number} after {age_s:.2f} s"
            self.site.ledger.break_promise(
                "versions come into force", "", f"{text}, asked {asked.number}"
            )

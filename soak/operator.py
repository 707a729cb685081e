"""Operator that publishes configurations and checks when instances apply them.

Each version adds a queue of its own and removes that of the version before. The
answers for these queues show which version an instance has applied.
"""

from __future__ import annotations

import asyncio
import random
import time

import attrs

from sapphirestall_core.batch import model
from sapphirestall_standins import caller_client
from soak import deployment as deployment_module
from soak import disturbances
from soak import workload

PUBLISH_INTERVAL_S = (3.0, 7.0)
PROBE_INTERVAL_S = 0.25
CALL_DEADLINE_S = 2.0
# Time limits of the platform's rules:
# An instance applies a new version within this time.
APPLY_LIMIT_S = 2.0
# A query that is sent this long after an answer showed a version must not find
# an older one.
DOWNGRADE_MARGIN_S = 0.25


@attrs.frozen
class Version:
    """A version of the configuration.

    Attributes:
        number: Number of the version.
        queue: Queue that only this version has.
        confirmed_at: Monotonic time at which the store had the version, or, of
            a served version, at which the answer arrived, in seconds.
    """

    number: int
    queue: model.Queue
    confirmed_at: float


@attrs.define(eq=False)
class Operator:
    """Publishes versions and queries instances for the versions' queues.

    Attributes:
        deployment: The deployment.
        rng: Random numbers of the operator.
        client: Sends the queries.
        versions: All published versions.
        newest_served: Newest version that each process has served, by the
            instance's name and the time at which the process was started.
    """

    deployment: deployment_module.Deployment
    rng: random.Random
    client: caller_client.CallerClient
    versions: list[Version] = attrs.field(factory=list)
    newest_served: dict[tuple[str, float], Version] = attrs.field(factory=dict)

    async def run(self) -> None:
        """Publishes versions until it is cancelled, except in store outages."""
        number = 1
        while True:
            await asyncio.sleep(self.rng.uniform(*PUBLISH_INTERVAL_S))
            if self.deployment.store.faults.outages:
                continue
            number += self.rng.randint(1, 5)
            name = f"probe{number}"
            queue = attrs.evolve(
                workload.QUEUES[0], name=name, prefix=f"/{name}/"
            )
            self.deployment.publish(number, (queue,))
            self.versions.append(Version(number, queue, time.monotonic()))

    async def probe(self) -> None:
        """Queries the last two versions' queues until it is cancelled.

        An instance lacks the newest version if it does not know that version's
        queue, or still serves the queue of the version before.
        """
        while True:
            await asyncio.sleep(PROBE_INTERVAL_S)
            if not self.versions:
                continue
            name = self.rng.choice(
                list(self.deployment.load_balancer.addresses)
            )
            version = self.rng.choice(self.versions[-2:])
            started_at = self.deployment.instances[name].started_at
            newest = self.versions[-1]
            sent_at = time.monotonic()
            answer = await self.client.call(
                "GET",
                self.deployment.load_balancer.addresses[name],
                version.queue,
                "",
                CALL_DEADLINE_S,
            )
            is_served = answer.outcome is caller_client.Outcome.OK
            if is_served:
                self._check_order((name, started_at), version, sent_at)
            unknown = answer.outcome is caller_client.Outcome.UNKNOWN_QUEUE
            is_outdated = unknown if version is newest else is_served
            if is_outdated:
                self._check_age(name, newest, version, sent_at)

    def _check_order(
        self, process: tuple[str, float], version: Version, sent_at: float
    ) -> None:
        newest = self.newest_served.get(process)
        if newest is None or newest.number < version.number:
            now = time.monotonic()
            served = attrs.evolve(version, confirmed_at=now)
            self.newest_served[process] = served
        elif (
            newest.number > version.number
            and sent_at - newest.confirmed_at > DOWNGRADE_MARGIN_S
        ):
            text = f"{process[0]}: {version.number} after {newest.number}"
            self.deployment.history.report_violation(
                "configurations are not reverted", "", text
            )

    def _check_age(
        self, name: str, newest: Version, queried: Version, sent_at: float
    ) -> None:
        age_s = sent_at - newest.confirmed_at
        undisturbed = self.deployment.disturbances.was_undisturbed(
            newest.confirmed_at,
            sent_at,
            name,
            margin_s=disturbances.RECOVERY_S,
        )
        if age_s > APPLY_LIMIT_S and undisturbed:
            text = f"{name} lacks {newest.number} after {age_s:.2f} s"
            self.deployment.history.report_violation(
                "configurations are applied in time",
                "",
                f"{text}, asked {queried.number}",
            )

"""How much tasks that fill raise the tail latency of tasks that serve.

A tail on a worker is close to the tail that its image has alone, times one
plus the sum over the images that fill of their harm times the share of the
worker's processors that they use. Both factors are learned from the listings,
which lag by about half a second.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

if TYPE_CHECKING:
    from sapphirestall_core.batch import state

# Harm of an image of which nothing is known.
FIRST_HARM = 6.0
HIGHEST_HARM = 60.0
# An image below this is harmless: it is neither paced nor kept away.
HARMLESS = 2.0
# Weight of one observation.
HARM_STEP = 0.25
BASE_STEP = 0.1
# Keeps small shares, whose effect is lost in noise, from teaching much.
SHARE_NOISE = 0.004
# Below this share of the processors an observation says nothing of an image.
LEAST_SHARE = 0.01
# A tail much above its base tells more of a burst than of the base.
BASE_CEILING = 1.6


@attrs.define(slots=True)
class Harm:
    """What an instance has learned.

    Attributes:
        bases: Tail latency of each serving image alone, in milliseconds.
        harms: Rise of a tail, as a multiple, for each image that fills, when
            it uses all processors of a worker.
    """

    bases: dict[str, float] = attrs.field(factory=dict)
    harms: dict[str, float] = attrs.field(factory=dict)

    def get_harm(self, image: str) -> float:
        """Returns the learned harm of an image."""
        return self.harms.get(image, FIRST_HARM)

    def is_harmless(self, image: str) -> bool:
        """Tells whether an image leaves tails as they are."""
        return self.get_harm(image) < HARMLESS

    def learn(self, worker: state.Worker) -> None:
        """Takes the readings of a worker's newest listing."""
        shares = list_shares(worker)
        ratios = []
        for run in worker.runs.values():
            step = run.task.step
            if not step.tail_target_ms or run.reading <= 0:
                continue
            base = self.bases.get(step.image)
            if base is None:
                self.bases[step.image] = min(
                    run.reading, step.tail_target_ms / 2
                )
                continue
            ratios.append(run.reading / base)
            if not shares and run.reading < base * BASE_CEILING:
                change = run.reading - base
                self.bases[step.image] = base + BASE_STEP * change
        if ratios and shares:
            self._learn_harms(shares, sum(ratios) / len(ratios) - 1)

    def _learn_harms(self, shares: dict[str, float], excess: float) -> None:
        expected = sum(
            self.get_harm(image) * share for image, share in shares.items()
        )
        norm = SHARE_NOISE + sum(share * share for share in shares.values())
        for image, share in shares.items():
            change = HARM_STEP * (excess - expected) * share / norm
            harm = self.get_harm(image) + change
            self.harms[image] = min(HIGHEST_HARM, max(0.0, harm))

    def find_budget(self, worker: state.Worker, margin: float) -> float | None:
        """Returns the rise that the worker's tails allow.

        Args:
            worker: The worker.
            margin: Share of each target that may be used.

        Returns:
            The rise as a multiple, or None where no task has a target.
        """
        budgets = [
            margin
            * step.tail_target_ms
            / self.bases.get(step.image, step.tail_target_ms / 2)
            - 1
            for step in (run.task.step for run in worker.runs.values())
            if step.tail_target_ms
        ]
        return min(budgets, default=None)


def list_shares(worker: state.Worker) -> dict[str, float]:
    """Returns the processors in use by images that fill, as shares."""
    capacity = max(1, worker.entry.capacity.cpu_millis)
    used: dict[str, float] = {}
    for run in worker.runs.values():
        if run.task.step.fills and run.reading > 0:
            image = run.task.step.image
            used[image] = used.get(image, 0.0) + run.reading
    return {
        image: amount / capacity
        for image, amount in used.items()
        if amount / capacity >= LEAST_SHARE
    }


def predict(worker: state.Worker, harm: Harm) -> float:
    """Returns the rise that the runs that fill would cause at full pace."""
    capacity = max(1, worker.entry.capacity.cpu_millis)
    return sum(
        harm.get_harm(run.task.step.image)
        * run.task.step.amount.cpu_millis
        / capacity
        for run in worker.runs.values()
        if run.task.step.fills
    )

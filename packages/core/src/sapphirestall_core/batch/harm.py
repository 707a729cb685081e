"""How much tasks that fill raise the tail latency of tasks that serve.

The tail of a serving task is close to the tail that its image has alone, times
one plus a sum over the images that fill beside it: the harm of the pair of
images times the share of the worker's processors that the image uses. An image
may harm some serving images and leave others as they are. All factors are
learned from the listings, which lag by about half a second.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

if TYPE_CHECKING:
    from sapphirestall_core.batch import state

# Harm of a pair of which nothing is known.
FIRST_HARM = 5.0
HIGHEST_HARM = 60.0
# A pair below this is harmless: it is neither paced nor kept apart.
HARMLESS = 2.0
# Share of each target that tasks that fill may use up by expectation.
TARGET_SHARE = 0.9
# Weight of one observation.
HARM_STEP = 0.25
BASE_STEP = 0.1
# Keeps small shares, whose effect is lost in noise, from teaching much.
SHARE_NOISE = 0.004
# Below this share of the processors an observation says nothing of an image.
LEAST_SHARE = 0.01
# A tail much above its base tells more of a burst than of the base.
BASE_CEILING = 1.6


@attrs.frozen(slots=True, cache_hash=True)
class Pair:
    """An image that serves and one that fills beside it."""

    serving: str
    filling: str


@attrs.define(slots=True)
class Harm:
    """What an instance has learned.

    Attributes:
        bases: Tail latency of each serving image alone, in milliseconds.
        harms: Rise of a tail, as a multiple, by pair of images, when the one
            that fills uses all processors of a worker.
    """

    bases: dict[str, float] = attrs.field(factory=dict)
    harms: dict[Pair, float] = attrs.field(factory=dict)

    def get_harm(self, serving: str, filling: str) -> float:
        """Returns the learned harm of a pair of images."""
        return self.harms.get(Pair(serving, filling), FIRST_HARM)

    def find_harm(self, worker: state.Worker, filling: str) -> float:
        """Returns the highest harm that an image does on a worker."""
        return max(
            (
                self.get_harm(step.image, filling)
                for step in (run.task.step for run in worker.runs.values())
                if step.tail_target_ms
            ),
            default=0.0,
        )

    def learn(self, worker: state.Worker) -> None:
        """Takes the readings of a worker's newest listing."""
        shares = list_shares(worker)
        for run in worker.runs.values():
            step = run.task.step
            if not step.tail_target_ms or run.reading <= 0:
                continue
            base = self.bases.get(step.image)
            if base is None:
                first = min(run.reading, step.tail_target_ms / 2)
                self.bases[step.image] = first
                continue
            if shares:
                self._learn_harms(step.image, shares, run.reading / base - 1)
            elif run.reading < base * BASE_CEILING:
                change = run.reading - base
                self.bases[step.image] = base + BASE_STEP * change

    def _learn_harms(
        self, serving: str, shares: dict[str, float], excess: float
    ) -> None:
        expected = sum(
            self.get_harm(serving, image) * share
            for image, share in shares.items()
        )
        norm = SHARE_NOISE + sum(share * share for share in shares.values())
        for image, share in shares.items():
            change = HARM_STEP * (excess - expected) * share / norm
            harm = self.get_harm(serving, image) + change
            self.harms[Pair(serving, image)] = min(HIGHEST_HARM, max(0.0, harm))

    def find_budgets(
        self, worker: state.Worker, margin: float
    ) -> dict[str, float]:
        """Returns the rise that the targets allow, by serving image.

        Args:
            worker: The worker.
            margin: Share of each target that may be used.
        """
        budgets: dict[str, float] = {}
        for run in worker.runs.values():
            step = run.task.step
            if not step.tail_target_ms:
                continue
            base = self.bases.get(step.image, step.tail_target_ms / 2)
            rise = max(0.0, margin * step.tail_target_ms / base - 1)
            budgets[step.image] = min(rise, budgets.get(step.image, rise))
        return budgets

    def predict(self, worker: state.Worker, serving: str) -> float:
        """Returns the rise that harmful runs would cause at full pace."""
        capacity = max(1, worker.entry.capacity.cpu_millis)
        rise = 0.0
        for run in worker.runs.values():
            step = run.task.step
            if not step.fills:
                continue
            harm = self.get_harm(serving, step.image)
            if harm >= HARMLESS:
                rise += harm * step.amount.cpu_millis / capacity
        return rise


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

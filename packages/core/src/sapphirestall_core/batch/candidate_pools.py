"""Workers on which a scheduling pass may start tasks, with its rejections."""

from collections.abc import Iterable

import attrs

from sapphirestall_core import resources
from sapphirestall_core.batch import model
from sapphirestall_core.batch import placement


@attrs.define(slots=True, eq=False)
class CandidatePool:
    """Candidate workers of one service, and amounts that none of them has free.

    Free capacity only shrinks during a pass. An amount that no worker had free
    is therefore recorded, and tasks that request at least as much are rejected
    without checking each worker again.

    Attributes:
        candidates: Workers on which new runs of the service may start.
        rejected: Amounts that no worker had free, for tasks that reserve
            processors.
        rejected_finite: The same for finite tasks, which leave capacity free
            for nominated tasks.
        rejected_opportunistic: Amounts that no worker had free for
            opportunistic tasks.
        rejected_interfering: By opportunistic image, amounts that its tasks
            could use on no worker without serving tasks missing their targets.
        rejected_selective: The same for selective tasks, which do not use all
            workers.
    """

    candidates: list[placement.Candidate]
    rejected: list[resources.Vector] = attrs.field(factory=list)
    rejected_finite: list[resources.Vector] = attrs.field(factory=list)
    rejected_opportunistic: list[resources.Vector] = attrs.field(factory=list)
    rejected_interfering: dict[str, list[resources.Vector]] = attrs.field(
        factory=dict
    )
    rejected_selective: dict[str, list[resources.Vector]] = attrs.field(
        factory=dict
    )

    def is_rejected(
        self, step: model.Step, *, starved: bool, selective: bool = False
    ) -> bool:
        """Returns whether an earlier rejection covers a task of a step.

        Args:
            step: Step of the task.
            starved: Whether the task may disturb serving tasks.
            selective: Whether the task does not use all workers.
        """
        rejected = self.rejected_opportunistic if step.fills else self.rejected
        if _exceeds_any(rejected, step.amount):
            return True
        if not step.fills and not step.long_running:
            return _exceeds_any(self.rejected_finite, step.amount)
        if not step.fills or starved:
            return False
        interfering = self.rejected_interfering.get(step.image, ())
        if _exceeds_any(interfering, step.amount):
            return True
        return selective and _exceeds_any(
            self.rejected_selective.get(step.image, ()), step.amount
        )

    def record_rejection(
        self, step: model.Step, *, starved: bool, selective: bool
    ) -> None:
        """Records that no worker could run a task of a step.

        Args:
            step: Step of the task.
            starved: Whether the task was allowed to disturb serving tasks.
            selective: Whether the task did not use all workers.
        """
        if step.required_label or step.max_per_worker:
            # The constraints of the step may be the reason, so that tasks of
            # other steps that request the same amount may still find a worker.
            return
        if not step.fills:
            rejections = (
                self.rejected if step.long_running else self.rejected_finite
            )
            rejections.append(step.amount)
        elif starved:
            self.rejected_opportunistic.append(step.amount)
        else:
            rejected = (
                self.rejected_selective
                if selective
                else self.rejected_interfering
            )
            rejected.setdefault(step.image, []).append(step.amount)


def _exceeds_any(
    rejected: Iterable[resources.Vector], amount: resources.Vector
) -> bool:
    """Returns whether an amount is at least as large as a rejected one."""
    for other in rejected:  # noqa: SIM110
        if other.fits(amount):
            return True
    return False

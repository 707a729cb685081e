"""Enforcement of team quotas on processors, memory and accelerators."""

from collections.abc import Mapping

import attrs

from sapphirestall_core import policy
from sapphirestall_core import resources


@attrs.define
class Quotas:
    """Resources that each team has reserved on the workers of this owner.

    Attributes:
        held: Reserved resources by team.
    """

    held: dict[str, resources.Vector] = attrs.field(factory=dict)

    def add(self, team: str, amount: resources.Vector) -> None:
        """Adds a reservation to those of a team."""
        self.held[team] = self.held.get(team, resources.Vector()).plus(amount)

    def remove(self, team: str, amount: resources.Vector) -> None:
        """Removes a reservation from those of a team."""
        self.held[team] = self.held.get(team, resources.Vector()).minus(amount)

    def allows(
        self,
        team: str,
        amount: resources.Vector,
        teams: Mapping[str, policy.Team],
        share: float,
    ) -> bool:
        """Returns whether a reservation keeps a team within its quota.

        Args:
            team: Team that asks.
            amount: Amount to reserve.
            teams: Quotas for the whole deployment, by team. A team without an
                entry, and a resource whose quota is 0, are not limited.
            share: Fraction of the capacity that this owner manages. Owners do
                not exchange the reservations of teams, so that each enforces
                this fraction of the quota.
        """
        quota = teams.get(team)
        if quota is None:
            return True
        held = self.held.get(team, resources.Vector()).plus(amount)
        return (
            _is_within(held.cpu_millis, quota.cpu_millis, share)
            and _is_within(held.memory_mb, quota.memory_mb, share)
            and _is_within(held.accelerators, quota.accelerators, share)
        )


def _is_within(held: int, quota: int, share: float) -> bool:
    return not quota or held <= quota * share

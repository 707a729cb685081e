"""Quotas of teams in processors, memory and accelerators."""

from collections.abc import Mapping

import attrs

from sapphirestall_core import policy
from sapphirestall_core import resources


@attrs.define
class Quotas:
    """What each team holds on the workers of this owner."""

    held: dict[str, resources.Vector] = attrs.field(factory=dict)

    def add(self, team: str, amount: resources.Vector) -> None:
        """Adds a reservation to what a team holds."""
        self.held[team] = self.held.get(team, resources.Vector()).plus(amount)

    def remove(self, team: str, amount: resources.Vector) -> None:
        """Removes a reservation from what a team holds."""
        self.held[team] = self.held.get(team, resources.Vector()).minus(amount)

    def allows(
        self,
        team: str,
        amount: resources.Vector,
        teams: Mapping[str, policy.Team],
        share: float,
    ) -> bool:
        """Tells whether a team may hold one more reservation here.

        Args:
            team: Team that asks.
            amount: Reservation that it asks for.
            teams: Quotas of the whole deployment.
            share: This owner's part of the capacity. Owners do not exchange
                what teams hold, so that each enforces its part of the quota.
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

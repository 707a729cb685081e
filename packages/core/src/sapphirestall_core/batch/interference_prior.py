"""Prior knowledge of how much images disturb each other.

In plays of large deployments an opportunistic image either hardly disturbs a
serving image or disturbs it a lot; few pairs lie in between. The distribution
of the interference of all pairs is therefore described by two normal
distributions. A few rough measurements of a pair often tell which of the two it
belongs to, long before they tell its exact interference.
"""

import math

import attrs


@attrs.frozen(slots=True)
class Group:
    """Normal distribution of the interference of some of all pairs.

    Attributes:
        share: Share of all pairs that belong to the group.
        mean: Mean interference, in headroom.
        variance: Variance of the interference.
    """

    share: float
    mean: float
    variance: float

    def weigh(self, value: float, variance: float) -> float:
        """Returns the logarithm of how likely a measured pair belongs here.

        Args:
            value: Measured interference.
            variance: Variance of its error.
        """
        total = variance + self.variance
        distance = (value - self.mean) ** 2 / total
        return math.log(self.share) - (math.log(total) + distance) / 2

    def combine(self, value: float, variance: float) -> float:
        """Returns the expected interference of a measured pair of the group.

        Args:
            value: Measured interference.
            variance: Variance of its error.
        """
        total = variance + self.variance
        return (value * self.variance + self.mean * variance) / total


WEAK = Group(share=0.67, mean=0.4, variance=0.25)
STRONG = Group(share=0.33, mean=7.5, variance=6.25)
# Expected interference of a pair without measurements.
UNMEASURED_INTERFERENCE = WEAK.share * WEAK.mean + STRONG.share * STRONG.mean


def find_expected_interference(value: float, variance: float) -> float:
    """Returns the expected interference of a pair of images.

    Args:
        value: Interference according to measurements alone.
        variance: Variance of the error of this value.
    """
    odds = STRONG.weigh(value, variance) - WEAK.weigh(value, variance)
    strong_share = 0.5 * (1 + math.tanh(odds / 2))
    strong = STRONG.combine(value, variance)
    weak = WEAK.combine(value, variance)
    return max(0.0, strong_share * strong + (1 - strong_share) * weak)

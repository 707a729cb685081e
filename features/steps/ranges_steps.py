"""Steps for ranges.feature."""

import behave
import hypothesis
from hypothesis import strategies

from sapphirestall_core import ranges

NUMBERS = strategies.integers(0, 15)


@hypothesis.settings(derandomize=True, database=None)
@hypothesis.given(
    strategies.lists(strategies.tuples(strategies.booleans(), NUMBERS)),
    strategies.sets(NUMBERS),
)
def compare(changes, others):
    """Compares a range set with a plain set, and then their difference."""
    plain, packed, removed = set(), ranges.RangeSet(), ranges.RangeSet()
    for adding, number in changes:
        assert (number in packed) == (number in plain)
        if adding:
            assert packed.add(number) == (number not in plain)
            plain.add(number)
        else:
            assert packed.remove(number) == (number in plain)
            plain.discard(number)
        assert list(packed) == sorted(plain) and packed.count == len(plain)
        assert ranges.build(packed.to_ranges()) == packed
    for number in others:
        removed.add(number)
    packed.remove_all(removed)
    assert list(packed) == sorted(plain - others)
    assert packed.count == len(plain - others)


@behave.then("random additions and removals agree with a set of numbers")
def step(context):
    compare()

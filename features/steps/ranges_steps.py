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
    """Applies the same operations to a range set and a set; compares both."""
    numbers, range_set, removed = set(), ranges.RangeSet(), ranges.RangeSet()
    for adding, number in changes:
        assert (number in range_set) == (number in numbers)
        if adding:
            assert range_set.add(number) == (number not in numbers)
            numbers.add(number)
        else:
            assert range_set.remove(number) == (number in numbers)
            numbers.discard(number)
        assert list(range_set) == sorted(numbers)
        assert range_set.count == len(numbers)
        assert ranges.build(range_set.to_ranges()) == range_set
    for number in others:
        removed.add(number)
    range_set.remove_all(removed)
    assert list(range_set) == sorted(numbers - others)
    assert range_set.count == len(numbers - others)


@behave.then("random additions and removals agree with a set of numbers")
def step(context):
    compare()

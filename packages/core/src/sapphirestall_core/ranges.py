"""Sets of task numbers, stored as sorted ranges."""

import bisect
from collections.abc import Iterable
from collections.abc import Iterator

import attrs

from sapphirestall_core import jobs


@attrs.define
class RangeSet:
    """A set of integers, stored as disjoint, sorted ranges.

    The memory grows with the number of gaps, not of integers, so that a job
    with many waiting tasks takes little. Adding or removing a number takes a
    binary search and at most one insertion or deletion in each list.

    Attributes:
        firsts: First number of each range, in ascending order.
        lasts: Last number of each range, inclusive.
        count: Number of integers in the set.
    """

    firsts: list[int] = attrs.field(factory=list)
    lasts: list[int] = attrs.field(factory=list)
    count: int = 0

    def __contains__(self, number: int) -> bool:
        index = bisect.bisect_right(self.firsts, number) - 1
        return index >= 0 and number <= self.lasts[index]

    def __iter__(self) -> Iterator[int]:
        for first, last in zip(self.firsts, self.lasts, strict=True):
            yield from range(first, last + 1)

    def add(self, number: int) -> bool:
        """Adds a number.

        Returns:
            Whether the number was absent before.
        """
        index = bisect.bisect_right(self.firsts, number)
        if index and number <= self.lasts[index - 1]:
            return False
        joins_left = index > 0 and self.lasts[index - 1] == number - 1
        joins_right = (
            index < len(self.firsts) and self.firsts[index] == number + 1
        )
        if joins_left and joins_right:
            self.lasts[index - 1] = self.lasts.pop(index)
            del self.firsts[index]
        elif joins_left:
            self.lasts[index - 1] = number
        elif joins_right:
            self.firsts[index] = number
        else:
            self.firsts.insert(index, number)
            self.lasts.insert(index, number)
        self.count += 1
        return True

    def remove(self, number: int) -> bool:
        """Removes a number.

        Returns:
            Whether the number was present before.
        """
        index = bisect.bisect_right(self.firsts, number) - 1
        if index < 0 or number > self.lasts[index]:
            return False
        first, last = self.firsts[index], self.lasts[index]
        if first == last:
            del self.firsts[index], self.lasts[index]
        elif number == first:
            self.firsts[index] = number + 1
        elif number == last:
            self.lasts[index] = number - 1
        else:
            self.lasts[index] = number - 1
            self.firsts.insert(index + 1, number + 1)
            self.lasts.insert(index + 1, last)
        self.count -= 1
        return True

    def get_first(self) -> int:
        """Returns the lowest number of a set that is not empty."""
        return self.firsts[0]

    def remove_all(self, other: "RangeSet") -> None:
        """Removes every number of another set in one pass over the ranges."""
        merged = RangeSet()
        index = 0
        for first, last in zip(self.firsts, self.lasts, strict=True):
            start = first
            while index < len(other.firsts) and other.lasts[index] < first:
                index += 1
            scan = index
            while scan < len(other.firsts) and other.firsts[scan] <= last:
                merged.append(start, other.firsts[scan] - 1)
                start = max(start, other.lasts[scan] + 1)
                scan += 1
            merged.append(start, last)
        self.firsts, self.lasts = merged.firsts, merged.lasts
        self.count = merged.count

    def append(self, first: int, last: int) -> None:
        """Adds a range above all others.

        Args:
            first: First number of the range.
            last: Last number, inclusive. A range whose `last` is lower than
                `first` is empty and ignored.
        """
        if first > last:
            return
        self.count += last - first + 1
        if self.lasts and self.lasts[-1] == first - 1:
            self.lasts[-1] = last
        else:
            self.firsts.append(first)
            self.lasts.append(last)

    def to_ranges(self) -> tuple[jobs.Range, ...]:
        """Returns the ranges in the form of stored records."""
        return tuple(
            jobs.Range(first, last)
            for first, last in zip(self.firsts, self.lasts, strict=True)
        )


def build(parts: Iterable[jobs.Range | jobs.Slice]) -> RangeSet:
    """Builds a set from disjoint ranges in any order."""
    result = RangeSet()
    for part in sorted(parts, key=lambda part: part.first):
        result.append(part.first, part.last)
    return result

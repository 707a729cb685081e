"""Sets of task numbers, kept as sorted ranges."""

import bisect
from collections.abc import Iterable
from collections.abc import Iterator

import attrs

from sapphirestall_core import jobs


@attrs.define
class RangeSet:
    """A set of integers as disjoint, sorted ranges.

    Adding or removing one number costs a search and at most one insertion, so
    that a job of many waiting tasks takes the memory of its gaps only.

    Attributes:
        firsts: First number of each range.
        lasts: Last number of each range, inclusive.
        count: Number of integers in the set.
    """

    firsts: list[int] = attrs.field(factory=list)
    lasts: list[int] = attrs.field(factory=list)
    count: int = 0

    def __contains__(self, number: int) -> bool:
        place = bisect.bisect_right(self.firsts, number) - 1
        return place >= 0 and number <= self.lasts[place]

    def __iter__(self) -> Iterator[int]:
        for first, last in zip(self.firsts, self.lasts, strict=True):
            yield from range(first, last + 1)

    def add(self, number: int) -> bool:
        """Adds a number; tells whether it was absent."""
        place = bisect.bisect_right(self.firsts, number)
        if place and number <= self.lasts[place - 1]:
            return False
        joins_left = place > 0 and self.lasts[place - 1] == number - 1
        joins_right = (
            place < len(self.firsts) and self.firsts[place] == number + 1
        )
        if joins_left and joins_right:
            self.lasts[place - 1] = self.lasts.pop(place)
            del self.firsts[place]
        elif joins_left:
            self.lasts[place - 1] = number
        elif joins_right:
            self.firsts[place] = number
        else:
            self.firsts.insert(place, number)
            self.lasts.insert(place, number)
        self.count += 1
        return True

    def remove(self, number: int) -> bool:
        """Removes a number; tells whether it was present."""
        place = bisect.bisect_right(self.firsts, number) - 1
        if place < 0 or number > self.lasts[place]:
            return False
        first, last = self.firsts[place], self.lasts[place]
        if first == last:
            del self.firsts[place], self.lasts[place]
        elif number == first:
            self.firsts[place] = number + 1
        elif number == last:
            self.lasts[place] = number - 1
        else:
            self.lasts[place] = number - 1
            self.firsts.insert(place + 1, number + 1)
            self.lasts.insert(place + 1, last)
        self.count -= 1
        return True

    def get_first(self) -> int:
        """Returns the lowest number; the set must not be empty."""
        return self.firsts[0]

    def remove_all(self, other: "RangeSet") -> None:
        """Removes every number of another set, range by range."""
        merged = RangeSet()
        place = 0
        for first, last in zip(self.firsts, self.lasts, strict=True):
            start = first
            while place < len(other.firsts) and other.lasts[place] < first:
                place += 1
            scan = place
            while scan < len(other.firsts) and other.firsts[scan] <= last:
                merged.append(start, other.firsts[scan] - 1)
                start = max(start, other.lasts[scan] + 1)
                scan += 1
            merged.append(start, last)
        self.firsts, self.lasts = merged.firsts, merged.lasts
        self.count = merged.count

    def append(self, first: int, last: int) -> None:
        """Adds a range that lies above all others; an empty one is ignored."""
        if first > last:
            return
        self.count += last - first + 1
        if self.lasts and self.lasts[-1] == first - 1:
            self.lasts[-1] = last
        else:
            self.firsts.append(first)
            self.lasts.append(last)

    def to_ranges(self) -> tuple[jobs.Range, ...]:
        """Returns the ranges in the form in which the store keeps them."""
        return tuple(
            jobs.Range(first, last)
            for first, last in zip(self.firsts, self.lasts, strict=True)
        )


def build(parts: Iterable[jobs.Range | jobs.Slice]) -> RangeSet:
    """Returns the union of disjoint ranges in any order."""
    result = RangeSet()
    for part in sorted(parts, key=lambda item: item.first):
        result.append(part.first, part.last)
    return result

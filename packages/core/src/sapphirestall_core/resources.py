"""Amounts of processors, memory and accelerators, and their reservation."""

from collections.abc import Hashable

import attrs


@attrs.frozen
class Vector:
    """An amount of resources.

    Attributes:
        cpu_millis: Processors, in thousandths.
        memory_mb: Memory, in megabytes.
        accelerators: Whole accelerators.
    """

    cpu_millis: int = 0
    memory_mb: int = 0
    accelerators: int = 0

    def plus(self, other: "Vector") -> "Vector":
        """Returns the sum of two vectors."""
        return Vector(
            self.cpu_millis + other.cpu_millis,
            self.memory_mb + other.memory_mb,
            self.accelerators + other.accelerators,
        )

    def minus(self, other: "Vector") -> "Vector":
        """Returns the difference of two vectors; its parts may be negative."""
        return Vector(
            self.cpu_millis - other.cpu_millis,
            self.memory_mb - other.memory_mb,
            self.accelerators - other.accelerators,
        )

    def maximum(self, other: "Vector") -> "Vector":
        """Returns a vector of the larger of each pair of parts."""
        return Vector(
            max(self.cpu_millis, other.cpu_millis),
            max(self.memory_mb, other.memory_mb),
            max(self.accelerators, other.accelerators),
        )

    def fits(self, available: "Vector") -> bool:
        """Returns whether no part of this amount exceeds `available`."""
        return (
            self.cpu_millis <= available.cpu_millis
            and self.memory_mb <= available.memory_mb
            and self.accelerators <= available.accelerators
        )


@attrs.define
class Ledger:
    """Reservations on one worker.

    Attributes:
        capacity: Capacity of the worker.
        reserved: Sum of all reservations; may exceed the capacity.
        reservations: Reserved amount by holder.
    """

    capacity: Vector
    reserved: Vector = attrs.field(factory=Vector)
    reservations: dict[Hashable, Vector] = attrs.field(factory=dict)

    def compute_free(self) -> Vector:
        """Returns the unreserved capacity; its parts may be negative."""
        return self.capacity.minus(self.reserved)

    def reserve(self, holder: Hashable, amount: Vector) -> bool:
        """Reserves an amount for a holder if it fits.

        Returns:
            Whether the holder has a reservation now. A holder that already had
            one keeps it unchanged.
        """
        if holder in self.reservations:
            return True
        if not amount.fits(self.compute_free()):
            return False
        self.record(holder, amount)
        return True

    def record(self, holder: Hashable, amount: Vector) -> None:
        """Records a reservation that a worker reports, even if it does not fit.

        It replaces a former reservation of the holder.
        """
        self.release(holder)
        self.reservations[holder] = amount
        self.reserved = self.reserved.plus(amount)

    def release(self, holder: Hashable) -> None:
        """Removes the reservation of a holder, if it has one."""
        amount = self.reservations.pop(holder, None)
        if amount is not None:
            self.reserved = self.reserved.minus(amount)

"""Amounts of processor time, memory and accelerators on a worker."""

from typing import NamedTuple


class Resources(NamedTuple):
    """Vector of resource amounts; ``cpu`` is in thousandths of a core."""

    cpu: int = 0
    memory_mb: int = 0
    accelerators: int = 0

    def plus(self, other: "Resources") -> "Resources":
        """Return the componentwise sum."""
        return Resources(
            self.cpu + other.cpu,
            self.memory_mb + other.memory_mb,
            self.accelerators + other.accelerators,
        )

    def minus(self, other: "Resources") -> "Resources":
        """Return the componentwise difference, which may be negative."""
        return Resources(
            self.cpu - other.cpu,
            self.memory_mb - other.memory_mb,
            self.accelerators - other.accelerators,
        )

    def can_fit(self, other: "Resources") -> bool:
        """Return whether ``other`` fits in every component."""
        return (
            other.cpu <= self.cpu
            and other.memory_mb <= self.memory_mb
            and other.accelerators <= self.accelerators
        )

"""Capacity that tasks occupy on a worker."""

from typing import NamedTuple


class Resources(NamedTuple):
    """Measure capacity; ``cpu`` is in thousandths of a core."""

    cpu: int = 0
    memory_mb: int = 0
    accelerators: int = 0

    def plus(self, other: "Resources") -> "Resources":
        """Return the sum of both."""
        return Resources(
            self.cpu + other.cpu,
            self.memory_mb + other.memory_mb,
            self.accelerators + other.accelerators,
        )

    def minus(self, other: "Resources") -> "Resources":
        """Return what is left without ``other``."""
        return Resources(
            self.cpu - other.cpu,
            self.memory_mb - other.memory_mb,
            self.accelerators - other.accelerators,
        )

    def holds(self, other: "Resources") -> bool:
        """Tell whether ``other`` fits."""
        return (
            other.cpu <= self.cpu
            and other.memory_mb <= self.memory_mb
            and other.accelerators <= self.accelerators
        )

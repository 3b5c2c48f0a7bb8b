"""The platform's machines: workers, racks, data centres and the links between them."""

from typing import NamedTuple

from hyssopweir.clock import Millis


class Worker(NamedTuple):
    """Describe a target that runs requests and tasks."""

    worker_id: str
    host: str
    port: int
    data_centre: str
    rack: str
    cores: float
    memory_gb: float
    accelerators: int = 0
    slots: int = 8
    connections: int = 64

    @property
    def shard(self) -> str:
        """Return the shard id: data centre and rack."""
        return f"{self.data_centre}/{self.rack}"


class ListedWorker(NamedTuple):
    """Hold what the instance list says of a worker."""

    worker: Worker
    leaving: bool


class NetworkLink(NamedTuple):
    """Describe the path between two data centres."""

    source: str
    target: str
    one_way_ms: float
    cost: float = 1.0


class DataCentre(NamedTuple):
    """Describe a data centre and the links that leave it."""

    name: str
    links: tuple[NetworkLink, ...] = ()

    def distance_ms(self, other: str) -> float:
        """Return the one-way delay to ``other`` in ms, 0 to itself."""
        if other == self.name:
            return 0.0
        delays = [link.one_way_ms for link in self.links if link.target == other]
        return min(delays, default=DEFAULT_LINK_MS)


DEFAULT_LINK_MS: Millis = 5

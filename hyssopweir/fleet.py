"""Workers, and data centres with the network links between them."""

from typing import NamedTuple

from hyssopweir.clock import Millis


class Worker(NamedTuple):
    """Address, location and resources of a target that runs requests and tasks."""

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
        """Return the shard id, ``<data centre>/<rack>``."""
        return f"{self.data_centre}/{self.rack}"


class ListedWorker(NamedTuple):
    """Entry of a worker in the instance list."""

    worker: Worker
    leaving: bool


class NetworkLink(NamedTuple):
    """One-way network link between two data centres."""

    source: str
    target: str
    one_way_ms: float
    cost: float = 1.0


class DataCentre(NamedTuple):
    """Data centre with its outgoing network links."""

    name: str
    links: tuple[NetworkLink, ...] = ()

    def distance_ms(self, other: str) -> float:
        """Return the shortest one-way delay to ``other``, 0 for the same name.

        Without a link, it is ``DEFAULT_LINK_MS``.
        """
        if other == self.name:
            return 0.0
        delays_ms = [link.one_way_ms for link in self.links if link.target == other]
        return min(delays_ms, default=DEFAULT_LINK_MS)


DEFAULT_LINK_MS: Millis = 5

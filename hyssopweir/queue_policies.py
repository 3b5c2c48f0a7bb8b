"""Job queues defined by the operator's configuration."""

from typing import NamedTuple

from hyssopweir.clock import Millis


class QueuePolicy(NamedTuple):
    """Policy of a queue; ``priority`` 0 is the highest.

    A task is not retried after ``most_failures`` failed runs. A job should finish
    within ``stretch`` times the length of its critical path plus ``slack_ms``.
    """

    name: str
    host: str
    prefix: str
    service: str
    priority: int
    most_failures: int
    stretch: float
    slack_ms: Millis
    needs_ticket: bool = False


class QueueConfiguration(NamedTuple):
    """One version of the operator's configuration."""

    version: int
    queues: tuple[QueuePolicy, ...]
    most_body_bytes: int


class QueueTable:
    """Index of the queues in the newest configuration, by host and path prefix."""

    def __init__(self) -> None:
        self.version = 0
        self.most_body_bytes = 0
        # Services with a queue; empty until a configuration is known.
        self.services: frozenset[str] = frozenset()
        self._by_host: dict[str, list[QueuePolicy]] = {}

    def apply_configuration(self, cfg: QueueConfiguration) -> bool:
        """Apply a configuration if it is newer; return whether it was applied."""
        if cfg.version <= self.version:
            return False
        self.version = cfg.version
        self.most_body_bytes = cfg.most_body_bytes
        self.services = frozenset(queue.service for queue in cfg.queues)
        self._by_host = {}
        for queue in sorted(cfg.queues, key=lambda queue: -len(queue.prefix)):
            self._by_host.setdefault(queue.host.lower(), []).append(queue)
        return True

    def find(self, host: str, path: str) -> QueuePolicy | None:
        """Return the queue with the longest matching prefix of ``path``, if any."""
        for queue in self._by_host.get(host.lower(), ()):
            if path.startswith(queue.prefix):
                return queue
        return None

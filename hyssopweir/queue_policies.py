"""Queues of jobs as the operator's configuration describes them."""

from typing import NamedTuple

from hyssopweir.clock import Millis


class QueuePolicy(NamedTuple):
    """Hold the policy of a queue; ``priority`` 0 comes first.

    A task is given up after ``most_failures`` failed runs. A job should be done in
    ``stretch`` times its longest chain of work and ``slack_ms`` more.
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
    """Hold one version of the operator's configuration."""

    version: int
    queues: tuple[QueuePolicy, ...]
    most_body_bytes: int


class QueueTable:
    """Find the queue of a path in the newest configuration that was seen."""

    def __init__(self) -> None:
        self.version = 0
        self.most_body_bytes = 0
        self._by_host: dict[str, list[QueuePolicy]] = {}

    def take(self, cfg: QueueConfiguration) -> bool:
        """Put a configuration in force unless a newer one is; tell whether it is."""
        if cfg.version <= self.version:
            return False
        self.version = cfg.version
        self.most_body_bytes = cfg.most_body_bytes
        self._by_host = {}
        for queue in sorted(cfg.queues, key=lambda queue: -len(queue.prefix)):
            self._by_host.setdefault(queue.host.lower(), []).append(queue)
        return True

    def find(self, host: str, path: str) -> QueuePolicy | None:
        """Return the queue with the longest prefix of ``path``, None if none has."""
        for queue in self._by_host.get(host.lower(), ()):
            if path.startswith(queue.prefix):
                return queue
        return None

"""Bounded priority queue of requests that wait for a slot of one shard."""

import asyncio

from result import Result
from sortedcontainers import SortedKeyList

from hyssopweir.clock import Millis
from hyssopweir.codes import Failure
from hyssopweir.contracts import Request

SortKey = tuple[bool, Millis, int]


class Waiter:
    """Queued request; ``granted`` resolves to a worker id or a failure."""

    def __init__(self, req: Request, run_id: str, seq: int) -> None:
        self.run_id = run_id
        self.service = req.service
        self.sort_key: SortKey = (not req.urgent, req.expires_ms, seq)
        self.granted: asyncio.Future[Result[str, Failure]]
        self.granted = asyncio.get_running_loop().create_future()


class RequestQueue:
    """Queue that serves urgent requests first, then by deadline, then by arrival."""

    def __init__(self, limit: int) -> None:
        self._limit = limit
        self._waiters: SortedKeyList = SortedKeyList(key=lambda waiter: waiter.sort_key)

    def __len__(self) -> int:
        return len(self._waiters)

    def is_full(self) -> bool:
        """Return whether the limit of waiting requests is reached."""
        return len(self._waiters) >= self._limit

    def add(self, waiter: Waiter) -> None:
        """Insert a waiter, even if the queue is full."""
        self._waiters.add(waiter)

    def discard(self, waiter: Waiter) -> None:
        """Remove a waiter if it is still queued."""
        self._waiters.discard(waiter)

    def ahead_of(self, waiter: Waiter) -> int:
        """Return the number of waiters that are served before ``waiter``."""
        return int(self._waiters.bisect_key_left(waiter.sort_key))

    def first(self) -> Waiter | None:
        """Return the waiter that is served next; None if the queue is empty."""
        return self._waiters[0] if self._waiters else None

    def drain(self) -> list[Waiter]:
        """Remove and return all waiters."""
        waiters = list(self._waiters)
        self._waiters.clear()
        return waiters

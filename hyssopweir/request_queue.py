"""Bounded queue of the requests that wait for a slot of one shard."""

import asyncio

from result import Result
from sortedcontainers import SortedKeyList

from hyssopweir.clock import Millis
from hyssopweir.codes import Failure
from hyssopweir.contracts import Request

Order = tuple[bool, Millis, int]


class Waiter:
    """Wait for a worker; ``granted`` gets its id, or the reason for a refusal."""

    def __init__(self, req: Request, run_id: str, seq: int) -> None:
        self.run_id = run_id
        self.service = req.service
        self.order: Order = (not req.urgent, req.expires_ms, seq)
        self.granted: asyncio.Future[Result[str, Failure]]
        self.granted = asyncio.get_running_loop().create_future()


class RequestQueue:
    """Order waiters: urgent first, then by expiry, then by arrival."""

    def __init__(self, limit: int) -> None:
        self._limit = limit
        self._waiters: SortedKeyList = SortedKeyList(key=lambda waiter: waiter.order)

    def __len__(self) -> int:
        return len(self._waiters)

    def is_full(self) -> bool:
        """Tell whether no further request may wait."""
        return len(self._waiters) >= self._limit

    def add(self, waiter: Waiter) -> None:
        """Queue a waiter."""
        self._waiters.add(waiter)

    def discard(self, waiter: Waiter) -> None:
        """Remove a waiter if it is still queued."""
        self._waiters.discard(waiter)

    def ahead_of(self, waiter: Waiter) -> int:
        """Return how many waiters are served before ``waiter``."""
        return int(self._waiters.bisect_key_left(waiter.order))

    def first(self) -> Waiter | None:
        """Return the waiter that is served next."""
        return self._waiters[0] if self._waiters else None

    def drain(self) -> list[Waiter]:
        """Remove and return all waiters."""
        waiters = list(self._waiters)
        self._waiters.clear()
        return waiters

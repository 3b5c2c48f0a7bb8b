"""Admission of requests to the workers of the owned shards: queues and free slots."""

import asyncio
from collections.abc import Callable
from itertools import count
from typing import Protocol

from result import Err, Ok, Result

from hyssopweir.clock import Clock, Millis
from hyssopweir.codes import Code, Failure, not_run
from hyssopweir.contracts import Request
from hyssopweir.events import Event, EventLog
from hyssopweir.fleet import Worker
from hyssopweir.invariants import InvariantError
from hyssopweir.measurements import Measurements
from hyssopweir.peers import Params
from hyssopweir.request_queue import RequestQueue, Waiter
from hyssopweir.routing import LatencyAverages, choose_worker, has_worker
from hyssopweir.run_lookup import Fences, FleetWorkers, ShardOwners
from hyssopweir.settings import Settings
from hyssopweir.slots import SlotLedger
from hyssopweir.worker_health import ShardWorkers, WorkerHealth


class LeavingView(FleetWorkers, ShardWorkers, Protocol):
    """Name the part of the fleet view that the dispatcher uses."""


class OwnedShards(ShardOwners, Protocol):
    """Name the part of shard ownership that the dispatcher uses."""

    def owned(self) -> dict[str, int]:
        """Return the owned shards and their epochs."""
        ...

    def lost(self, shard: str, epoch: int) -> None:
        """Note that a worker or the table service refused the epoch."""
        ...


class ClaimedWorkers(Fences, Protocol):
    """Name the part of the worker links that the dispatcher uses."""

    def is_leaving(self, worker_id: str) -> bool:
        """Tell whether the worker has said that it is leaving."""
        ...

    def note_leaving(self, worker_id: str) -> None:
        """Note that the worker refused work because it is leaving."""
        ...

    def on_dropped(self, handler: Callable[[Worker], None]) -> None:
        """Call ``handler`` with each worker that is gone or whose shard was lost."""
        ...

    def on_restarted(self, handler: Callable[[Worker], None]) -> None:
        """Call ``handler`` when a worker has lost its runs by a restart."""
        ...


class Admission:
    """Grant the free slots of the owned shards to requests in their order."""

    def __init__(
        self,
        fleet: LeavingView,
        ownership: OwnedShards,
        links: ClaimedWorkers,
        ledger: SlotLedger,
        health: WorkerHealth,
        measurements: Measurements,
        cfg: Settings,
        clock: Clock,
        log: EventLog,
    ) -> None:
        self._fleet = fleet
        self._ownership = ownership
        self._links = links
        self._ledger = ledger
        self._health = health
        self._measurements = measurements
        self._queue_limit = cfg["limits"]["queue_per_shard"]
        self._clock = clock
        self._log = log
        self._queues: dict[str, RequestQueue] = {}
        self._sequence = count(1)
        self._service_ms = LatencyAverages()
        ledger.on_free(self._on_free)

    def is_open(self, worker_id: str) -> bool:
        """Tell whether a worker is listed and claimed and not leaving."""
        return (
            self._fleet.worker(worker_id) is not None
            and self._fleet.leaving_since_ms(worker_id) is None
            and self._links.fence_of(worker_id) is not None
            and not self._links.is_leaving(worker_id)
        )

    def note_service(self, shard: str, held_ms: Millis) -> None:
        """Note how long a request has held its slot."""
        self._service_ms.note(shard, held_ms)

    def shard_lost(self, shard: str) -> None:
        """Refuse the queue of a shard."""
        queue = self._queues.pop(shard, None)
        for waiter in queue.drain() if queue is not None else ():
            if not waiter.granted.done():
                waiter.granted.set_result(Err(_not_owner(shard)))

    def assign_all(self) -> None:
        """Serve the queues again, for workers that became eligible meanwhile."""
        for shard in list(self._queues):
            self._assign(shard)

    def load_of(self, shard: str) -> Params:
        """Return free slots, queue length and expected wait of a shard."""
        queued = len(self._queues[shard]) if shard in self._queues else 0
        is_open = has_worker(self._ledger, shard, self._is_eligible)
        free = self._ledger.shard_free(shard) if is_open else 0
        wait_ms = 0 if free > queued else self._wait_ms(shard, queued)
        return {"free": max(free - queued, 0), "queued": queued, "wait_ms": wait_ms}

    async def acquire(
        self,
        req: Request,
        shard: str,
        run_id: str,
    ) -> Result[str, Failure]:
        """Take a slot at once or wait for one; return the worker's id."""
        if self._ownership.epoch_of(shard) is None:
            return Err(_not_owner(shard))
        if req.expires_ms <= self._clock.now_ms():
            return Err(not_run(Code.DEADLINE_EXCEEDED, "the deadline has passed"))
        queue = self._queues.setdefault(
            shard,
            RequestQueue(self._queue_limit),
        )
        waiter = Waiter(req, run_id, next(self._sequence))
        was_full = queue.is_full()
        queue.add(waiter)
        self._assign(shard)
        try:
            if not waiter.granted.done():
                refusal = self._overload(req, shard, queue, waiter, was_full)
                if refusal is not None:
                    return Err(refusal)
                self._log.emit(
                    Event.REQUEST_QUEUED,
                    request_id=req.request_id,
                    shard=shard,
                    queued=len(queue),
                )
                left_ms = req.expires_ms - self._clock.now_ms()
                await asyncio.wait({waiter.granted}, timeout=left_ms / 1_000)
            if waiter.granted.done():
                return waiter.granted.result()
            detail = "no slot became free before the deadline"
            return Err(not_run(Code.DEADLINE_UNREACHABLE, detail))
        except asyncio.CancelledError:
            self._give_back(waiter)
            raise
        finally:
            queue.discard(waiter)

    def _wait_ms(self, shard: str, ahead: int) -> Millis:
        slots = max(self._ledger.request_slots(shard), 1)
        return int((ahead + 1) * self._service_ms.of(shard) / slots)

    def _give_back(self, waiter: Waiter) -> None:
        if waiter.granted.done() and isinstance(waiter.granted.result(), Ok):
            self._ledger.release(waiter.granted.result().unwrap(), waiter.run_id)

    def _overload(
        self,
        req: Request,
        shard: str,
        queue: RequestQueue,
        waiter: Waiter,
        was_full: bool,
    ) -> Failure | None:
        if was_full:
            return not_run(Code.OVERLOADED, f"the queue of {shard} is full")
        wait_ms = self._wait_ms(shard, queue.ahead_of(waiter))
        left_ms = req.expires_ms - self._clock.now_ms()
        if wait_ms >= left_ms:
            detail = f"expected wait {wait_ms} ms, remaining {left_ms} ms"
            return not_run(Code.DEADLINE_UNREACHABLE, detail)
        return None

    def _on_free(self, worker_id: str) -> None:
        worker = self._fleet.worker(worker_id)
        if worker is None:
            return
        try:
            self._assign(worker.shard)
        except InvariantError:
            # Logged as a breach; the operation that freed the slot must go on.
            return

    def _assign(self, shard: str) -> None:
        """Give free slots to the waiters of a shard in their order."""
        queue = self._queues.get(shard)
        while queue is not None and (waiter := queue.first()) is not None:
            if waiter.granted.done():
                queue.discard(waiter)
                continue
            expected_ms = self._measurements.expected_ms(shard, waiter.service)
            worker_id = choose_worker(
                self._ledger, shard, self._is_eligible, expected_ms
            )
            if worker_id is None:
                return
            if not self._ledger.take(worker_id, waiter.run_id, is_task=False):
                return
            self._health.note_chosen(worker_id)
            queue.discard(waiter)
            waiter.granted.set_result(Ok(worker_id))

    def _is_eligible(self, worker_id: str) -> bool:
        return self.is_open(worker_id) and not self._health.is_ejected(worker_id)


def _not_owner(shard: str) -> Failure:
    return not_run(Code.NOT_OWNER, f"this instance does not own {shard}")

"""Admission control: request queues and free slots of the owned shards."""

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
from hyssopweir.run_lookup import FenceView, ShardOwners, WorkerLookup
from hyssopweir.settings import Settings
from hyssopweir.slots import SlotLedger
from hyssopweir.worker_health import ShardWorkers, WorkerHealth


class DispatchFleetView(WorkerLookup, ShardWorkers, Protocol):
    """Fleet view methods that the dispatcher needs."""


class ShardOwnership(ShardOwners, Protocol):
    """Shard ownership methods that the dispatcher needs."""

    def owned(self) -> dict[str, int]:
        """Return the owned shards and their epochs."""
        ...

    def lost(self, shard: str, epoch: int) -> None:
        """Give up a shard whose epoch a worker or the table service refused."""
        ...


class WorkerLinksView(FenceView, Protocol):
    """Worker link methods that the dispatcher needs."""

    def is_leaving(self, worker_id: str) -> bool:
        """Return whether the worker has announced that it is leaving."""
        ...

    def mark_leaving(self, worker_id: str) -> None:
        """Mark a worker that refused a run because it is leaving."""
        ...

    def on_worker_removed(self, handler: Callable[[Worker], None]) -> None:
        """Call ``handler`` with each worker that is delisted or of a lost shard."""
        ...

    def on_worker_restarted(self, handler: Callable[[Worker], None]) -> None:
        """Call ``handler`` with each worker that has lost its runs in a restart."""
        ...


class Admission:
    """Grants the free slots of the owned shards to requests in queue order."""

    def __init__(
        self,
        fleet: DispatchFleetView,
        ownership: ShardOwnership,
        links: WorkerLinksView,
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
        self._slot_time_ms = LatencyAverages()
        ledger.on_free(self._on_free)

    def is_accepting(self, worker_id: str) -> bool:
        """Return whether a worker is listed, claimed and not leaving."""
        return (
            self._fleet.worker(worker_id) is not None
            and self._fleet.leaving_since_ms(worker_id) is None
            and self._links.fence_of(worker_id) is not None
            and not self._links.is_leaving(worker_id)
        )

    def record_slot_time(self, shard: str, held_ms: Millis) -> None:
        """Add the time that a request held its slot to the average of the shard."""
        self._slot_time_ms.note(shard, held_ms)

    def shard_lost(self, shard: str) -> None:
        """Refuse all queued requests of a shard."""
        queue = self._queues.pop(shard, None)
        for waiter in queue.drain() if queue is not None else ():
            if not waiter.granted.done():
                waiter.granted.set_result(Err(_not_owner(shard)))

    def serve_queues(self) -> None:
        """Grant slots of workers that have become eligible since the last grant."""
        for shard in list(self._queues):
            self._serve_queue(shard)

    def load_of(self, shard: str) -> Params:
        """Return the free slots, queue length and expected wait (ms) of a shard."""
        queued = len(self._queues[shard]) if shard in self._queues else 0
        has_eligible = has_worker(self._ledger, shard, self._is_eligible)
        free = self._ledger.shard_free_slots(shard) if has_eligible else 0
        wait_ms = 0 if free > queued else self._expected_wait_ms(shard, queued)
        return {"free": max(free - queued, 0), "queued": queued, "wait_ms": wait_ms}

    async def acquire(
        self,
        req: Request,
        shard: str,
        run_id: str,
    ) -> Result[str, Failure]:
        """Return the id of a worker with a reserved slot; wait until the deadline."""
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
        self._serve_queue(shard)
        try:
            if not waiter.granted.done():
                failure = self._check_expected_wait(req, shard, queue, waiter, was_full)
                if failure is not None:
                    return Err(failure)
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
            self._release_granted(waiter)
            raise
        finally:
            queue.discard(waiter)

    def _expected_wait_ms(self, shard: str, ahead: int) -> Millis:
        slots = max(self._ledger.request_slots(shard), 1)
        return int((ahead + 1) * self._slot_time_ms.of(shard) / slots)

    def _release_granted(self, waiter: Waiter) -> None:
        if waiter.granted.done() and isinstance(waiter.granted.result(), Ok):
            self._ledger.release(waiter.granted.result().unwrap(), waiter.run_id)

    def _check_expected_wait(
        self,
        req: Request,
        shard: str,
        queue: RequestQueue,
        waiter: Waiter,
        was_full: bool,
    ) -> Failure | None:
        if was_full:
            return not_run(Code.OVERLOADED, f"the queue of {shard} is full")
        wait_ms = self._expected_wait_ms(shard, queue.ahead_of(waiter))
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
            self._serve_queue(worker.shard)
        except InvariantError:
            # The violation is already logged; the caller that freed the slot continues.
            return

    def _serve_queue(self, shard: str) -> None:
        """Grant free slots to the waiters of a shard in queue order."""
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
            self._health.mark_probed(worker_id)
            queue.discard(waiter)
            waiter.granted.set_result(Ok(worker_id))

    def _is_eligible(self, worker_id: str) -> bool:
        return self.is_accepting(worker_id) and not self._health.is_ejected(worker_id)


def _not_owner(shard: str) -> Failure:
    return not_run(Code.NOT_OWNER, f"this instance does not own {shard}")

"""Claims, watches and lease renewal for the workers of the owned shards."""

import asyncio
from collections.abc import Callable
from typing import Protocol

from mode import Service
from result import Err, Result

from hyssopweir.clock import Clock, Millis
from hyssopweir.codes import Code, Failure
from hyssopweir.events import Event, EventLog
from hyssopweir.fleet import Worker
from hyssopweir.loops import run_forever, run_guarded
from hyssopweir.retries import Backoff
from hyssopweir.settings import Timing
from hyssopweir.slots import SlotLedger
from hyssopweir.worker_client import Fence, Inventory, WorkerClient

RETRY_BASE_MS: Millis = 50
RETRY_CAP_MS: Millis = 2_000
# No worker reports this revision, so a watch that carries it returns at once.
NO_REVISION = -1

# Watches of workers without tasks last this many times longer: such a worker has no
# lease to renew, and any change ends its watch at once.
IDLE_WATCH_FACTOR = 4

InventoryHandler = Callable[[Worker, Inventory], None]
WorkerHandler = Callable[[Worker], None]


class ShardWorkerListing(Protocol):
    """Part of the fleet view that lists the workers to link to."""

    def workers_of(self, shard: str) -> list[Worker]:
        """Return the workers of a shard in the instance list."""
        ...


class EpochLossHandler(Protocol):
    """Part of shard ownership that handles the loss of an epoch."""

    def lost(self, shard: str, epoch: int) -> None:
        """Record that a worker or the table service refused the epoch as stale."""
        ...


class _WorkerLink:
    """State of the claim on one worker and of its last inventory."""

    def __init__(self, worker: Worker, epoch: int) -> None:
        self.worker = worker
        self.epoch = epoch
        self.fence: Fence | None = None
        self.needs_claim = True
        self.incarnation = ""
        self.revision = NO_REVISION
        self.clock_ms: Millis = 0
        self.received_at_ms: Millis = 0
        self.leaving = False
        self.reachable = True
        self.has_tasks = False
        self.task: asyncio.Task[None] | None = None


class WorkerLinks(Service):
    """Maintains a claim on each worker of the owned shards and renews its leases.

    The calls to one worker are sequential, so that its inventories arrive in order.
    """

    def __init__(
        self,
        fleet: ShardWorkerListing,
        client: WorkerClient,
        ledger: SlotLedger,
        ownership: EpochLossHandler,
        timing: Timing,
        clock: Clock,
        log: EventLog,
    ) -> None:
        super().__init__()
        self._fleet = fleet
        self._client = client
        self._ledger = ledger
        self._ownership = ownership
        self._timing = timing
        self._clock = clock
        self._events = log
        self._links: dict[str, _WorkerLink] = {}
        self._shard_links: dict[str, dict[str, _WorkerLink]] = {}
        self._epochs: dict[str, int] = {}
        self._held_since_ms: dict[str, Millis] = {}
        self._lease_sent_ms: dict[str, Millis] = {}
        self._inventory_handlers: list[InventoryHandler] = []
        self._restart_handlers: list[WorkerHandler] = []
        self._removal_handlers: list[WorkerHandler] = []

    def fence_of(self, worker_id: str) -> Fence | None:
        """Return the fence for calls to a worker, or None until it is claimed."""
        link = self._links.get(worker_id)
        return link.fence if link is not None else None

    def is_leaving(self, worker_id: str) -> bool:
        """Return whether the worker itself reported that it is leaving."""
        link = self._links.get(worker_id)
        return link is not None and link.leaving

    def mark_leaving(self, worker_id: str) -> None:
        """Record that the worker refused work because it is leaving."""
        link = self._links.get(worker_id)
        if link is not None:
            link.leaving = True

    def lease_until_ms(self, worker_id: str) -> Millis | None:
        """Return the end of a new lease on the worker's clock, or None until claimed.

        The worker read its clock before its reply was received, so that the lease ends
        at most one lease term from now on the local clock, apart from clock drift.
        After a failed watch, no new lease is granted until the worker has answered a
        claim, so that the leases of an unresponsive worker expire.
        """
        link = self._links.get(worker_id)
        if link is None or link.needs_claim:
            return None
        now_ms = self._clock.now_ms()
        term_ms = self._timing["lease_ms"]
        self._lease_sent_ms[worker_id] = now_ms + term_ms
        return link.clock_ms + (now_ms - link.received_at_ms) + term_ms

    def lease_sent_until_ms(self, worker_id: str) -> Millis:
        """Return the end of the last granted lease on the local clock, 0 if none."""
        return self._lease_sent_ms.get(worker_id, 0)

    def held_since_ms(self, shard: str) -> Millis | None:
        """Return when the current uninterrupted ownership of the shard began."""
        return self._held_since_ms.get(shard)

    def on_inventory(self, handler: InventoryHandler) -> None:
        """Register a handler for each inventory, called after the slots are updated."""
        self._inventory_handlers.append(handler)

    def on_worker_restarted(self, handler: WorkerHandler) -> None:
        """Register a handler for workers that lost their runs in a restart."""
        self._restart_handlers.append(handler)

    def on_worker_removed(self, handler: WorkerHandler) -> None:
        """Register a handler for workers that are gone or whose shard was lost."""
        self._removal_handlers.append(handler)

    def shard_gained(self, shard: str, epoch: int) -> None:
        """Claim the workers of a shard, again for each new epoch."""
        if self._epochs.get(shard) == epoch:
            return
        self.shard_lost(shard)
        self._epochs[shard] = epoch
        self._held_since_ms[shard] = self._clock.now_ms()
        self._sync_links(shard)

    def shard_lost(self, shard: str) -> None:
        """Close the links to the workers of a shard."""
        self._epochs.pop(shard, None)
        self._held_since_ms.pop(shard, None)
        for link in self._links_of(shard):
            self._close_link(link)
            self._lease_sent_ms.pop(link.worker.worker_id, None)

    async def on_stop(self) -> None:
        """Cancel the tasks of all links; the ledger keeps its counts."""
        for link in self._links.values():
            if link.task is not None:
                link.task.cancel()

    @Service.task
    async def _sync_links_forever(self) -> None:
        await run_forever(
            self,
            self._timing["scan_ms"],
            self.refresh,
            self._clock,
            self._events,
        )

    async def refresh(self) -> None:
        """Open links to new workers and close those of workers that are gone."""
        for shard in list(self._epochs):
            self._sync_links(shard)

    def _sync_links(self, shard: str) -> None:
        listed = {worker.worker_id: worker for worker in self._fleet.workers_of(shard)}
        for link in self._links_of(shard):
            if listed.get(link.worker.worker_id) != link.worker:
                self._close_link(link)
        for worker_id, worker in listed.items():
            if worker_id not in self._links:
                self._open_link(worker, self._epochs[shard])

    def _links_of(self, shard: str) -> list[_WorkerLink]:
        return list(self._shard_links.get(shard, {}).values())

    def _open_link(self, worker: Worker, epoch: int) -> None:
        link = _WorkerLink(worker, epoch)
        self._links[worker.worker_id] = link
        self._shard_links.setdefault(worker.shard, {})[worker.worker_id] = link
        self._ledger.track_worker(worker)
        link.task = asyncio.create_task(self._maintain_link(link))

    def _close_link(self, link: _WorkerLink) -> None:
        worker_id = link.worker.worker_id
        if link.task is not None:
            link.task.cancel()
        del self._links[worker_id]
        links = self._shard_links[link.worker.shard]
        del links[worker_id]
        if not links:
            del self._shard_links[link.worker.shard]
        self._ledger.untrack_worker(worker_id)
        for handler in self._removal_handlers:
            handler(link.worker)

    async def _maintain_link(self, link: _WorkerLink) -> None:
        """Claim and watch one worker until the task is cancelled."""
        backoff = Backoff(RETRY_BASE_MS, RETRY_CAP_MS)

        async def claim_and_watch() -> None:
            failure = await self._claim_and_watch(link, backoff)
            self._handle_failure(link, failure)

        while True:
            if not await run_guarded(claim_and_watch, self.label, self._events):
                self._ledger.mark_unconfirmed(link.worker.worker_id)
            await self._clock.sleep_ms(backoff.next_ms())

    async def _claim_and_watch(self, link: _WorkerLink, backoff: Backoff) -> Failure:
        link.needs_claim = True
        claimed = await self._client.claim(link.worker, link.epoch)
        if isinstance(claimed, Err):
            return claimed.err_value
        self._process_claim(link, claimed.ok_value)
        while True:
            watched = await self._watch(link)
            if isinstance(watched, Err):
                return watched.err_value
            backoff.reset()
            self._process_inventory(link, watched.ok_value)

    async def _watch(self, link: _WorkerLink) -> Result[Inventory, Failure]:
        fence = link.fence
        lease_until_ms = self.lease_until_ms(link.worker.worker_id)
        assert fence is not None
        assert lease_until_ms is not None
        return await self._client.watch(
            link.worker,
            fence,
            link.revision,
            self._timing["watch_ms"] * (1 if link.has_tasks else IDLE_WATCH_FACTOR),
            lease_until_ms,
        )

    def _process_claim(self, link: _WorkerLink, inventory: Inventory) -> None:
        worker = link.worker
        self._events.emit(
            Event.WORKER_CLAIMED,
            worker=worker.worker_id,
            epoch=link.epoch,
            runs=len(inventory.runs),
        )
        restarted = link.incarnation not in ("", inventory.incarnation)
        link.incarnation = inventory.incarnation
        link.fence = Fence(link.epoch, inventory.incarnation)
        link.needs_claim = False
        if restarted:
            link.leaving = False
            self._events.emit(Event.WORKER_RESTARTED, worker=worker.worker_id)
            for handler in self._restart_handlers:
                handler(worker)
        self._process_inventory(link, inventory)

    def _process_inventory(self, link: _WorkerLink, inventory: Inventory) -> None:
        link.clock_ms = inventory.clock_ms
        link.received_at_ms = self._clock.now_ms()
        link.revision = inventory.revision
        link.reachable = True
        link.has_tasks = any(run.is_task for run in inventory.runs)
        link.leaving = link.leaving or inventory.leaving
        self._ledger.confirm(link.worker.worker_id, inventory.runs)
        for handler in self._inventory_handlers:
            handler(link.worker, inventory)

    def _handle_failure(self, link: _WorkerLink, failure: Failure) -> None:
        """Count the worker as full and handle a stale epoch or incarnation."""
        worker = link.worker
        self._ledger.mark_unconfirmed(worker.worker_id)
        link.needs_claim = True
        link.revision = NO_REVISION
        if failure.code is Code.STALE_INCARNATION:
            link.fence = None
        elif failure.code is Code.STALE_EPOCH:
            self._ownership.lost(worker.shard, link.epoch)
        elif link.reachable:
            link.reachable = False
            is_malformed = failure.code is Code.WORKER_JUNK
            event = (
                Event.WORKER_REPLY_INVALID if is_malformed else Event.WORKER_UNREACHABLE
            )
            self._events.emit(event, worker=worker.worker_id, error=str(failure))

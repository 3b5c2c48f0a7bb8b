"""Local copy of the instance list, refreshed periodically."""

from collections.abc import Callable, Collection

from mode import Service
from result import Err

from hyssopweir.clock import MINUTE_MS, Clock, Millis
from hyssopweir.events import Event, EventLog
from hyssopweir.fleet import ListedWorker, Worker
from hyssopweir.loops import run_forever
from hyssopweir.platform_services import InstanceList

# Exceeds every wait for the runs of a worker that left the list, and bounds the memory
# for such workers.
GONE_RETENTION_MS: Millis = 24 * 60 * MINUTE_MS


class FleetView(Service):
    """Polls the instance list and keeps the last copy while the list is unavailable.

    ``retired`` returns the ids of the workers that the configuration retires; they are
    treated as leaving.
    """

    def __init__(
        self,
        listing: InstanceList,
        clock: Clock,
        log: EventLog,
        scan_ms: Millis,
        retired: Callable[[], Collection[str]] = tuple,
    ) -> None:
        super().__init__()
        self._listing = listing
        self._clock = clock
        self._log = log
        self._scan_ms = scan_ms
        self._retired = retired
        self._is_available = True
        self._first_read_at_ms: Millis | None = None
        self._workers: dict[str, Worker] = {}
        self._by_shard: dict[str, list[Worker]] = {}
        self._leaving_since_ms: dict[str, Millis] = {}
        self._gone_since_ms: dict[str, Millis] = {}

    async def on_start(self) -> None:
        """Start to poll the list every ``scan_ms``."""
        self.add_future(
            run_forever(self, self._scan_ms, self.refresh, self._clock, self._log)
        )

    async def refresh(self) -> None:
        """Read the list once; keep the previous copy if the read fails."""
        reply = await self._listing.read()
        if isinstance(reply, Err):
            if self._is_available:
                self._log.emit(Event.LIST_UNAVAILABLE, detail=str(reply.err_value))
            self._is_available = False
            return
        self._is_available = True
        listings = {listing.worker.worker_id: listing for listing in reply.ok_value}
        if self._first_read_at_ms is None:
            self._first_read_at_ms = self._clock.now_ms()
        self._record_gone(listings)
        self._record_leaving(listings)
        self._replace_workers(listings)

    def workers(self) -> list[Worker]:
        """Return all listed workers, including those that are leaving."""
        return list(self._workers.values())

    def worker(self, worker_id: str) -> Worker | None:
        """Return a worker by its id, or None if it is not listed."""
        return self._workers.get(worker_id)

    def workers_of(self, shard: str) -> list[Worker]:
        """Return the listed workers of a shard."""
        return list(self._by_shard.get(shard, []))

    def shards(self) -> list[str]:
        """Return the shards with at least one listed worker, sorted."""
        return sorted(self._by_shard)

    def leaving_since_ms(self, worker_id: str) -> Millis | None:
        """Return when the worker began to leave or was retired, else None."""
        return self._leaving_since_ms.get(worker_id)

    def gone_since_ms(self, worker_id: str) -> Millis | None:
        """Return when the worker disappeared from the list, or None while it is listed.

        A worker that was absent in the first read counts as gone since that read.
        """
        if worker_id in self._workers:
            return None
        return self._gone_since_ms.get(worker_id, self._first_read_at_ms)

    def _record_gone(self, listings: dict[str, ListedWorker]) -> None:
        now_ms = self._clock.now_ms()
        for worker_id in self._workers.keys() - listings.keys():
            self._gone_since_ms[worker_id] = now_ms
            self._log.emit(Event.WORKER_GONE, worker=worker_id)
        self._gone_since_ms = {
            worker_id: since_ms
            for worker_id, since_ms in self._gone_since_ms.items()
            if worker_id not in listings and now_ms - since_ms < GONE_RETENTION_MS
        }

    def _record_leaving(self, listings: dict[str, ListedWorker]) -> None:
        now_ms = self._clock.now_ms()
        previous = self._leaving_since_ms
        retired = frozenset(self._retired())
        self._leaving_since_ms = {
            worker_id: previous.get(worker_id, now_ms)
            for worker_id, listing in listings.items()
            if listing.leaving or worker_id in retired
        }
        for worker_id in sorted(self._leaving_since_ms.keys() - previous.keys()):
            self._log.emit(Event.WORKER_LEAVING, worker=worker_id)

    def _replace_workers(self, listings: dict[str, ListedWorker]) -> None:
        self._workers = {
            worker_id: listing.worker for worker_id, listing in listings.items()
        }
        self._by_shard = {}
        for worker in self._workers.values():
            self._by_shard.setdefault(worker.shard, []).append(worker)

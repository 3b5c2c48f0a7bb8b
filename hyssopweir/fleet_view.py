"""The instance list as this instance sees it."""

from collections.abc import Callable, Collection

from mode import Service
from result import Err

from hyssopweir.clock import MINUTE_MS, Clock, Millis
from hyssopweir.events import Event, EventLog
from hyssopweir.fleet import ListedWorker, Worker
from hyssopweir.loops import run_forever
from hyssopweir.platform_services import InstanceList

# Longer than any wait for the runs of a worker that left; bounds the memory.
REMEMBER_GONE_MS: Millis = 24 * 60 * MINUTE_MS


class FleetView(Service):
    """Follow the instance list; the last copy stays in use while it is unavailable.

    ``retired`` returns the workers that the configuration retires; they are treated as
    leaving.
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
        self._first_read_ms: Millis | None = None
        self._workers: dict[str, Worker] = {}
        self._by_shard: dict[str, list[Worker]] = {}
        self._leaving_since_ms: dict[str, Millis] = {}
        self._gone_since_ms: dict[str, Millis] = {}

    async def on_start(self) -> None:
        """Read the list every ``scan_ms``."""
        self.add_future(
            run_forever(self, self._scan_ms, self.refresh, self._clock, self._log)
        )

    async def refresh(self) -> None:
        """Read the list once."""
        reply = await self._listing.read()
        if isinstance(reply, Err):
            if self._is_available:
                self._log.emit(Event.LIST_UNAVAILABLE, detail=str(reply.err_value))
            self._is_available = False
            return
        self._is_available = True
        listings = {listing.worker.worker_id: listing for listing in reply.ok_value}
        if self._first_read_ms is None:
            self._first_read_ms = self._clock.now_ms()
        self._note_gone(listings)
        self._note_leaving(listings)
        self._replace(listings)

    def workers(self) -> list[Worker]:
        """Return all listed workers, those that are leaving included."""
        return list(self._workers.values())

    def worker(self, worker_id: str) -> Worker | None:
        """Return a listed worker."""
        return self._workers.get(worker_id)

    def workers_of(self, shard: str) -> list[Worker]:
        """Return the listed workers of a shard."""
        return list(self._by_shard.get(shard, []))

    def shards(self) -> list[str]:
        """Return the shards that have a listed worker."""
        return sorted(self._by_shard)

    def leaving_since_ms(self, worker_id: str) -> Millis | None:
        """Return since when the worker is leaving or retired, None if it is not."""
        return self._leaving_since_ms.get(worker_id)

    def gone_since_ms(self, worker_id: str) -> Millis | None:
        """Return since when the worker is not listed any more, None if it is.

        A worker that left the list before the first read counts from that read.
        """
        if worker_id in self._workers:
            return None
        return self._gone_since_ms.get(worker_id, self._first_read_ms)

    def _note_gone(self, listings: dict[str, ListedWorker]) -> None:
        now_ms = self._clock.now_ms()
        for worker_id in self._workers.keys() - listings.keys():
            self._gone_since_ms[worker_id] = now_ms
            self._log.emit(Event.WORKER_GONE, worker=worker_id)
        self._gone_since_ms = {
            worker_id: since_ms
            for worker_id, since_ms in self._gone_since_ms.items()
            if worker_id not in listings and now_ms - since_ms < REMEMBER_GONE_MS
        }

    def _note_leaving(self, listings: dict[str, ListedWorker]) -> None:
        now_ms = self._clock.now_ms()
        before = self._leaving_since_ms
        retired = frozenset(self._retired())
        self._leaving_since_ms = {
            worker_id: before.get(worker_id, now_ms)
            for worker_id, listing in listings.items()
            if listing.leaving or worker_id in retired
        }
        for worker_id in sorted(self._leaving_since_ms.keys() - before.keys()):
            self._log.emit(Event.WORKER_LEAVING, worker=worker_id)

    def _replace(self, listings: dict[str, ListedWorker]) -> None:
        self._workers = {
            worker_id: listing.worker for worker_id, listing in listings.items()
        }
        self._by_shard = {}
        for worker in self._workers.values():
            self._by_shard.setdefault(worker.shard, []).append(worker)

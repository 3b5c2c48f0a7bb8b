"""Watch on the operator's rows in the row store: configuration and evacuations."""

from collections.abc import Callable

from result import Err, Ok, Result

from hyssopweir.call_failures import CallFailures
from hyssopweir.clock import Clock, Millis
from hyssopweir.codes import Code, Failure
from hyssopweir.evacuations import Evacuations
from hyssopweir.events import Event, EventLog
from hyssopweir.queue_policies import QueueConfiguration, QueueTable
from hyssopweir.row_store import RowPage, RowStore, StoredRow

# Together with the timeout, shorter than the time within which a new version must be in
# force, so that a dead connection is detected in time.
WATCH_MS: Millis = 900
READ_TIMEOUT_MS: Millis = 800
RETRY_MS: Millis = 60

Decoder = Callable[[bytes], QueueConfiguration]


class ConfigurationWatch:
    """Watcher that applies each newer configuration as soon as the store reports it.

    The same feed reports the evacuations, if the deployment has them.

    ``decode`` raises ``KeyError``, ``TypeError`` or ``ValueError`` on malformed input;
    ``on_reply`` is called after each successful reply of the store.
    """

    def __init__(
        self,
        table: str,
        key: str,
        decode: Decoder,
        queues: QueueTable,
        store: RowStore,
        on_reply: Callable[[], None],
        clock: Clock,
        log: EventLog,
        evacuations: Evacuations | None = None,
    ) -> None:
        self._table = table
        self._key = key
        self._decode = decode
        self._queues = queues
        self._store = store
        self._on_reply = on_reply
        self._clock = clock
        self._log = log
        self._evacuations = evacuations or Evacuations(clock, log)
        self._version = 0
        self._read_failures = CallFailures("configuration read", clock, log)
        self._watch_failures = CallFailures("configuration watch", clock, log)

    async def run(self) -> None:
        """Read the configuration and watch it for changes until cancelled."""
        while True:
            sent_ms = self._clock.boot_ms()
            page = await self._read_all_rows()
            if isinstance(page, Err):
                await self._clock.sleep_ms(RETRY_MS)
                continue
            self._evacuations.replace(page.ok_value.rows, sent_ms)
            self._apply_rows(page.ok_value.rows, page.ok_value.version)
            await self._watch_changes()

    async def _read_all_rows(self) -> Result[RowPage, Failure]:
        """Read the watched rows, with the version of the first page."""
        start, end = self._key_range()
        first = await self._read_page(start, end)
        if isinstance(first, Err):
            return first
        page, rows = first.ok_value, list(first.ok_value.rows)
        while page.more and page.rows and self._evacuations.is_enabled:
            reply = await self._read_page(rows[-1].at.key + "\0", end)
            if isinstance(reply, Err):
                return reply
            page = reply.ok_value
            rows.extend(page.rows)
        return Ok(RowPage(rows, first.ok_value.version, False))

    def _key_range(self) -> tuple[str, str]:
        """Return the keys to read: the other rows of the table can be large."""
        start, end = self._key, self._key + "\0"
        if not self._evacuations.is_enabled:
            return start, end
        prefix = self._evacuations.prefix
        behind_prefix = prefix[:-1] + chr(ord(prefix[-1]) + 1)
        return min(start, prefix), max(end, behind_prefix)

    async def _read_page(self, start: str, end: str) -> Result[RowPage, Failure]:
        sent_ms = self._clock.now_ms()
        page = await self._store.read_rows(self._table, "", start, end, READ_TIMEOUT_MS)
        self._read_failures.record(page, sent_ms, READ_TIMEOUT_MS)
        return page

    async def _watch_changes(self) -> None:
        """Apply changes until the store has discarded some of the history."""
        has_failed = False
        while True:
            sent_ms, sent_boot_ms = self._clock.now_ms(), self._clock.boot_ms()
            wait_ms = self._evacuations.watch_wait_ms(WATCH_MS, has_failed)
            timeout_ms = wait_ms + READ_TIMEOUT_MS
            changes = await self._store.watch(
                self._table, self._version, wait_ms, timeout_ms
            )
            self._watch_failures.record(changes, sent_ms, timeout_ms)
            has_failed = isinstance(changes, Err)
            if isinstance(changes, Err):
                if changes.err_value.code is Code.STORE_HISTORY_LOST:
                    return
                await self._clock.sleep_ms(RETRY_MS)
                continue
            self._evacuations.update(changes.ok_value.rows, sent_boot_ms)
            self._apply_rows(changes.ok_value.rows, changes.ok_value.version)

    def _apply_rows(self, rows: list[StoredRow], version: int) -> None:
        self._on_reply()
        self._version = version
        for row in rows:
            if row.at.key != self._key or row.is_deleted:
                continue
            try:
                cfg = self._decode(row.value)
            except (KeyError, TypeError, ValueError) as exc:
                self._log.emit(Event.CONFIGURATION_UNREADABLE, error=repr(exc))
                continue
            if self._queues.apply_configuration(cfg):
                self._log.emit(Event.CONFIGURATION_IN_FORCE, version=cfg.version)

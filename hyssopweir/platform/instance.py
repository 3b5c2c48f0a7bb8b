"""One instance on the platform: its parts, their start and their planned stop."""

import asyncio
import signal
from uuid import uuid4

from aiohttp import web
from mode import Service
from result import Err

from hyssopweir.cell_host import CellHost
from hyssopweir.clock import Clock, Millis
from hyssopweir.codes import Code
from hyssopweir.events import Event, EventLog
from hyssopweir.log_lines import BoundedLines
from hyssopweir.platform.frontend import Frontend, serve_http
from hyssopweir.platform.http_calls import HttpCalls
from hyssopweir.platform.operator_rows import (
    CONFIGURATION_KEY,
    OPERATOR_TABLE,
    configuration_of,
)
from hyssopweir.platform.row_calls import HttpRowStore
from hyssopweir.platform.settings import (
    PlatformSettings,
    load_platform_settings,
    settings_path,
)
from hyssopweir.platform.worker_calls import HttpAgent, HttpWorkerListing
from hyssopweir.queue_policies import QueueTable
from hyssopweir.row_store import StoredRow, read_all
from hyssopweir.text_metrics import CONTENT_TYPE, TextMetrics
from hyssopweir.workflow_desk import WorkflowDesk

CELL = "c0"
# Shorter than the silence after which the desk takes the store for away.
WATCH_MS: Millis = 400
READ_TIMEOUT_MS: Millis = 800
RETRY_MS: Millis = 60
# Without an answer of the store for that long, callers are better served elsewhere.
STORE_SILENCE_MS: Millis = 2_500
# The load balancer asks once a second and needs two refusals.
UNREADY_MS: Millis = 2_300
RELEASE_MS: Millis = 1_500
DRAIN_TICK_MS: Millis = 50


class PlatformInstance(Service):
    """Serve callers, and own cells, until SIGTERM."""

    def __init__(
        self, settings: PlatformSettings, lines: BoundedLines, clock: Clock
    ) -> None:
        super().__init__()
        self._lines = lines
        self._metrics = TextMetrics()
        self._settings = settings
        self._clock = clock
        self._log = EventLog(settings.instance, settings.data_centre, clock)
        self._log.subscribe(self._metrics.take)
        self._calls = HttpCalls()
        store = HttpRowStore(self._calls, settings.store)
        self._store = store
        self._queues = QueueTable()
        self._desk = WorkflowDesk(CELL, store, clock, self._log)
        self._frontend = Frontend(self._queues, self._desk, clock, self._log)
        self._host = CellHost(
            CELL,
            settings.instance,
            uuid4().hex[:12],
            store,
            HttpAgent(self._calls),
            lambda: HttpWorkerListing(store, clock, self._log),
            settings.keep_ms,
            clock,
            self._log,
        )
        self._store_ms: Millis = 0
        self._version = 0
        self._stop_wanted = asyncio.Event()
        self._runners: list[web.ServerRunner] = []

    async def on_start(self) -> None:
        """Open the listeners and start all parts."""
        loop = asyncio.get_running_loop()
        loop.add_signal_handler(signal.SIGTERM, self.request_stop)
        loop.add_signal_handler(signal.SIGHUP, self._reload)
        for handler, address in (
            (self._frontend.handle, self._settings.callers),
            (self._show_readiness, self._settings.readiness),
            (self._show_metrics, self._settings.metrics),
        ):
            self._runners.append(await serve_http(handler, address))
        self.add_future(self._watch_configuration())
        self.add_future(self._host.run())
        self._log.emit(Event.INSTANCE_STARTED)

    async def run(self) -> None:
        """Run until SIGTERM, then stop without cutting a request off."""
        await self.start()
        await self._stop_wanted.wait()
        await self._drain()
        await self.stop()

    async def on_stop(self) -> None:
        """Close all connections."""
        for runner in self._runners:
            await runner.cleanup()
        await self._calls.close()
        self._log.emit(Event.INSTANCE_STOPPED)

    def request_stop(self) -> None:
        """Begin a planned stop."""
        self._stop_wanted.set()

    def _reload(self) -> None:
        loaded = load_platform_settings(settings_path())
        if isinstance(loaded, Err):
            faults = [str(fault) for fault in loaded.err_value]
            self._log.emit(Event.BAD_INPUT, faults=faults)
            return
        self._log.emit(
            Event.SETTINGS_RELOADED, changed=loaded.ok_value != self._settings
        )

    async def _drain(self) -> None:
        self._log.emit(Event.INSTANCE_DRAINING)
        self._frontend.is_stopping = True
        started_ms = self._clock.now_ms()
        await self._host.release(RELEASE_MS)
        limit_ms = started_ms + self._settings.stop_limit_ms * 3 // 4
        while self._clock.now_ms() < limit_ms:
            is_unready = self._clock.now_ms() >= started_ms + UNREADY_MS
            if is_unready and not self._frontend.in_progress:
                break
            await self._clock.sleep_ms(DRAIN_TICK_MS)

    def _is_ready(self) -> bool:
        silent_ms = self._clock.now_ms() - self._store_ms
        return (
            self._queues.version > 0
            and not self._frontend.is_stopping
            and silent_ms < STORE_SILENCE_MS
        )

    async def _show_readiness(self, _: web.BaseRequest) -> web.StreamResponse:
        return web.Response(status=200 if self._is_ready() else 503)

    async def _show_metrics(self, _: web.BaseRequest) -> web.StreamResponse:
        text = self._metrics.text(self._lines.dropped)
        return web.Response(body=text, headers={"Content-Type": CONTENT_TYPE})

    async def _watch_configuration(self) -> None:
        while True:
            page = await read_all(self._store, OPERATOR_TABLE, "", READ_TIMEOUT_MS)
            if isinstance(page, Err):
                await self._clock.sleep_ms(RETRY_MS)
                continue
            self._take_rows(page.ok_value.rows, page.ok_value.version)
            await self._follow_configuration()

    async def _follow_configuration(self) -> None:
        """Take changes until some of them are no longer known."""
        while True:
            changes = await self._store.watch(
                OPERATOR_TABLE, self._version, WATCH_MS, WATCH_MS + READ_TIMEOUT_MS
            )
            if isinstance(changes, Err):
                if changes.err_value.code is Code.STORE_HISTORY_LOST:
                    return
                await self._clock.sleep_ms(RETRY_MS)
                continue
            self._take_rows(changes.ok_value.rows, changes.ok_value.version)

    def _take_rows(self, rows: list[StoredRow], version: int) -> None:
        self._store_ms = self._clock.now_ms()
        self._desk.note_answer()
        self._version = version
        for row in rows:
            if row.at.key != CONFIGURATION_KEY or row.is_deleted:
                continue
            try:
                cfg = configuration_of(row.value)
            except (KeyError, TypeError, ValueError) as exc:
                self._log.emit(Event.CONFIGURATION_UNREADABLE, error=repr(exc))
                continue
            if self._queues.take(cfg):
                self._log.emit(Event.CONFIGURATION_IN_FORCE, version=cfg.version)

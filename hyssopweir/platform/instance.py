"""One instance on the platform: its parts, their start and their planned stop."""

import asyncio
import signal
from uuid import uuid4

from aiohttp import web
from mode import Service
from result import Err

from hyssopweir.cell import HostSettings
from hyssopweir.cell_heartbeats import CellHeartbeats
from hyssopweir.cell_host import CellHost
from hyssopweir.cell_layout import LayoutAgreement
from hyssopweir.clock import Clock, Millis
from hyssopweir.configuration_watch import ConfigurationWatch
from hyssopweir.entry_lifecycle import claim_delay_ms, is_ready, may_end
from hyssopweir.events import Event, EventLog
from hyssopweir.log_lines import BoundedLines
from hyssopweir.platform.frontend import Frontend, serve_http
from hyssopweir.platform.http_agent import HttpAgent, HttpWorkerListing
from hyssopweir.platform.http_row_store import HttpRowStore
from hyssopweir.platform.json_http_client import HttpCalls
from hyssopweir.platform.operator_configuration import (
    CONFIGURATION_KEY,
    OPERATOR_TABLE,
    configuration_of,
)
from hyssopweir.platform.settings import (
    PlatformSettings,
    load_platform_settings,
    settings_path,
)
from hyssopweir.queue_policies import QueueTable
from hyssopweir.text_metrics import CONTENT_TYPE, TextMetrics
from hyssopweir.workflow_api import WorkflowApi

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
        self._store = store = HttpRowStore(self._calls, settings.store)
        self._queues = QueueTable()
        self._desk = WorkflowApi(store, clock, self._log)
        self._frontend = Frontend(self._queues, self._desk, clock, self._log)
        self._host = CellHost(
            HostSettings(
                settings.instance,
                uuid4().hex[:12],
                settings.keep_ms,
                settings.store_writes_per_second,
                claim_delay_ms(settings.processors, settings.link_mbps),
            ),
            store,
            HttpAgent(self._calls),
            self._new_listing,
            clock,
            self._log,
        )
        self._watch = ConfigurationWatch(
            OPERATOR_TABLE,
            CONFIGURATION_KEY,
            configuration_of,
            self._queues,
            store,
            self._desk.record_store_reply,
            clock,
            self._log,
        )
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
        self.add_future(self._watch.run())
        self.add_future(self._run_host())
        self._log.emit(Event.INSTANCE_STARTED)

    def _new_listing(self) -> HttpWorkerListing:
        return HttpWorkerListing(self._store, self._clock, self._log)

    async def _run_host(self) -> None:
        agreement = LayoutAgreement(
            self._settings.instance,
            self._store,
            self._new_listing(),
            self._clock,
            self._log,
        )
        layout = await agreement.reach()
        beats = CellHeartbeats(
            self._store, self._clock, layout.size, self._desk.record_store_reply
        )
        self._desk.open(layout, beats)
        await self._host.run(layout, beats)

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
        while not may_end(
            self._clock.now_ms() - started_ms,
            self._settings.stop_limit_ms,
            self._frontend.in_progress,
        ):
            await self._clock.sleep_ms(DRAIN_TICK_MS)

    def _is_ready(self) -> bool:
        return is_ready(
            self._queues.version > 0 and self._desk.is_open(),
            self._frontend.is_stopping,
            self._desk.store_silent_ms(),
        )

    async def _show_readiness(self, _: web.BaseRequest) -> web.StreamResponse:
        return web.Response(status=200 if self._is_ready() else 503)

    async def _show_metrics(self, _: web.BaseRequest) -> web.StreamResponse:
        text = self._metrics.text(self._lines.dropped)
        return web.Response(body=text, headers={"Content-Type": CONTENT_TYPE})

"""Service of one instance on the platform: its components, start and planned stop."""

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
from hyssopweir.client_limits import ClientBudget, derive_limits
from hyssopweir.clock import Clock, Millis
from hyssopweir.configuration_watch import ConfigurationWatch
from hyssopweir.entry_lifecycle import (
    UNREADY_DETECTION_MS,
    claim_delay_ms,
    is_ready,
    may_close_connections,
    owner_capacity,
)
from hyssopweir.evacuations import Evacuations
from hyssopweir.events import Event, EventLog
from hyssopweir.http_server import serve_http
from hyssopweir.log_lines import RateLimitedHandler
from hyssopweir.platform.frontend import Frontend
from hyssopweir.platform.http_agent import HttpAgent, HttpWorkerListing
from hyssopweir.platform.http_row_store import HttpRowStore
from hyssopweir.platform.json_http_client import JsonHttpClient
from hyssopweir.platform.operator_configuration import (
    CONFIGURATION_KEY,
    EVACUATION_PREFIX,
    OPERATOR_TABLE,
    parse_configuration,
)
from hyssopweir.platform.settings import (
    PlatformSettings,
    load_platform_settings,
    settings_path,
)
from hyssopweir.process_delays import ProcessDelays
from hyssopweir.queue_policies import QueueTable
from hyssopweir.silent_connections import SilentAddresses
from hyssopweir.text_metrics import CONTENT_TYPE, TextMetrics
from hyssopweir.workflow_api import WorkflowApi

RELEASE_TIMEOUT_MS: Millis = 1_500
DRAIN_POLL_MS: Millis = 50


class PlatformInstance(Service):
    """Service that answers callers and owns cells until SIGTERM."""

    def __init__(
        self, settings: PlatformSettings, lines: RateLimitedHandler, clock: Clock
    ) -> None:
        super().__init__()
        self._lines = lines
        self._metrics = TextMetrics()
        self._settings = settings
        self._clock = clock
        self._log = EventLog(settings.instance, settings.data_centre, clock)
        self._log.subscribe(self._metrics.record_event)
        self._budget = ClientBudget(
            derive_limits(
                settings.memory_mb,
                settings.file_descriptors,
                settings.client_memory_percent,
                settings.head_bytes,
                settings.head_ms,
                settings.body_ms,
            ),
            clock,
            self._log,
        )
        silent = SilentAddresses()
        self._client = JsonHttpClient(silent)
        # A start without a reply says little about a connection that has replied since.
        self._renewals = JsonHttpClient(SilentAddresses(silent))
        self._store = store = HttpRowStore(self._client, settings.store)
        self._queues = QueueTable()
        self._api = WorkflowApi(store, clock, self._log)
        self._frontend = Frontend(self._queues, self._api, clock, self._log)
        evacuations = Evacuations(
            clock, self._log, EVACUATION_PREFIX, settings.evacuation_limit_ms
        )
        self._delays = ProcessDelays(clock, self._log)
        self._host = CellHost(
            HostSettings(
                settings.instance,
                uuid4().hex[:12],
                settings.keep_ms,
                settings.store_writes_per_second,
                claim_delay_ms(settings.processors, settings.link_mbps),
                settings.longest_lease_ms,
                owner_capacity(
                    settings.processors, settings.link_mbps, settings.memory_mb
                ),
                settings.remote_factor,
            ),
            store,
            HttpAgent(self._client, self._renewals, self._log),
            self._new_listing,
            clock,
            self._log,
            evacuations,
            self._delays,
        )
        self._configuration_watch = ConfigurationWatch(
            OPERATOR_TABLE,
            CONFIGURATION_KEY,
            parse_configuration,
            self._queues,
            store,
            self._api.record_store_reply,
            clock,
            self._log,
            evacuations,
        )
        self._stop_requested = asyncio.Event()
        self._runners: list[web.ServerRunner] = []

    async def on_start(self) -> None:
        """Open the listeners and start the background tasks."""
        loop = asyncio.get_running_loop()
        loop.add_signal_handler(signal.SIGTERM, self.request_stop)
        loop.add_signal_handler(signal.SIGHUP, self._reload)
        for handler, address, is_operator in (
            (self._frontend.handle, self._settings.callers, False),
            (self._serve_readiness, self._settings.readiness, True),
            (self._serve_metrics, self._settings.metrics, True),
        ):
            self._runners.append(
                await serve_http(handler, address, self._budget, is_operator)
            )
        self.add_future(self._budget.run())
        self.add_future(self._delays.run())
        self.add_future(self._configuration_watch.run())
        self.add_future(self._run_host())
        self._log.emit(
            Event.INSTANCE_STARTED, client_limits=self._budget.limits._asdict()
        )

    def _new_listing(self) -> HttpWorkerListing:
        reads_cold = self._settings.evacuation_limit_ms is not None
        return HttpWorkerListing(self._store, self._clock, self._log, reads_cold)

    async def _run_host(self) -> None:
        agreement = LayoutAgreement(
            self._settings.instance,
            self._store,
            self._new_listing(),
            self._clock,
            self._log,
            lambda: self._queues.services,
        )
        layout = await agreement.wait_for_layout()
        heartbeats = CellHeartbeats(
            self._store,
            self._clock,
            layout.size,
            self._api.record_store_reply,
            self._log,
        )
        self._api.accept_requests(layout, heartbeats)
        await self._host.run(layout, heartbeats)

    async def run(self) -> None:
        """Run until SIGTERM, then stop once requests in progress end or time is up."""
        await self.start()
        await self._stop_requested.wait()
        await self._drain()
        await self.stop()

    async def on_stop(self) -> None:
        """Close the listeners and all connections."""
        for runner in self._runners:
            await runner.cleanup()
        await self._client.close()
        await self._renewals.close()
        self._log.emit(Event.INSTANCE_STOPPED)

    def request_stop(self) -> None:
        """Start a planned stop, after which ``run`` returns."""
        self._stop_requested.set()

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
        await self._host.release(RELEASE_TIMEOUT_MS)
        while not may_close_connections(
            self._clock.now_ms() - started_ms,
            self._settings.stop_limit_ms,
            self._frontend.in_progress,
        ):
            if self._clock.now_ms() - started_ms >= UNREADY_DETECTION_MS:
                self._budget.drop_unfinished()
            await self._clock.sleep_ms(DRAIN_POLL_MS)

    def _is_ready(self) -> bool:
        return is_ready(
            self._queues.version > 0 and self._api.is_accepting_requests(),
            self._frontend.is_stopping,
            self._api.store_silent_ms(),
        )

    async def _serve_readiness(self, _: web.BaseRequest) -> web.StreamResponse:
        return web.Response(status=200 if self._is_ready() else 503)

    async def _serve_metrics(self, _: web.BaseRequest) -> web.StreamResponse:
        self._metrics.record_clients(
            self._budget.connections, self._budget.held_bytes, self._budget.dropped
        )
        text = self._metrics.text(self._lines.dropped)
        return web.Response(body=text, headers={"Content-Type": CONTENT_TYPE})

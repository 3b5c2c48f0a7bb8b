"""Lookup of the final state of runs whose answer did not arrive."""

from typing import Protocol

from result import Err, Ok, Result

from hyssopweir.clock import Clock, Millis
from hyssopweir.codes import Code, Failure, not_run, unknown
from hyssopweir.contracts import KeyState
from hyssopweir.events import EventLog
from hyssopweir.fleet import Worker
from hyssopweir.idempotency import KeyStore, incarnation_of
from hyssopweir.key_recorder import build_final_row
from hyssopweir.loops import run_guarded
from hyssopweir.peers import Params, PeerNetwork
from hyssopweir.request_messages import (
    RESOLVE,
    ResolveCall,
    parse_report,
    parse_resolve,
    report_params,
)
from hyssopweir.retries import Backoff
from hyssopweir.routing import OwnSession
from hyssopweir.worker_client import (
    Fence,
    RequestRun,
    RunReport,
    RunState,
    WorkerClient,
)

LOOKUP_BASE_MS: Millis = 20
LOOKUP_CAP_MS: Millis = 1_000
PEER_LOOKUP_TIMEOUT_MS: Millis = 2_000


class WorkerLookup(Protocol):
    """Fleet view methods that run lookup needs."""

    def workers(self) -> list[Worker]:
        """Return all workers in the instance list."""
        ...

    def worker(self, worker_id: str) -> Worker | None:
        """Return a worker, None if the instance list doesn't have it."""
        ...


class ShardOwners(Protocol):
    """Shard ownership methods that run lookup needs."""

    def owner_of(self, shard: str) -> str | None:
        """Return the session that owns a shard, None if there is none."""
        ...

    def epoch_of(self, shard: str) -> int | None:
        """Return the epoch if this instance owns the shard, otherwise None."""
        ...


class FenceView(Protocol):
    """Worker link methods that run lookup needs."""

    def fence_of(self, worker_id: str) -> Fence | None:
        """Return the fence of a claimed worker, None if it is not claimed."""
        ...


class RunLookup:
    """Queries a worker, or the owner of its shard, for the final state of a run.

    ``FORGOTTEN`` covers each case in which the final state is lost: the worker has
    forgotten the run, has restarted, or is no longer in the instance list.
    """

    def __init__(
        self,
        membership: OwnSession,
        fleet: WorkerLookup,
        ownership: ShardOwners,
        links: FenceView,
        keys: KeyStore,
        client: WorkerClient,
        peers: PeerNetwork,
        clock: Clock,
        log: EventLog,
    ) -> None:
        self._membership = membership
        self._fleet = fleet
        self._ownership = ownership
        self._links = links
        self._keys = keys
        self._client = client
        self._peers = peers
        self._clock = clock
        self._log = log

    async def look_up_locally(
        self,
        shard: str,
        worker_id: str,
        run_id: str,
        incarnation: str = "",
    ) -> Result[RunReport, Failure]:
        """Query a worker of an owned shard for the state of a run.

        ``incarnation`` is that of the worker at the dispatch, empty if unknown.
        """
        if self.is_delisted(worker_id):
            return Ok(RunReport(run_id, RunState.FORGOTTEN))
        if self._ownership.epoch_of(shard) is None:
            return Err(not_run(Code.NOT_OWNER, f"this instance does not own {shard}"))
        worker = self._fleet.worker(worker_id)
        fence = self._links.fence_of(worker_id)
        if worker is None or fence is None:
            return Err(unknown(Code.WORKER_UNREACHABLE, "the worker is not claimed"))
        if incarnation not in ("", fence.incarnation):
            return Ok(RunReport(run_id, RunState.FORGOTTEN))
        return await self._client.lookup(worker, fence, run_id)

    def is_delisted(self, worker_id: str) -> bool:
        """Return whether the instance list is known and doesn't have the worker."""
        return self._fleet.worker(worker_id) is None and bool(self._fleet.workers())

    async def settle(
        self,
        shard: str,
        worker_id: str,
        run: RequestRun,
        fence: Fence,
    ) -> RunReport:
        """Poll until the final state of a sent run is certain, and return it."""
        call = ResolveCall(shard, worker_id, run.run_id, fence.incarnation)
        backoff = Backoff(LOOKUP_BASE_MS, LOOKUP_CAP_MS)
        ended: RunReport | None = None

        async def look_up() -> None:
            nonlocal ended
            reply = await self._query_owner(call)
            if isinstance(reply, Ok) and reply.ok_value.state is not RunState.RUNNING:
                ended = _validate(reply.ok_value, run)

        while True:
            await run_guarded(look_up, "RunLookup", self._log)
            if ended is not None:
                return ended
            await self._clock.sleep_ms(backoff.next_ms())

    async def settle_key(
        self,
        call: ResolveCall,
        expires_ms: Millis,
    ) -> Result[RunReport, Failure]:
        """Wait for the end of a run whose session has ended, and record it.

        The run either has a recorded end or, after a lookup that did not find it, can
        no longer start, so this is safe even if its session is still live.
        """
        backoff = Backoff(LOOKUP_BASE_MS, LOOKUP_CAP_MS)
        while True:
            reply = await self.look_up_locally(*call[:4])
            if isinstance(reply, Ok) and reply.ok_value.state is not RunState.RUNNING:
                return await self._record_end(call, reply.ok_value)
            if isinstance(reply, Err) and reply.err_value.code is Code.NOT_OWNER:
                return reply
            delay_ms = backoff.next_ms()
            if self._clock.now_ms() + delay_ms >= expires_ms:
                return reply
            await self._clock.sleep_ms(delay_ms)

    async def serve(
        self,
        params: Params,
        expires_ms: Millis,
    ) -> Result[Params, Failure]:
        """Handle a call of ``resolve`` from a peer."""
        try:
            call = parse_resolve(params)
        except ValueError as exc:
            return Err(not_run(Code.PEER_JUNK, f"bad call of resolve: {exc}"))
        if call.key:
            reply = await self.settle_key(call, expires_ms)
        else:
            reply = await self.look_up_locally(*call[:4])
        return reply.map(report_params)

    async def resolve_at_owner(
        self,
        call: ResolveCall,
        expires_ms: Millis,
    ) -> Result[RunReport, Failure]:
        """Resolve the run at the current owner of its shard, possibly this instance."""
        owner = self._ownership.owner_of(call.shard)
        if owner == self._membership.session or self.is_delisted(call.worker_id):
            if call.key:
                return await self.settle_key(call, expires_ms)
            return await self.look_up_locally(*call[:4])
        if owner is None:
            return Err(not_run(Code.NOT_OWNER, f"{call.shard} has no owner"))
        reply = await self._peers.call(owner, RESOLVE, call._asdict(), expires_ms)
        if isinstance(reply, Err):
            return reply
        try:
            return Ok(parse_report(reply.ok_value))
        except ValueError as exc:
            return Err(unknown(Code.PEER_JUNK, f"bad reply to resolve: {exc}"))

    async def _query_owner(self, call: ResolveCall) -> Result[RunReport, Failure]:
        return await self.resolve_at_owner(
            call, self._clock.now_ms() + PEER_LOOKUP_TIMEOUT_MS
        )

    async def _record_end(
        self,
        call: ResolveCall,
        report: RunReport,
    ) -> Result[RunReport, Failure]:
        found = await self._keys.find(call.caller, call.key)
        if isinstance(found, Err):
            return found
        row, version = found.ok_value
        if (
            row is None
            or row["state"] != KeyState.DISPATCHED
            or row["run_id"] != call.run_id
            or incarnation_of(row) != call.incarnation
        ):
            return Ok(report)
        ended, answer = build_final_row(row, report)
        reply = await self._keys.record_end(
            call.caller, call.key, ended, version, answer
        )
        return reply.map(lambda _: report)


def _validate(report: RunReport, run: RequestRun) -> RunReport:
    """Return the report, or ``FORGOTTEN`` if its answer isn't for this request."""
    if report.state is not RunState.DONE:
        return report
    if report.request_id == run.request_id and report.answer is not None:
        return report
    return RunReport(report.run_id, RunState.FORGOTTEN)

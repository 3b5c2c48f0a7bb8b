"""Finding out how a run ended whose answer did not arrive."""

from typing import Protocol

from result import Err, Ok, Result

from hyssopweir.clock import Clock, Millis
from hyssopweir.codes import Code, Failure, not_run, unknown
from hyssopweir.contracts import KeyState
from hyssopweir.events import EventLog
from hyssopweir.fleet import Worker
from hyssopweir.idempotency import KeyStore, incarnation_of
from hyssopweir.key_recorder import end_of_run
from hyssopweir.loops import run_guarded
from hyssopweir.peers import Params, PeerNetwork
from hyssopweir.request_messages import (
    RESOLVE,
    ResolveCall,
    read_report,
    read_resolve,
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
PEER_LOOKUP_MS: Millis = 2_000


class FleetWorkers(Protocol):
    """Name the part of the fleet view that lookups use."""

    def workers(self) -> list[Worker]:
        """Return all listed workers."""
        ...

    def worker(self, worker_id: str) -> Worker | None:
        """Return a listed worker."""
        ...


class ShardOwners(Protocol):
    """Name the part of shard ownership that lookups use."""

    def owner_of(self, shard: str) -> str | None:
        """Return the session of the owner."""
        ...

    def epoch_of(self, shard: str) -> int | None:
        """Return the epoch if this instance owns the shard."""
        ...


class Fences(Protocol):
    """Name the part of the worker links that lookups use."""

    def fence_of(self, worker_id: str) -> Fence | None:
        """Return the fence of a claimed worker."""
        ...


class RunLookup:
    """Ask the worker, or the current owner of its shard, for the end of a run.

    ``FORGOTTEN`` stands for every end that can't be known any more: the worker has
    forgotten the run, has restarted, or is gone from the instance list.
    """

    def __init__(
        self,
        membership: OwnSession,
        fleet: FleetWorkers,
        ownership: ShardOwners,
        links: Fences,
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

    async def here(
        self,
        shard: str,
        worker_id: str,
        run_id: str,
        incarnation: str = "",
    ) -> Result[RunReport, Failure]:
        """Look a run up at a worker of an owned shard.

        ``incarnation`` is the worker's at the dispatch, if it is known.
        """
        if self.is_gone(worker_id):
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

    def is_gone(self, worker_id: str) -> bool:
        """Tell whether the instance list no longer has the worker."""
        return self._fleet.worker(worker_id) is None and bool(self._fleet.workers())

    async def settle(
        self,
        shard: str,
        worker_id: str,
        run: RequestRun,
        fence: Fence,
    ) -> RunReport:
        """Ask again and again until the end of a run that was sent is certain."""
        call = ResolveCall(shard, worker_id, run.run_id, fence.incarnation)
        backoff = Backoff(LOOKUP_BASE_MS, LOOKUP_CAP_MS)
        ended: RunReport | None = None

        async def look_up() -> None:
            nonlocal ended
            reply = await self._anywhere(call)
            if isinstance(reply, Ok) and reply.ok_value.state is not RunState.RUNNING:
                ended = _checked(reply.ok_value, run)

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
        """Wait for the end of a run whose session is gone, and record the end.

        The run either has a recorded end or, after a lookup that did not find it, can't
        start any more, so this is safe even if its session is still alive.
        """
        backoff = Backoff(LOOKUP_BASE_MS, LOOKUP_CAP_MS)
        while True:
            reply = await self.here(*call[:4])
            if isinstance(reply, Ok) and reply.ok_value.state is not RunState.RUNNING:
                return await self._record(call, reply.ok_value)
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
        """Answer a peer's call of ``resolve``."""
        try:
            call = read_resolve(params)
        except ValueError as exc:
            return Err(not_run(Code.PEER_JUNK, f"bad call of resolve: {exc}"))
        if call.key:
            reply = await self.settle_key(call, expires_ms)
        else:
            reply = await self.here(*call[:4])
        return reply.map(report_params)

    async def at_owner(
        self,
        call: ResolveCall,
        expires_ms: Millis,
    ) -> Result[RunReport, Failure]:
        """Resolve at the current owner, which may be this instance."""
        owner = self._ownership.owner_of(call.shard)
        if owner == self._membership.session or self.is_gone(call.worker_id):
            if call.key:
                return await self.settle_key(call, expires_ms)
            return await self.here(*call[:4])
        if owner is None:
            return Err(not_run(Code.NOT_OWNER, f"{call.shard} has no owner"))
        reply = await self._peers.call(owner, RESOLVE, call._asdict(), expires_ms)
        if isinstance(reply, Err):
            return reply
        try:
            return Ok(read_report(reply.ok_value))
        except ValueError as exc:
            return Err(unknown(Code.PEER_JUNK, f"bad reply to resolve: {exc}"))

    async def _anywhere(self, call: ResolveCall) -> Result[RunReport, Failure]:
        return await self.at_owner(call, self._clock.now_ms() + PEER_LOOKUP_MS)

    async def _record(
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
        ended, answer = end_of_run(row, report)
        reply = await self._keys.record_end(
            call.caller, call.key, ended, version, answer
        )
        return reply.map(lambda _: report)


def _checked(report: RunReport, run: RequestRun) -> RunReport:
    """Return the report, or an unknown end if the answer is not this request's."""
    if report.state is not RunState.DONE:
        return report
    if report.request_id == run.request_id and report.answer is not None:
        return report
    return RunReport(report.run_id, RunState.FORGOTTEN)

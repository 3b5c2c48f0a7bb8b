"""Queue and execution of requests at the owner of a shard."""

import asyncio
from collections.abc import Callable, Coroutine
from itertools import count
from typing import Any, TypeVar

from mode import Service
from result import Err, Ok, Result

from hyssopweir.admission import (
    Admission,
    ClaimedWorkers,
    LeavingView,
    OwnedShards,
)
from hyssopweir.clock import Clock, Millis
from hyssopweir.codes import Code, Failure, Outcome, not_run, unknown
from hyssopweir.contracts import Answer, KeyRow, KeyState, Request, run_id_of
from hyssopweir.events import Event, EventLog
from hyssopweir.fleet import Worker
from hyssopweir.idempotency import (
    KeyStore,
    ended_row,
    key_name,
    request_digest,
    unsent,
)
from hyssopweir.invariants import InvariantError, Invariants
from hyssopweir.key_recorder import KeyRecorder, end_of_run
from hyssopweir.load_announcer import LoadAnnouncer
from hyssopweir.loops import run_forever
from hyssopweir.measurements import Measurements
from hyssopweir.peers import Params, PeerNetwork
from hyssopweir.request_execution import RequestWork, answer_of, is_end_of, is_refusal
from hyssopweir.request_messages import (
    EXECUTE,
    RESOLVE,
    ResolveCall,
    answer_params,
    read_execute,
)
from hyssopweir.routing import (
    LatencyAverages,
    OwnSession,
)
from hyssopweir.run_lookup import RunLookup
from hyssopweir.settings import Settings
from hyssopweir.slots import SlotLedger
from hyssopweir.table import ABSENT
from hyssopweir.worker_client import (
    Fence,
    RequestRun,
    RunReport,
    RunState,
    WorkerClient,
)
from hyssopweir.worker_health import WorkerHealth

RECORD_WAIT_MS: Millis = 500
SETTLE_UNCONFIRMED_MS: Millis = 500
# An idempotent request is run elsewhere rather than wait for a worker that may be dead.
SETTLE_IDEMPOTENT_MS: Millis = 200
MOST_TRIES = 5

T = TypeVar("T")
LatencyHandler = Callable[[Worker, str, float], None]


class Dispatcher(Service):
    """Run requests on the workers of the owned shards.

    ``shard_lost`` must be called when ownership of a shard ends.
    """

    def __init__(
        self,
        membership: OwnSession,
        fleet: LeavingView,
        ownership: OwnedShards,
        links: ClaimedWorkers,
        ledger: SlotLedger,
        keys: KeyStore,
        client: WorkerClient,
        peers: PeerNetwork,
        invariants: Invariants,
        measurements: Measurements,
        cfg: Settings,
        clock: Clock,
        log: EventLog,
    ) -> None:
        super().__init__()
        self._membership = membership
        self._fleet = fleet
        self._ownership = ownership
        self._links = links
        self._ledger = ledger
        self._keys = keys
        self._recorder = KeyRecorder(keys, clock, log)
        self._client = client
        self._lookup = RunLookup(
            membership, fleet, ownership, links, keys, client, peers, clock, log
        )
        self._peers = peers
        self._invariants = invariants
        self._measurements = measurements
        self._cfg = cfg
        self._clock = clock
        self._events = log
        self.health = WorkerHealth(fleet, clock, log)
        links.on_worker_removed(self._forget_health)
        links.on_restarted(self._forget_health)
        self._admission = Admission(
            fleet,
            ownership,
            links,
            ledger,
            self.health,
            measurements,
            cfg,
            clock,
            log,
        )
        self._sequence = count(1)
        self._latency_ms = LatencyAverages()
        self._latency_handlers: list[LatencyHandler] = []
        self._running: set[asyncio.Task[Any]] = set()
        self._notes = LoadAnnouncer(peers, clock)
        peers.register(EXECUTE, self._serve_execute)
        peers.register(RESOLVE, self._lookup.serve)

    @property
    def in_progress(self) -> int:
        """Return the number of requests and of key records in progress."""
        return len(self._running)

    def on_latency(self, handler: LatencyHandler) -> None:
        """Call ``handler`` with worker, service and latency (ms) of each answer."""
        self._latency_handlers.append(handler)

    async def execute(
        self,
        req: Request,
        shard: str,
        key_version: int,
    ) -> Result[Answer, Failure]:
        """Run a request on a worker of ``shard``; return by its expiry.

        A run that was sent goes on if the caller is cancelled or the deadline passes,
        until its end is certain and recorded.
        """
        work = RequestWork(req, shard, key_version)
        task = self._spawn(self._run_work(work))
        try:
            await self._wait(task, req.expires_ms - self._clock.now_ms())
            if not task.done() and not work.granted:
                await self._wait(task, RECORD_WAIT_MS)
        except asyncio.CancelledError:
            # A recorded dispatch goes on until its end is recorded; nobody settles the
            # record of a live session.
            if not work.granted and work.row is None:
                task.cancel()
            raise
        if not task.done():
            detail = "the request did not end within its deadline"
            return Err(unknown(Code.DEADLINE_EXCEEDED, detail))
        if task.cancelled():
            return Err(unknown(Code.OUTCOME_UNKNOWN, "the instance is stopping"))
        return task.result()

    async def resolve(
        self,
        shard: str,
        worker_id: str,
        run_id: str,
        incarnation: str = "",
    ) -> Result[RunReport, Failure]:
        """Look a run up at a worker of an owned shard."""
        return await self._lookup.here(shard, worker_id, run_id, incarnation)

    async def settle_key(
        self,
        call: ResolveCall,
        expires_ms: Millis,
    ) -> Result[RunReport, Failure]:
        """Let the current owner record the end of a run whose session is gone."""
        return await self._lookup.at_owner(call, expires_ms)

    def load(self) -> Params:
        """Return free slots, queue length and expected wait of each owned shard."""
        owned = self._ownership.owned()
        return {"shards": {shard: self._admission.load_of(shard) for shard in owned}}

    def shard_lost(self, shard: str) -> None:
        """Refuse the queue of a shard, so that it is forwarded to the new owner."""
        self._admission.shard_lost(shard)

    async def on_stop(self) -> None:
        """Cancel what is still in progress."""
        for task in list(self._running):
            task.cancel()

    @Service.task
    async def _announce_forever(self) -> None:
        interval_ms = self._cfg["timing"]["load_note_ms"]
        await run_forever(self, interval_ms, self._announce, self._clock, self._events)

    @Service.task
    async def _settle_forever(self) -> None:
        await run_forever(
            self,
            SETTLE_UNCONFIRMED_MS,
            self._keys.settle_unconfirmed,
            self._clock,
            self._events,
        )

    async def _announce(self) -> None:
        self._admission.assign_all()
        self._notes.announce(self.load()["shards"])

    async def _run_work(self, work: RequestWork) -> Result[Answer, Failure]:
        try:
            prepared = await self._prepare(work)
            if isinstance(prepared, Err):
                return prepared
            return await self._try_workers(work)
        except InvariantError as exc:
            return Err(unknown(Code.INVARIANT_BREACH, str(exc)))
        except Exception as exc:
            self._events.emit(
                Event.BACKGROUND_TASK_FAILED,
                task="Dispatcher.execute",
                request_id=work.req.request_id,
                error=f"{type(exc).__name__}: {exc}",
            )
            return Err(unknown(Code.INTERNAL, "the execution failed unexpectedly"))

    async def _prepare(self, work: RequestWork) -> Result[None, Failure]:
        """Find the attempt that follows the record that the receiver saw."""
        req = work.req
        if not req.idempotent and req.key is None:
            return Err(not_run(Code.KEY_REQUIRED, "the request needs a key"))
        if req.key is None or work.version == ABSENT:
            return Ok(None)
        found = await self._keys.find(req.caller, req.key)
        if isinstance(found, Err):
            return Err(unsent(found.err_value))
        row, version = found.ok_value
        if version != work.version or row is None or row["state"] != KeyState.NOT_RUN:
            return Err(not_run(Code.STORE_CONFLICT, "the key record has changed"))
        work.attempt = row["attempt"]
        return Ok(None)

    async def _try_workers(self, work: RequestWork) -> Result[Answer, Failure]:
        while True:
            work.run_id = self._next_run_id(work)
            slot = await self._admission.acquire(work.req, work.shard, work.run_id)
            if isinstance(slot, Err):
                return await self._refuse(work, slot.err_value)
            work.tries += 1
            work.granted = True
            work.granted_at_ms = self._clock.now_ms()
            end = await self._attempt(work, slot.ok_value)
            if not isinstance(end, Failure):
                return end
            if work.tries >= MOST_TRIES or end.code is Code.INVARIANT_BREACH:
                return await self._refuse(work, end)
            work.granted = False
            self._log(Event.REQUEST_RETRIED, work, reason=str(end))

    def _next_run_id(self, work: RequestWork) -> str:
        """Return a run id that no earlier run has had.

        The number of a run without a key comes from one sequence, because a caller may
        use a request id twice.
        """
        req = work.req
        if req.key is not None:
            return run_id_of(key_name(req.caller, req.key), work.attempt + 1)
        name = f"{self._membership.session}/{req.request_id}"
        return run_id_of(name, next(self._sequence))

    async def _attempt(
        self,
        work: RequestWork,
        worker_id: str,
    ) -> Result[Answer, Failure] | Failure:
        """Run on one worker; a bare failure means that another may be tried."""
        worker = self._fleet.worker(worker_id)
        fence = self._links.fence_of(worker_id)
        if worker is None or fence is None:
            self._ledger.release(worker_id, work.run_id)
            return not_run(Code.WORKER_UNREACHABLE, "the worker is not claimed")
        recorded = await self._record_dispatch(work, worker, fence)
        if isinstance(recorded, Err):
            self._ledger.release(worker_id, work.run_id)
            return await self._refuse(work, recorded.err_value)
        refusal = self._last_check(work, worker)
        if refusal is not None:
            self._ledger.release(worker_id, work.run_id)
            return refusal
        return await self._send(work, worker, fence)

    async def _record_dispatch(
        self,
        work: RequestWork,
        worker: Worker,
        fence: Fence,
    ) -> Result[None, Failure]:
        req = work.req
        if req.key is None:
            return Ok(None)
        row: KeyRow = {
            "digest": request_digest(req),
            "state": KeyState.DISPATCHED.value,
            "attempt": work.attempt + 1,
            "run_id": work.run_id,
            "shard": work.shard,
            "worker": worker.worker_id,
            "epoch": fence.epoch,
            "session": self._membership.session,
            "incarnation": fence.incarnation,
        }
        reply = await self._keys.record_dispatch(req.caller, req.key, row, work.version)
        if isinstance(reply, Err):
            return reply
        work.row, work.version = row, reply.ok_value
        work.attempt += 1
        return Ok(None)

    def _last_check(self, work: RequestWork, worker: Worker) -> Failure | None:
        """Check what may have changed while the dispatch was recorded."""
        req, worker_id = work.req, worker.worker_id
        if req.expires_ms <= self._clock.now_ms():
            return not_run(Code.DEADLINE_EXCEEDED, "the deadline has passed")
        if not self._admission.is_open(worker_id):
            return not_run(Code.WORKER_LEAVING, "the worker is leaving")
        try:
            leaving_since_ms = self._fleet.leaving_since_ms(worker_id)
            self._invariants.work_given(worker_id, leaving_since_ms)
            self._invariants.request_dispatched(req.request_id)
            if req.key is not None:
                self._invariants.key_dispatched(req.caller, req.key, work.attempt)
        except InvariantError as exc:
            return not_run(Code.INVARIANT_BREACH, str(exc))
        return None

    async def _send(
        self,
        work: RequestWork,
        worker: Worker,
        fence: Fence,
    ) -> Result[Answer, Failure] | Failure:
        req = work.req
        started_ms = work.sent_at_ms = self._clock.now_ms()
        run = RequestRun(
            work.run_id,
            req.request_id,
            req.service,
            req.body,
            max(req.expires_ms - started_ms, 1),
        )
        self._log(Event.REQUEST_DISPATCHED, work, worker=worker.worker_id)
        load = self._measurements.load(worker.worker_id)
        reply = await self._call(worker, fence, run)
        if isinstance(reply, Ok) and is_end_of(work, reply.ok_value):
            latency_ms = self._clock.now_ms() - started_ms
            rank = self._latency_ms.note(worker.worker_id, latency_ms)
            self._ledger.set_rank(worker.worker_id, rank)
            # A failure may come at once and says nothing about the time.
            is_done = reply.ok_value.state is RunState.DONE
            if is_done and self._ownership.epoch_of(work.shard) is not None:
                work.own_latency_ms = self._measurements.request_ended(
                    worker, req.service, started_ms, load
                )
            return await self._conclude(work, worker, reply.ok_value)
        if isinstance(reply, Err) and reply.err_value.outcome is Outcome.RAN:
            return await self._ran_in_vain(work, worker, reply.err_value)
        if isinstance(reply, Err) and is_refusal(reply.err_value):
            self._note_refusal(work, worker, reply.err_value, fence.epoch)
            return reply.err_value
        settling = self._spawn(self._settle(work, worker, run, fence))
        if work.req.idempotent:
            await self._wait(settling, SETTLE_IDEMPOTENT_MS)
            if not settling.done():
                detail = "the worker did not answer"
                return Err(unknown(Code.OUTCOME_UNKNOWN, detail))
        return await settling

    async def _settle(
        self,
        work: RequestWork,
        worker: Worker,
        run: RequestRun,
        fence: Fence,
    ) -> Result[Answer, Failure] | Failure:
        report = await self._lookup.settle(work.shard, worker.worker_id, run, fence)
        return await self._conclude(work, worker, report)

    async def _call(
        self,
        worker: Worker,
        fence: Fence,
        run: RequestRun,
    ) -> Result[RunReport, Failure]:
        """Call the worker; after an exception, as after no answer, the run may live."""
        try:
            return await self._client.execute(worker, fence, run)
        except Exception as exc:
            detail = f"{type(exc).__name__}: {exc}"
            return Err(unknown(Code.WORKER_JUNK, detail))

    def _note_refusal(
        self, work: RequestWork, worker: Worker, failure: Failure, epoch: int
    ) -> None:
        """Free the slot and keep the worker from being chosen again at once."""
        worker_id = worker.worker_id
        self._log(
            Event.WORKER_REFUSED,
            work,
            worker=worker_id,
            reason=str(failure),
        )
        if failure.code is Code.WORKER_LEAVING:
            self._links.mark_leaving(worker_id)
        else:
            self._ledger.forget(worker_id)
        self._ledger.release(worker_id, work.run_id)
        if failure.code is Code.STALE_EPOCH:
            self._ownership.lost(work.shard, epoch)

    async def _conclude(
        self,
        work: RequestWork,
        worker: Worker,
        report: RunReport,
    ) -> Result[Answer, Failure] | Failure:
        """Free the slot of a run whose end is certain, and record the end."""
        self._ledger.release(worker.worker_id, work.run_id)
        now_ms = self._clock.now_ms()
        held_ms, latency_ms = now_ms - work.granted_at_ms, now_ms - work.sent_at_ms
        if report.state is RunState.DONE:
            for handler in self._latency_handlers:
                handler(worker, work.req.service, latency_ms)
        if report.state is RunState.NEVER_SEEN:
            return not_run(Code.WORKER_REFUSED, "the worker never received the run")
        if work.row is not None:
            await self._record(work, *end_of_run(work.row, report))
        if report.state is RunState.FORGOTTEN:
            detail = "the worker can't say how the run ended"
            return Err(unknown(Code.OUTCOME_UNKNOWN, detail))
        if report.state is not RunState.DONE or report.answer is None:
            self._note_health(work, worker, has_failed=True)
            detail = report.error or f"the run ended as {report.state.value}"
            return Err(Failure(Code.TASK_FAILED, detail, Outcome.RAN))
        self._note_health(work, worker, has_failed=False)
        self._admission.note_service(work.shard, held_ms)
        return Ok(answer_of(work, worker, report.answer))

    def _note_health(self, work: RequestWork, worker: Worker, has_failed: bool) -> None:
        """Note the end of a run.

        A worker must not count as slow for the tasks that were placed there, so the
        latency is that without their predicted effect.
        """
        if self._links.fence_of(worker.worker_id) is None:
            # The shard was lost during the run; what is known of it was dropped.
            return
        if has_failed:
            self.health.failed(worker, work.req.service)
        else:
            self.health.succeeded(worker, work.req.service, work.own_latency_ms)

    def _forget_health(self, worker: Worker) -> None:
        self.health.forget(worker.worker_id)

    async def _ran_in_vain(
        self,
        work: RequestWork,
        worker: Worker,
        failure: Failure,
    ) -> Result[Answer, Failure]:
        """Record a run that has ended without an answer that can be used."""
        self._ledger.release(worker.worker_id, work.run_id)
        if work.row is not None:
            error = f"{failure.code.name}: {failure.detail}"
            await self._record(work, ended_row(work.row, KeyState.DONE, error))
        return Err(failure)

    async def _refuse(
        self, work: RequestWork, failure: Failure
    ) -> Result[Answer, Failure]:
        """Record that the last attempt did not run, if one was recorded."""
        if work.row is not None:
            await self._record(work, ended_row(work.row, KeyState.NOT_RUN))
        return Err(failure)

    async def _record(
        self,
        work: RequestWork,
        ended: KeyRow,
        answer: bytes | None = None,
    ) -> None:
        """Write the end of a keyed run; go on after 500 ms while it is written."""
        req = work.req
        assert req.key is not None
        task = self._spawn(
            self._recorder.write_end(req.caller, req.key, ended, work.version, answer)
        )
        await self._wait(task, RECORD_WAIT_MS)
        if not task.done():
            self._log(Event.KEY_RECORD_DELAYED, work, state=ended["state"])

    async def _serve_execute(
        self,
        params: Params,
        expires_ms: Millis,
    ) -> Result[Params, Failure]:
        try:
            req, shard, key_version = read_execute(params, expires_ms)
        except ValueError as exc:
            return Err(not_run(Code.PEER_JUNK, f"bad call of execute: {exc}"))
        reply = await self.execute(req, shard, key_version)
        if isinstance(reply, Err):
            return reply
        return Ok(answer_params(reply.ok_value))

    async def _wait(self, fut: "asyncio.Future[Any]", wait_ms: Millis) -> None:
        """Wait for ``fut`` without cancelling it."""
        await asyncio.wait({fut}, timeout=max(wait_ms, 0) / 1_000)

    def _spawn(self, work: Coroutine[Any, Any, T]) -> asyncio.Task[T]:
        task = asyncio.create_task(work)
        self._running.add(task)
        task.add_done_callback(self._running.discard)
        return task

    def _log(self, event: Event, work: RequestWork, **fields: Any) -> None:
        self._events.emit(
            event,
            request_id=work.req.request_id,
            run=work.run_id,
            shard=work.shard,
            **fields,
        )

"""Execution of requests at the owner of a shard."""

import asyncio
from collections.abc import Callable, Coroutine
from itertools import count
from typing import Any, TypeVar

from mode import Service
from result import Err, Ok, Result

from hyssopweir.admission import (
    Admission,
    DispatchFleetView,
    ShardOwnership,
    WorkerLinksView,
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
    mark_attempt_not_run,
    request_digest,
)
from hyssopweir.invariants import InvariantError, Invariants
from hyssopweir.key_recorder import KeyRecorder, build_final_row
from hyssopweir.load_announcer import LoadAnnouncer
from hyssopweir.loops import run_forever
from hyssopweir.measurements import Measurements
from hyssopweir.peers import Params, PeerNetwork
from hyssopweir.request_execution import (
    RequestExecution,
    build_answer,
    is_final_report,
    is_refusal,
)
from hyssopweir.request_messages import (
    EXECUTE,
    RESOLVE,
    ResolveCall,
    answer_params,
    parse_execute,
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
SETTLE_INTERVAL_MS: Millis = 500
# An idempotent request is retried elsewhere after this time, because its worker may be
# dead.
IDEMPOTENT_SETTLE_WAIT_MS: Millis = 200
MAX_TRIES = 5

T = TypeVar("T")
LatencyHandler = Callable[[Worker, str, float], None]


class Dispatcher(Service):
    """Runs requests on the workers of the owned shards.

    ``shard_lost`` must be called when ownership of a shard ends.
    """

    def __init__(
        self,
        membership: OwnSession,
        fleet: DispatchFleetView,
        ownership: ShardOwnership,
        links: WorkerLinksView,
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
        links.on_worker_restarted(self._forget_health)
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
        self._load_announcer = LoadAnnouncer(peers, clock)
        peers.register(EXECUTE, self._serve_execute)
        peers.register(RESOLVE, self._lookup.serve)

    @property
    def in_progress(self) -> int:
        """Return the number of pending requests and key record writes."""
        return len(self._running)

    def on_latency(self, handler: LatencyHandler) -> None:
        """Call ``handler`` with the worker, service and latency (ms) of each answer."""
        self._latency_handlers.append(handler)

    async def execute(
        self,
        req: Request,
        shard: str,
        key_version: int,
    ) -> Result[Answer, Failure]:
        """Run a request on a worker of ``shard``; return by its deadline.

        A run that was sent continues if the caller is cancelled or the deadline passes,
        until its final state is certain and recorded.
        """
        execution = RequestExecution(req, shard, key_version)
        task = self._spawn(self._execute_guarded(execution))
        try:
            await self._wait(task, req.expires_ms - self._clock.now_ms())
            if not task.done() and not execution.granted:
                await self._wait(task, RECORD_WAIT_MS)
        except asyncio.CancelledError:
            # A recorded dispatch must continue until its end is recorded: no other
            # instance settles a record while the session that wrote it is live.
            if not execution.granted and execution.row is None:
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
        """Query a worker of an owned shard for the state of a run."""
        return await self._lookup.look_up_locally(shard, worker_id, run_id, incarnation)

    async def settle_key(
        self,
        call: ResolveCall,
        expires_ms: Millis,
    ) -> Result[RunReport, Failure]:
        """Have the current owner record the end of a run whose session has ended."""
        return await self._lookup.resolve_at_owner(call, expires_ms)

    def load(self) -> Params:
        """Return the free slots, queue length and expected wait of each owned shard."""
        owned = self._ownership.owned()
        return {"shards": {shard: self._admission.load_of(shard) for shard in owned}}

    def shard_lost(self, shard: str) -> None:
        """Refuse queued requests of a shard, so that they go to its new owner."""
        self._admission.shard_lost(shard)

    async def on_stop(self) -> None:
        """Cancel all pending requests and key record writes."""
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
            SETTLE_INTERVAL_MS,
            self._keys.settle_unconfirmed,
            self._clock,
            self._events,
        )

    async def _announce(self) -> None:
        self._admission.serve_queues()
        self._load_announcer.announce(self.load()["shards"])

    async def _execute_guarded(
        self, execution: RequestExecution
    ) -> Result[Answer, Failure]:
        try:
            prepared = await self._prepare(execution)
            if isinstance(prepared, Err):
                return prepared
            return await self._try_workers(execution)
        except InvariantError as exc:
            return Err(unknown(Code.INVARIANT_BREACH, str(exc)))
        except Exception as exc:
            self._events.emit(
                Event.BACKGROUND_TASK_FAILED,
                task="Dispatcher.execute",
                request_id=execution.req.request_id,
                error=f"{type(exc).__name__}: {exc}",
            )
            return Err(unknown(Code.INTERNAL, "the execution failed unexpectedly"))

    async def _prepare(self, execution: RequestExecution) -> Result[None, Failure]:
        """Load the attempt number; fail if the record changed since it was read."""
        req = execution.req
        if not req.idempotent and req.key is None:
            return Err(not_run(Code.KEY_REQUIRED, "the request needs a key"))
        if req.key is None or execution.version == ABSENT:
            return Ok(None)
        found = await self._keys.find(req.caller, req.key)
        if isinstance(found, Err):
            return Err(mark_attempt_not_run(found.err_value))
        row, version = found.ok_value
        if (
            version != execution.version
            or row is None
            or row["state"] != KeyState.NOT_RUN
        ):
            return Err(not_run(Code.STORE_CONFLICT, "the key record has changed"))
        execution.attempt = row["attempt"]
        return Ok(None)

    async def _try_workers(
        self, execution: RequestExecution
    ) -> Result[Answer, Failure]:
        while True:
            execution.run_id = self._next_run_id(execution)
            slot = await self._admission.acquire(
                execution.req, execution.shard, execution.run_id
            )
            if isinstance(slot, Err):
                return await self._record_refusal(execution, slot.err_value)
            execution.tries += 1
            execution.granted = True
            execution.granted_at_ms = self._clock.now_ms()
            result = await self._run_on_worker(execution, slot.ok_value)
            if not isinstance(result, Failure):
                return result
            if execution.tries >= MAX_TRIES or result.code is Code.INVARIANT_BREACH:
                return await self._record_refusal(execution, result)
            execution.granted = False
            self._log(Event.REQUEST_RETRIED, execution, reason=str(result))

    def _next_run_id(self, execution: RequestExecution) -> str:
        """Return a unique run id.

        Runs without a key are numbered from one sequence, because a caller may use a
        request id twice.
        """
        req = execution.req
        if req.key is not None:
            return run_id_of(key_name(req.caller, req.key), execution.attempt + 1)
        name = f"{self._membership.session}/{req.request_id}"
        return run_id_of(name, next(self._sequence))

    async def _run_on_worker(
        self,
        execution: RequestExecution,
        worker_id: str,
    ) -> Result[Answer, Failure] | Failure:
        """Run on one worker; a bare ``Failure`` permits a try on another worker."""
        worker = self._fleet.worker(worker_id)
        fence = self._links.fence_of(worker_id)
        if worker is None or fence is None:
            self._ledger.release(worker_id, execution.run_id)
            return not_run(Code.WORKER_UNREACHABLE, "the worker is not claimed")
        recorded = await self._record_dispatch(execution, worker, fence)
        if isinstance(recorded, Err):
            self._ledger.release(worker_id, execution.run_id)
            return await self._record_refusal(execution, recorded.err_value)
        refusal = self._recheck_before_send(execution, worker)
        if refusal is not None:
            self._ledger.release(worker_id, execution.run_id)
            return refusal
        return await self._send(execution, worker, fence)

    async def _record_dispatch(
        self,
        execution: RequestExecution,
        worker: Worker,
        fence: Fence,
    ) -> Result[None, Failure]:
        req = execution.req
        if req.key is None:
            return Ok(None)
        row: KeyRow = {
            "digest": request_digest(req),
            "state": KeyState.DISPATCHED.value,
            "attempt": execution.attempt + 1,
            "run_id": execution.run_id,
            "shard": execution.shard,
            "worker": worker.worker_id,
            "epoch": fence.epoch,
            "session": self._membership.session,
            "incarnation": fence.incarnation,
        }
        reply = await self._keys.record_dispatch(
            req.caller, req.key, row, execution.version
        )
        if isinstance(reply, Err):
            return reply
        execution.row, execution.version = row, reply.ok_value
        execution.attempt += 1
        return Ok(None)

    def _recheck_before_send(
        self, execution: RequestExecution, worker: Worker
    ) -> Failure | None:
        """Return a failure if the run became invalid while its record was written."""
        req, worker_id = execution.req, worker.worker_id
        if req.expires_ms <= self._clock.now_ms():
            return not_run(Code.DEADLINE_EXCEEDED, "the deadline has passed")
        if not self._admission.is_accepting(worker_id):
            return not_run(Code.WORKER_LEAVING, "the worker is leaving")
        try:
            leaving_since_ms = self._fleet.leaving_since_ms(worker_id)
            self._invariants.check_not_leaving(worker_id, leaving_since_ms)
            self._invariants.check_not_refused(req.request_id)
            if req.key is not None:
                self._invariants.check_single_dispatch(
                    req.caller, req.key, execution.attempt
                )
        except InvariantError as exc:
            return not_run(Code.INVARIANT_BREACH, str(exc))
        return None

    async def _send(
        self,
        execution: RequestExecution,
        worker: Worker,
        fence: Fence,
    ) -> Result[Answer, Failure] | Failure:
        req = execution.req
        started_ms = execution.sent_at_ms = self._clock.now_ms()
        run = RequestRun(
            execution.run_id,
            req.request_id,
            req.service,
            req.body,
            max(req.expires_ms - started_ms, 1),
        )
        self._log(Event.REQUEST_DISPATCHED, execution, worker=worker.worker_id)
        load = self._measurements.load(worker.worker_id)
        reply = await self._call(worker, fence, run)
        if isinstance(reply, Ok) and is_final_report(execution, reply.ok_value):
            latency_ms = self._clock.now_ms() - started_ms
            rank = self._latency_ms.note(worker.worker_id, latency_ms)
            self._ledger.set_rank(worker.worker_id, rank)
            # A failed run may end immediately, so its latency isn't representative.
            is_done = reply.ok_value.state is RunState.DONE
            if is_done and self._ownership.epoch_of(execution.shard) is not None:
                execution.own_latency_ms = self._measurements.request_ended(
                    worker, req.service, started_ms, load
                )
            return await self._finish_run(execution, worker, reply.ok_value)
        if isinstance(reply, Err) and reply.err_value.outcome is Outcome.RAN:
            return await self._record_unusable_run(execution, worker, reply.err_value)
        if isinstance(reply, Err) and is_refusal(reply.err_value):
            self._handle_refusal(execution, worker, reply.err_value, fence.epoch)
            return reply.err_value
        settling = self._spawn(self._settle(execution, worker, run, fence))
        if execution.req.idempotent:
            await self._wait(settling, IDEMPOTENT_SETTLE_WAIT_MS)
            if not settling.done():
                detail = "the worker did not answer"
                return Err(unknown(Code.OUTCOME_UNKNOWN, detail))
        return await settling

    async def _settle(
        self,
        execution: RequestExecution,
        worker: Worker,
        run: RequestRun,
        fence: Fence,
    ) -> Result[Answer, Failure] | Failure:
        report = await self._lookup.settle(
            execution.shard, worker.worker_id, run, fence
        )
        return await self._finish_run(execution, worker, report)

    async def _call(
        self,
        worker: Worker,
        fence: Fence,
        run: RequestRun,
    ) -> Result[RunReport, Failure]:
        """Call the worker; an exception leaves the outcome unknown, like no answer."""
        try:
            return await self._client.execute(worker, fence, run)
        except Exception as exc:
            detail = f"{type(exc).__name__}: {exc}"
            return Err(unknown(Code.WORKER_JUNK, detail))

    def _handle_refusal(
        self, execution: RequestExecution, worker: Worker, failure: Failure, epoch: int
    ) -> None:
        """Free the slot and keep the worker from being selected again immediately."""
        worker_id = worker.worker_id
        self._log(
            Event.WORKER_REFUSED,
            execution,
            worker=worker_id,
            reason=str(failure),
        )
        if failure.code is Code.WORKER_LEAVING:
            self._links.mark_leaving(worker_id)
        else:
            self._ledger.forget(worker_id)
        self._ledger.release(worker_id, execution.run_id)
        if failure.code is Code.STALE_EPOCH:
            self._ownership.lost(execution.shard, epoch)

    async def _finish_run(
        self,
        execution: RequestExecution,
        worker: Worker,
        report: RunReport,
    ) -> Result[Answer, Failure] | Failure:
        """Free the slot of a run whose final state is certain, and record the state."""
        self._ledger.release(worker.worker_id, execution.run_id)
        now_ms = self._clock.now_ms()
        held_ms, latency_ms = (
            now_ms - execution.granted_at_ms,
            now_ms - execution.sent_at_ms,
        )
        if report.state is RunState.DONE:
            for handler in self._latency_handlers:
                handler(worker, execution.req.service, latency_ms)
        if report.state is RunState.NEVER_SEEN:
            return not_run(Code.WORKER_REFUSED, "the worker never received the run")
        if execution.row is not None:
            await self._record(execution, *build_final_row(execution.row, report))
        if report.state is RunState.FORGOTTEN:
            detail = "the worker can't say how the run ended"
            return Err(unknown(Code.OUTCOME_UNKNOWN, detail))
        if report.state is not RunState.DONE or report.answer is None:
            self._record_health(execution, worker, has_failed=True)
            detail = report.error or f"the run ended as {report.state.value}"
            return Err(Failure(Code.TASK_FAILED, detail, Outcome.RAN))
        self._record_health(execution, worker, has_failed=False)
        self._admission.record_slot_time(execution.shard, held_ms)
        return Ok(build_answer(execution, worker, report.answer))

    def _record_health(
        self, execution: RequestExecution, worker: Worker, has_failed: bool
    ) -> None:
        """Report the result of a run to the health tracker.

        The latency excludes the predicted effect of tasks on the same worker, so that
        placing tasks there doesn't make the worker count as slow.
        """
        if self._links.fence_of(worker.worker_id) is None:
            # The shard was lost during the run and its health data was dropped.
            return
        if has_failed:
            self.health.failed(worker, execution.req.service)
        else:
            self.health.succeeded(
                worker, execution.req.service, execution.own_latency_ms
            )

    def _forget_health(self, worker: Worker) -> None:
        self.health.forget(worker.worker_id)

    async def _record_unusable_run(
        self,
        execution: RequestExecution,
        worker: Worker,
        failure: Failure,
    ) -> Result[Answer, Failure]:
        """Record a run that ended without a usable answer."""
        self._ledger.release(worker.worker_id, execution.run_id)
        if execution.row is not None:
            error = f"{failure.code.name}: {failure.detail}"
            await self._record(
                execution, ended_row(execution.row, KeyState.DONE, error)
            )
        return Err(failure)

    async def _record_refusal(
        self, execution: RequestExecution, failure: Failure
    ) -> Result[Answer, Failure]:
        """Set a recorded dispatch to not run and return the failure."""
        if execution.row is not None:
            await self._record(execution, ended_row(execution.row, KeyState.NOT_RUN))
        return Err(failure)

    async def _record(
        self,
        execution: RequestExecution,
        ended: KeyRow,
        answer: bytes | None = None,
    ) -> None:
        """Record the end of a keyed run; leave a write of over 500 ms in progress."""
        req = execution.req
        assert req.key is not None
        task = self._spawn(
            self._recorder.write_end(
                req.caller, req.key, ended, execution.version, answer
            )
        )
        await self._wait(task, RECORD_WAIT_MS)
        if not task.done():
            self._log(Event.KEY_RECORD_DELAYED, execution, state=ended["state"])

    async def _serve_execute(
        self,
        params: Params,
        expires_ms: Millis,
    ) -> Result[Params, Failure]:
        try:
            req, shard, key_version = parse_execute(params, expires_ms)
        except ValueError as exc:
            return Err(not_run(Code.PEER_JUNK, f"bad call of execute: {exc}"))
        reply = await self.execute(req, shard, key_version)
        if isinstance(reply, Err):
            return reply
        return Ok(answer_params(reply.ok_value))

    async def _wait(self, future: "asyncio.Future[Any]", wait_ms: Millis) -> None:
        """Wait for ``future`` up to ``wait_ms`` without cancelling it."""
        await asyncio.wait({future}, timeout=max(wait_ms, 0) / 1_000)

    def _spawn(self, coroutine: Coroutine[Any, Any, T]) -> asyncio.Task[T]:
        task = asyncio.create_task(coroutine)
        self._running.add(task)
        task.add_done_callback(self._running.discard)
        return task

    def _log(self, event: Event, execution: RequestExecution, **fields: Any) -> None:
        self._events.emit(
            event,
            request_id=execution.req.request_id,
            run=execution.run_id,
            shard=execution.shard,
            **fields,
        )

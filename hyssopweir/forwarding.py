"""Handling of a request at the instance that received it: routing and retries."""

import asyncio
from collections.abc import Mapping
from typing import Any, Protocol

from result import Err, Ok, Result

from hyssopweir.clock import Clock, Millis
from hyssopweir.codes import Code, Failure, Outcome, not_run, unknown
from hyssopweir.contracts import Answer, KeyRow, KeyState, Request, digest_of
from hyssopweir.dispatch import Dispatcher
from hyssopweir.events import Event, EventLog
from hyssopweir.idempotency import (
    KeyStore,
    error_of,
    incarnation_of,
    is_attempt_not_run,
    mark_attempt_not_run,
    request_digest,
)
from hyssopweir.invariants import InvariantError, Invariants
from hyssopweir.peers import Params, PeerNetwork
from hyssopweir.request_messages import (
    EXECUTE,
    ResolveCall,
    execute_params,
    parse_answer,
)
from hyssopweir.retries import Backoff, RetryBudget
from hyssopweir.routing import OwnersView, SessionView, ShardRouter
from hyssopweir.table import ABSENT

RETRY_BASE_MS: Millis = 5
RETRY_CAP_MS: Millis = 200
POLL_BASE_MS: Millis = 20
POLL_CAP_MS: Millis = 500
# Longest wait for a shard with a connected owner. A takeover takes up to two scans of
# 500 ms plus the claim delay of 500 ms of the next-ranked instance.
NO_OWNER_WAIT_MS: Millis = 2_000
# Longest time past its deadline that a request waits for ``_close_record``.
CLOSE_WAIT_MS: Millis = 500
MAX_TRIES = 5

# Failures after which the owner may still run the request.
OWNER_LOST_CODES = frozenset({Code.PEER_LOST, Code.DEADLINE_EXCEEDED, Code.PEER_JUNK})
# Failures that a retry on another shard would repeat.
NON_RETRYABLE = frozenset(
    {
        Code.BAD_REQUEST,
        Code.BODY_TOO_LARGE,
        Code.KEY_REQUIRED,
        Code.KEY_REUSED,
        Code.INVARIANT_BREACH,
        Code.CANCELLED,
    }
)


class ServiceCatalogue(Protocol):
    """Configuration attributes that forwarding needs."""

    @property
    def body(self) -> Mapping[str, Any]:
        """Return the active configuration."""
        ...


class _Attempts:
    """Retry state of one request."""

    def __init__(self) -> None:
        self.tries = 0
        self.tried_shards: list[str] = []
        self.owner: str | None = None
        self.may_have_run = False
        self.backoff = Backoff(RETRY_BASE_MS, RETRY_CAP_MS)


class Forwarder:
    """Forwards requests to shard owners, with retries, and returns their answers."""

    def __init__(
        self,
        membership: SessionView,
        ownership: OwnersView,
        configuration: ServiceCatalogue,
        router: ShardRouter,
        dispatcher: Dispatcher,
        keys: KeyStore,
        peers: PeerNetwork,
        budget: RetryBudget,
        invariants: Invariants,
        clock: Clock,
        log: EventLog,
    ) -> None:
        self._membership = membership
        self._ownership = ownership
        self._configuration = configuration
        self._router = router
        self._dispatcher = dispatcher
        self._keys = keys
        self._peers = peers
        self._budget = budget
        self._invariants = invariants
        self._clock = clock
        self._log = log
        self._close_tasks: set[asyncio.Task[Any]] = set()
        self._calls_by_owner: dict[str, set[asyncio.Task[Result[Params, Failure]]]] = {}
        membership.on_gone(self._abandon_calls)

    async def handle(self, req: Request) -> Result[Answer, Failure]:
        """Return the answer, or a failure with the known outcome of the request."""
        self._emit(Event.REQUEST_RECEIVED, req, service=req.service)
        try:
            reply = await self._handle(req)
            if isinstance(reply, Ok):
                self._invariants.check_answer(req, reply.ok_value)
        except InvariantError as exc:
            reply = Err(unknown(Code.INVARIANT_BREACH, str(exc)))
        if isinstance(reply, Ok):
            self._emit(Event.REQUEST_ANSWERED, req, run=reply.ok_value.run_id)
            return reply
        failure = reply.err_value
        is_refused = failure.outcome is Outcome.NOT_RUN
        if is_refused:
            self._invariants.record_not_run(req.request_id)
        event = Event.REQUEST_REFUSED if is_refused else Event.REQUEST_FAILED
        self._emit(event, req, reason=str(failure), outcome=failure.outcome.value)
        return reply

    async def _handle(self, req: Request) -> Result[Answer, Failure]:
        services = self._configuration.body.get("services", {})
        service = services.get(req.service)
        if service is None:
            detail = f"the service {req.service} is not configured"
            return Err(not_run(Code.UNKNOWN_SERVICE, detail))
        req = req._replace(
            idempotent=bool(service.get("idempotent", False)),
            urgent=req.urgent or bool(service.get("urgent", False)),
        )
        self._budget.record_first_attempt()
        if req.idempotent:
            # Repeating an idempotent run is safe, so its key needs no record.
            return await self._handle_idempotent(req._replace(key=None))
        if not req.key:
            detail = "a request to a non-idempotent service needs a key"
            return Err(not_run(Code.KEY_REQUIRED, detail))
        return await self._handle_keyed(req, req.key)

    async def _handle_idempotent(self, req: Request) -> Result[Answer, Failure]:
        attempts = _Attempts()
        while True:
            reply = await self._try_next_shard(req, ABSENT, attempts)
            if isinstance(reply, Ok):
                return reply
            failure = reply.err_value
            if failure.outcome is not Outcome.NOT_RUN:
                attempts.may_have_run = True
            if not await self._may_retry(req, failure, attempts):
                return Err(_correct_outcome(failure, attempts))

    async def _handle_keyed(self, req: Request, key: str) -> Result[Answer, Failure]:
        attempts = _Attempts()
        while True:
            found = await self._keys.find(req.caller, key)
            if isinstance(found, Err):
                return Err(_with_unknown_outcome(found.err_value, attempts))
            row, version = found.ok_value
            if row is not None:
                recorded = await self._read_record(req, key, row)
                if recorded is not None:
                    return recorded
                if row["state"] == KeyState.DISPATCHED:
                    continue
            # The record shows that no earlier try has run, and that none can still run.
            attempts.may_have_run = False
            reply = await self._try_next_shard(req, version, attempts)
            if isinstance(reply, Ok):
                return reply
            failure = reply.err_value
            is_closed = False
            if failure.code in OWNER_LOST_CODES and failure.outcome is Outcome.UNKNOWN:
                attempts.may_have_run = True
                closed = await self._close_record(req, key, version)
                if closed is None:
                    return reply
                failure = closed
                is_closed = closed.code is not Code.STORE_CONFLICT
            if await self._may_retry(req, failure, attempts):
                continue
            if is_closed or failure.outcome is not Outcome.NOT_RUN:
                return Err(failure)
            return await self._confirm_not_run(req, key, version, failure, attempts)

    async def _confirm_not_run(
        self,
        req: Request,
        key: str,
        version: int,
        failure: Failure,
        attempts: _Attempts,
    ) -> Result[Answer, Failure]:
        """Confirm that a refusal holds for the key, not only for this attempt.

        Another instance may process the same key, or an owner that an earlier attempt
        has lost may still do so. Neither can dispatch after the record has changed.
        """
        closed = await self._close_record(req, key, version)
        if closed is None:
            return Err(_with_unknown_outcome(failure, attempts))
        while closed.code is Code.STORE_CONFLICT:
            found = await self._keys.find(req.caller, key)
            if isinstance(found, Err) or found.ok_value[0] is None:
                return Err(_with_unknown_outcome(failure, attempts))
            row = found.ok_value[0]
            recorded = await self._read_record(req, key, row)
            if recorded is not None:
                return recorded
            if row["state"] == KeyState.NOT_RUN:
                break
        return Err(failure)

    async def _read_record(
        self,
        req: Request,
        key: str,
        row: KeyRow,
    ) -> Result[Answer, Failure] | None:
        """Return the recorded result; None if the record must be reread or is not run.

        Waits for a dispatched run to end, up to the deadline.
        """
        if row["digest"] != request_digest(req):
            detail = "the key was used before for another request"
            return Err(not_run(Code.KEY_REUSED, detail))
        if row["state"] == KeyState.DISPATCHED:
            return await self._wait_for_end(req, key, row)
        if row["state"] == KeyState.NOT_RUN:
            return None
        self._emit(Event.KEY_REPEATED, req, run=row["run_id"], state=row["state"])
        if row["state"] == KeyState.UNKNOWN:
            detail = "it can't be known how the recorded run ended"
            return Err(unknown(Code.OUTCOME_UNKNOWN, detail))
        error = error_of(row)
        if error:
            return Err(Failure(Code.TASK_FAILED, error, Outcome.RAN))
        body = await self._keys.recorded_answer(row)
        if isinstance(body, Err):
            return Err(body.err_value._replace(outcome=Outcome.RAN))
        answer = Answer(
            req.request_id,
            row["run_id"],
            row["worker"],
            body.ok_value,
            digest_of(body.ok_value),
        )
        return Ok(answer)

    async def _wait_for_end(
        self,
        req: Request,
        key: str,
        row: KeyRow,
    ) -> Result[Answer, Failure] | None:
        """Wait for a dispatched run to end; return None once the record has changed."""
        delay_ms = POLL_BASE_MS
        while True:
            if self._membership.is_gone(row["session"]):
                await self._settle_record(req, key, row)
            left_ms = req.expires_ms - self._clock.now_ms()
            if left_ms <= 0:
                detail = "a run of this key is in progress"
                return Err(unknown(Code.IN_PROGRESS, detail, run=row["run_id"]))
            await self._clock.sleep_ms(min(delay_ms, left_ms))
            delay_ms = min(delay_ms * 3 // 2, POLL_CAP_MS)
            found = await self._keys.find(req.caller, key)
            if isinstance(found, Ok):
                current = found.ok_value[0]
                if current is None or _has_changed(row, current):
                    return None

    async def _settle_record(self, req: Request, key: str, row: KeyRow) -> None:
        """Have the current owner resolve a run whose session has ended."""
        call = ResolveCall(
            row["shard"],
            row["worker"],
            row["run_id"],
            incarnation_of(row),
            req.caller,
            key,
        )
        reply = await self._dispatcher.settle_key(call, req.expires_ms)
        if isinstance(reply, Ok):
            state = reply.ok_value.state.value
            self._emit(Event.KEY_SETTLED, req, run=row["run_id"], state=state)

    async def _close_record(
        self, req: Request, key: str, version: int
    ) -> Failure | None:
        """Set a record to ``not_run``, so that a lost owner can no longer dispatch.

        The owner's write under ``version`` then conflicts. Returns "not run" if the
        record was set, or a conflict if the owner changed it first; None if neither is
        certain.
        """
        digest = request_digest(req)
        task = asyncio.create_task(
            self._keys.record_as_not_run(req.caller, key, digest, version),
        )
        self._close_tasks.add(task)
        task.add_done_callback(self._close_tasks.discard)
        left_ms = max(req.expires_ms - self._clock.now_ms(), 0) + CLOSE_WAIT_MS
        await asyncio.wait({task}, timeout=left_ms / 1_000)
        if not task.done():
            return None
        reply = task.result()
        if isinstance(reply, Ok):
            return not_run(Code.PEER_LOST, "the owner was lost before it dispatched")
        if reply.err_value.code is Code.STORE_CONFLICT:
            return reply.err_value
        return None

    async def _try_next_shard(
        self,
        req: Request,
        version: int,
        attempts: _Attempts,
    ) -> Result[Answer, Failure]:
        """Run at the best-ranked shard, preferring shards that were not tried yet."""
        shard = await self._next_shard(req, attempts)
        if shard is None:
            return Err(not_run(Code.NO_CAPACITY, "no shard has a connected owner"))
        attempts.tries += 1
        attempts.tried_shards.append(shard)
        attempts.owner = owner = self._ownership.owner_of(shard)
        if owner == self._membership.session:
            return await self._dispatcher.execute(req, shard, version)
        if owner is None:
            return Err(not_run(Code.NOT_OWNER, f"{shard} has no owner"))
        self._emit(Event.REQUEST_FORWARDED, req, shard=shard, owner=owner)
        return await self._forward(req, shard, owner, version)

    async def _next_shard(self, req: Request, attempts: _Attempts) -> str | None:
        wait_until_ms = min(self._clock.now_ms() + NO_OWNER_WAIT_MS, req.expires_ms)
        while True:
            now_ms = self._clock.now_ms()
            shards = self._router.candidates(now_ms, req.expires_ms - now_ms)
            untried = [shard for shard in shards if shard not in attempts.tried_shards]
            if untried or shards:
                return (untried or shards)[0]
            if now_ms >= wait_until_ms:
                return None
            await self._clock.sleep_ms(POLL_BASE_MS)
            self._router.changed()

    async def _forward(
        self,
        req: Request,
        shard: str,
        owner: str,
        version: int,
    ) -> Result[Answer, Failure]:
        params = execute_params(req, shard, version)
        reply = await self._call_owner(owner, params, req.expires_ms)
        if isinstance(reply, Err):
            return reply
        try:
            answer = parse_answer(reply.ok_value)
        except ValueError as exc:
            return Err(unknown(Code.PEER_JUNK, f"bad reply to execute: {exc}"))
        if answer.request_id != req.request_id or answer.digest != digest_of(
            answer.body
        ):
            detail = f"{owner} sent an answer that is damaged or of another request"
            return Err(unknown(Code.ANSWER_MISMATCH, detail))
        return Ok(answer)

    async def _call_owner(
        self,
        owner: str,
        params: Params,
        expires_ms: Millis,
    ) -> Result[Params, Failure]:
        """Call the owner; cancel the call if the session of the owner ends.

        A paused owner keeps its connections open, so only the end of its session shows
        that another instance serves its shards.
        """
        call = asyncio.create_task(
            self._peers.call(owner, EXECUTE, params, expires_ms),
        )
        calls = self._calls_by_owner.setdefault(owner, set())
        calls.add(call)
        try:
            await asyncio.wait({call})
        except asyncio.CancelledError:
            call.cancel()
            raise
        finally:
            calls.discard(call)
            if not calls and self._calls_by_owner.get(owner) is calls:
                del self._calls_by_owner[owner]
        if call.cancelled():
            detail = "the session of the owner has ended"
            return Err(unknown(Code.PEER_LOST, detail))
        return call.result()

    def _abandon_calls(self, session: str) -> None:
        for call in self._calls_by_owner.pop(session, ()):
            call.cancel()

    async def _may_retry(
        self,
        req: Request,
        failure: Failure,
        attempts: _Attempts,
    ) -> bool:
        """Return True, after a backoff, if another try is allowed and may succeed.

        A conflict on the key record and a wrong owner don't spend the retry budget:
        nothing was run, and the current record or owner is known by now. Neither does
        an owner whose session has ended: it is replaced once, so these retries can't
        multiply the load.
        """
        is_keyed = req.key is not None
        if failure.code in NON_RETRYABLE or is_attempt_not_run(failure):
            return False
        if is_keyed and failure.outcome is not Outcome.NOT_RUN:
            return False
        if attempts.tries >= MAX_TRIES and failure.code is not Code.STORE_CONFLICT:
            return False
        if failure.code in (Code.NOT_OWNER, Code.PEER_UNREACHABLE, Code.PEER_LOST):
            self._router.changed()
        delay_ms = attempts.backoff.next_ms()
        if self._clock.now_ms() + delay_ms >= req.expires_ms:
            return failure.code is Code.STORE_CONFLICT and attempts.tries < MAX_TRIES
        is_replaced = attempts.owner is not None and self._membership.is_gone(
            attempts.owner
        )
        is_exempt = is_replaced or failure.code in (Code.NOT_OWNER, Code.STORE_CONFLICT)
        if not is_exempt and not self._budget.try_retry():
            return False
        self._emit(Event.REQUEST_RETRIED, req, reason=str(failure))
        await self._clock.sleep_ms(delay_ms)
        return True

    def _emit(self, event: Event, req: Request, **fields: Any) -> None:
        self._log.emit(event, request_id=req.request_id, **fields)


def _has_changed(before: KeyRow, current: KeyRow) -> bool:
    return (
        current["state"] != KeyState.DISPATCHED or current["run_id"] != before["run_id"]
    )


def _correct_outcome(failure: Failure, attempts: _Attempts) -> Failure:
    """Change "not run" to "unknown" if an earlier try may have run."""
    if attempts.may_have_run and failure.outcome is Outcome.NOT_RUN:
        return failure._replace(outcome=Outcome.UNKNOWN)
    return failure


def _with_unknown_outcome(failure: Failure, attempts: _Attempts) -> Failure:
    """Set the key's outcome to unknown; keep this attempt as not run if certain."""
    if attempts.may_have_run:
        return unknown(failure.code, failure.detail)
    return mark_attempt_not_run(failure)

"""Life cycle of a request at the instance that received it."""

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
    is_unsent,
    request_digest,
    unsent,
)
from hyssopweir.invariants import InvariantError, Invariants
from hyssopweir.peers import Params, PeerNetwork
from hyssopweir.request_messages import (
    EXECUTE,
    ResolveCall,
    execute_params,
    read_answer,
)
from hyssopweir.retries import Backoff, RetryBudget
from hyssopweir.routing import OwnersView, SessionView, ShardRouter
from hyssopweir.table import ABSENT

RETRY_BASE_MS: Millis = 5
RETRY_CAP_MS: Millis = 200
FOLLOW_BASE_MS: Millis = 20
FOLLOW_CAP_MS: Millis = 500
# A caller waits no longer than this while no shard has a connected owner. A takeover
# takes up to two scans of 500 ms and the delay of the next-ranked instance of 500 ms.
NO_OWNER_WAIT_MS: Millis = 2_000
# A caller waits no longer than this past its deadline for a key record to be closed.
CLOSE_WAIT_MS: Millis = 500
MOST_TRIES = 5

# Failures after which the owner may still hold the request.
OWNER_LOST = frozenset({Code.PEER_LOST, Code.DEADLINE_EXCEEDED, Code.PEER_JUNK})
# Failures that another shard would give as well.
FINAL = frozenset(
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
    """Name the part of the configuration that forwarding uses."""

    @property
    def body(self) -> Mapping[str, Any]:
        """Return the configuration in force."""
        ...


class _Attempts:
    """Hold what has happened to one request so far."""

    def __init__(self) -> None:
        self.tries = 0
        self.tried: list[str] = []
        self.owner: str | None = None
        self.may_have_run = False
        self.backoff = Backoff(RETRY_BASE_MS, RETRY_CAP_MS)


class Forwarder:
    """Bring any request to the owner of a shard and its answer to the caller."""

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
        self._closing: set[asyncio.Task[Any]] = set()
        self._calls: dict[str, set[asyncio.Task[Result[Params, Failure]]]] = {}
        membership.on_gone(self._abandon_calls)

    async def handle(self, req: Request) -> Result[Answer, Failure]:
        """Return the answer, or a failure that says truly what is known."""
        self._emit(Event.REQUEST_RECEIVED, req, service=req.service)
        try:
            reply = await self._handle(req)
            if isinstance(reply, Ok):
                self._invariants.answer_matches(req, reply.ok_value)
        except InvariantError as exc:
            reply = Err(unknown(Code.INVARIANT_BREACH, str(exc)))
        if isinstance(reply, Ok):
            self._emit(Event.REQUEST_ANSWERED, req, run=reply.ok_value.run_id)
            return reply
        failure = reply.err_value
        refused = failure.outcome is Outcome.NOT_RUN
        if refused:
            self._invariants.refused_as_not_run(req.request_id)
        event = Event.REQUEST_REFUSED if refused else Event.REQUEST_FAILED
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
        self._budget.note_first_attempt()
        if req.idempotent:
            # A repeated run does no harm, so a key needs no record.
            return await self._handle_idempotent(req._replace(key=None))
        if not req.key:
            detail = "a request to a non-idempotent service needs a key"
            return Err(not_run(Code.KEY_REQUIRED, detail))
        return await self._handle_keyed(req, req.key)

    async def _handle_idempotent(self, req: Request) -> Result[Answer, Failure]:
        attempts = _Attempts()
        while True:
            reply = await self._try_shard(req, ABSENT, attempts)
            if isinstance(reply, Ok):
                return reply
            failure = reply.err_value
            if failure.outcome is not Outcome.NOT_RUN:
                attempts.may_have_run = True
            if not await self._may_retry(req, failure, attempts):
                return Err(_told(failure, attempts))

    async def _handle_keyed(self, req: Request, key: str) -> Result[Answer, Failure]:
        attempts = _Attempts()
        while True:
            found = await self._keys.find(req.caller, key)
            if isinstance(found, Err):
                return Err(_undecided(found.err_value, attempts))
            row, version = found.ok_value
            if row is not None:
                known = await self._read_record(req, key, row)
                if known is not None:
                    return known
                if row["state"] == KeyState.DISPATCHED:
                    continue
            # The record shows that no earlier try has run, and none can run any more.
            attempts.may_have_run = False
            reply = await self._try_shard(req, version, attempts)
            if isinstance(reply, Ok):
                return reply
            failure = reply.err_value
            is_closed = False
            if failure.code in OWNER_LOST and failure.outcome is Outcome.UNKNOWN:
                attempts.may_have_run = True
                closed = await self._close(req, key, version)
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
        """Make sure that a refusal is true for the key, not only for this attempt.

        Another instance may hold the same key, or an owner that an earlier attempt has
        lost may still do so. Once the record has changed, it can't dispatch any more.
        """
        closed = await self._close(req, key, version)
        if closed is None:
            return Err(_undecided(failure, attempts))
        while closed.code is Code.STORE_CONFLICT:
            found = await self._keys.find(req.caller, key)
            if isinstance(found, Err) or found.ok_value[0] is None:
                return Err(_undecided(failure, attempts))
            row = found.ok_value[0]
            known = await self._read_record(req, key, row)
            if known is not None:
                return known
            if row["state"] == KeyState.NOT_RUN:
                break
        return Err(failure)

    async def _read_record(
        self,
        req: Request,
        key: str,
        row: KeyRow,
    ) -> Result[Answer, Failure] | None:
        """Return what the record says; None if it has to be read again or is not run.

        Waits for the end of a dispatched run within the deadline.
        """
        if row["digest"] != request_digest(req):
            detail = "the key was used before for another request"
            return Err(not_run(Code.KEY_REUSED, detail))
        if row["state"] == KeyState.DISPATCHED:
            return await self._follow(req, key, row)
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

    async def _follow(
        self,
        req: Request,
        key: str,
        row: KeyRow,
    ) -> Result[Answer, Failure] | None:
        """Wait until a dispatched run has ended; None if the record has changed."""
        delay_ms = FOLLOW_BASE_MS
        while True:
            if self._membership.is_gone(row["session"]):
                await self._settle(req, key, row)
            left_ms = req.expires_ms - self._clock.now_ms()
            if left_ms <= 0:
                detail = "a run of this key is in progress"
                return Err(unknown(Code.IN_PROGRESS, detail, run=row["run_id"]))
            await self._clock.sleep_ms(min(delay_ms, left_ms))
            delay_ms = min(delay_ms * 3 // 2, FOLLOW_CAP_MS)
            found = await self._keys.find(req.caller, key)
            if isinstance(found, Ok):
                now = found.ok_value[0]
                if now is None or _has_moved(row, now):
                    return None

    async def _settle(self, req: Request, key: str, row: KeyRow) -> None:
        """Let the current owner resolve a run whose session is gone."""
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

    async def _close(self, req: Request, key: str, version: int) -> Failure | None:
        """Keep a lost owner from dispatching under ``version``.

        Returns the failure to go on with: not run, or a conflict if the owner was
        faster; None if neither is known.
        """
        digest = request_digest(req)
        task = asyncio.create_task(
            self._keys.close(req.caller, key, digest, version),
        )
        self._closing.add(task)
        task.add_done_callback(self._closing.discard)
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

    async def _try_shard(
        self,
        req: Request,
        version: int,
        attempts: _Attempts,
    ) -> Result[Answer, Failure]:
        """Run at the best shard that has not been tried yet."""
        shard = await self._next_shard(req, attempts)
        if shard is None:
            return Err(not_run(Code.NO_CAPACITY, "no shard has a connected owner"))
        attempts.tries += 1
        attempts.tried.append(shard)
        attempts.owner = owner = self._ownership.owner_of(shard)
        if owner == self._membership.session:
            return await self._dispatcher.execute(req, shard, version)
        if owner is None:
            return Err(not_run(Code.NOT_OWNER, f"{shard} has no owner"))
        self._emit(Event.REQUEST_FORWARDED, req, shard=shard, owner=owner)
        return await self._forward(req, shard, owner, version)

    async def _next_shard(self, req: Request, attempts: _Attempts) -> str | None:
        limit_ms = min(self._clock.now_ms() + NO_OWNER_WAIT_MS, req.expires_ms)
        while True:
            now_ms = self._clock.now_ms()
            shards = self._router.candidates(now_ms, req.expires_ms - now_ms)
            fresh = [shard for shard in shards if shard not in attempts.tried]
            if fresh or shards:
                return (fresh or shards)[0]
            if now_ms >= limit_ms:
                return None
            await self._clock.sleep_ms(FOLLOW_BASE_MS)
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
            answer = read_answer(reply.ok_value)
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
        """Call the owner for as long as its session lasts.

        An owner that is paused keeps its links open, so only the end of its session
        tells that another instance serves its shards.
        """
        call = asyncio.create_task(
            self._peers.call(owner, EXECUTE, params, expires_ms),
        )
        calls = self._calls.setdefault(owner, set())
        calls.add(call)
        try:
            await asyncio.wait({call})
        except asyncio.CancelledError:
            call.cancel()
            raise
        finally:
            calls.discard(call)
            if not calls and self._calls.get(owner) is calls:
                del self._calls[owner]
        if call.cancelled():
            detail = "the session of the owner has ended"
            return Err(unknown(Code.PEER_LOST, detail))
        return call.result()

    def _abandon_calls(self, session: str) -> None:
        for call in self._calls.pop(session, ()):
            call.cancel()

    async def _may_retry(
        self,
        req: Request,
        failure: Failure,
        attempts: _Attempts,
    ) -> bool:
        """Wait and return True if another try is allowed and may succeed.

        A conflict on the key record and a wrong owner cost nothing of the retry budget:
        nothing was tried, and the record or the owner is known by now. An owner whose
        session has ended is replaced once, so these retries can't multiply the load.
        """
        is_keyed = req.key is not None
        if failure.code in FINAL or is_unsent(failure):
            return False
        if is_keyed and failure.outcome is not Outcome.NOT_RUN:
            return False
        if attempts.tries >= MOST_TRIES and failure.code is not Code.STORE_CONFLICT:
            return False
        if failure.code in (Code.NOT_OWNER, Code.PEER_UNREACHABLE, Code.PEER_LOST):
            self._router.changed()
        delay_ms = attempts.backoff.next_ms()
        if self._clock.now_ms() + delay_ms >= req.expires_ms:
            return failure.code is Code.STORE_CONFLICT and attempts.tries < MOST_TRIES
        is_replaced = attempts.owner is not None and self._membership.is_gone(
            attempts.owner
        )
        free = is_replaced or failure.code in (Code.NOT_OWNER, Code.STORE_CONFLICT)
        if not free and not self._budget.try_retry():
            return False
        self._emit(Event.REQUEST_RETRIED, req, reason=str(failure))
        await self._clock.sleep_ms(delay_ms)
        return True

    def _emit(self, event: Event, req: Request, **fields: Any) -> None:
        self._log.emit(event, request_id=req.request_id, **fields)


def _has_moved(before: KeyRow, now: KeyRow) -> bool:
    return now["state"] != KeyState.DISPATCHED or now["run_id"] != before["run_id"]


def _told(failure: Failure, attempts: _Attempts) -> Failure:
    """Correct a refusal if an earlier try of the request may have run."""
    if attempts.may_have_run and failure.outcome is Outcome.NOT_RUN:
        return failure._replace(outcome=Outcome.UNKNOWN)
    return failure


def _undecided(failure: Failure, attempts: _Attempts) -> Failure:
    """Say that the key's outcome is unknown, and this attempt's unless it is known."""
    if attempts.may_have_run:
        return unknown(failure.code, failure.detail)
    return unsent(failure)

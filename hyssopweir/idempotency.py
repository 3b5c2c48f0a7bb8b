"""Idempotency records, which limit each key to at most one run."""

import base64
import binascii
from collections import OrderedDict
from collections.abc import Mapping
from typing import Any, NamedTuple, cast
from urllib.parse import quote
from uuid import uuid4

from result import Err, Ok, Result

from hyssopweir.codes import Code, Failure, not_run, unknown
from hyssopweir.contracts import KeyRow, KeyState, Request, digest_of
from hyssopweir.events import Event, EventLog
from hyssopweir.platform_services import ObjectStore
from hyssopweir.table import ABSENT, Put, Row, TableStore

INLINE_ANSWER_BYTES = 64 * 1024
# Bounds the memory used by unconfirmed writes during an outage of the table service. At
# the limit, no non-idempotent request is dispatched.
MAX_UNCONFIRMED = 1_000

REQUIRED_FIELDS: dict[str, type] = {
    "digest": str,
    "state": str,
    "attempt": int,
    "run_id": str,
    "shard": str,
    "worker": str,
    "epoch": int,
    "session": str,
}


class UnconfirmedWrite(NamedTuple):
    """Write with an unknown outcome, whose record has yet to be set to ``not_run``."""

    caller: str
    key: str
    row: KeyRow
    version: int


def request_digest(req: Request) -> str:
    """Return the digest that all requests with the same key must share."""
    return digest_of(req.service.encode() + b"\0" + req.body)


def key_name(caller: str, key: str) -> str:
    """Return ``<caller>/<key>``, percent-encoded so that no two pairs collide."""
    return f"{quote(caller, safe='')}/{quote(key, safe='')}"


def row_name(caller: str, key: str) -> str:
    """Return the table key of the record of an idempotency key."""
    return f"keys/{key_name(caller, key)}"


class KeyStore:
    """Reads key records and writes them conditionally on their version.

    If the outcome of the write in ``record_dispatch`` is unknown, the write is queued,
    and ``settle_unconfirmed`` later sets the record to ``not_run``.
    """

    def __init__(self, table: TableStore, objects: ObjectStore, log: EventLog) -> None:
        self._table = table
        self._objects = objects
        self._log = log
        self._unconfirmed: OrderedDict[str, UnconfirmedWrite] = OrderedDict()

    @property
    def unconfirmed(self) -> int:
        """Return the number of writes that ``settle_unconfirmed`` has yet to settle."""
        return len(self._unconfirmed)

    async def find(
        self,
        caller: str,
        key: str,
    ) -> Result[tuple[KeyRow | None, int], Failure]:
        """Return the record and its version, ``(None, ABSENT)`` if there is none."""
        reply = await self._table.read(row_name(caller, key))
        if isinstance(reply, Err):
            return reply
        if reply.ok_value is None:
            return Ok((None, ABSENT))
        return _parse_row(reply.ok_value)

    async def record_dispatch(
        self,
        caller: str,
        key: str,
        row: KeyRow,
        version: int,
    ) -> Result[int, Failure]:
        """Record a run before its dispatch, which must not happen if this fails."""
        if len(self._unconfirmed) >= MAX_UNCONFIRMED:
            detail = f"{MAX_UNCONFIRMED} key record writes are unconfirmed"
            return Err(mark_attempt_not_run(Failure(Code.STORE_UNAVAILABLE, detail)))
        dispatch_row = row.copy()
        dispatch_row["dispatch"] = uuid4().hex
        reply = await self._put(caller, key, dispatch_row, version)
        if isinstance(reply, Ok):
            return reply
        if reply.err_value.code is Code.STORE_CONFLICT:
            return reply
        if reply.err_value.code is Code.STORE_OUTCOME_UNKNOWN:
            not_run_row = _with_state(dispatch_row, KeyState.NOT_RUN)
            item = UnconfirmedWrite(caller, key, not_run_row, version)
            self._unconfirmed[dispatch_row["dispatch"]] = item
        return Err(mark_attempt_not_run(reply.err_value))

    async def record_end(
        self,
        caller: str,
        key: str,
        row: KeyRow,
        version: int,
        answer: bytes | None = None,
    ) -> Result[int, Failure]:
        """Record the outcome of a run; ``answer`` is the body if it succeeded."""
        if answer is None:
            return await self._put(caller, key, row, version)
        stored = await self._store_answer(caller, key, row, answer)
        if isinstance(stored, Err):
            return stored
        return await self._put(caller, key, stored.ok_value, version)

    async def record_as_not_run(
        self,
        caller: str,
        key: str,
        digest: str,
        version: int,
    ) -> Result[int, Failure]:
        """Record ``not_run``, so that a later dispatch under ``version`` conflicts.

        Returns ``STORE_CONFLICT`` if the record has changed since ``version``.
        """
        attempt = 0
        if version != ABSENT:
            found = await self.find(caller, key)
            if isinstance(found, Err):
                return found
            row, current_version = found.ok_value
            if (
                row is None
                or current_version != version
                or row["state"] != KeyState.NOT_RUN
            ):
                return Err(not_run(Code.STORE_CONFLICT, "the key record has changed"))
            attempt = row["attempt"]
        not_run_row: KeyRow = {
            "digest": digest,
            "state": KeyState.NOT_RUN.value,
            "attempt": attempt,
            "run_id": "",
            "shard": "",
            "worker": "",
            "epoch": 0,
            "session": "",
        }
        return await self._put(caller, key, not_run_row, version)

    async def recorded_answer(self, row: KeyRow) -> Result[bytes, Failure]:
        """Return the recorded answer, which may be inline or in the object store."""
        if "object_key" in row:
            reply = await self._objects.get(row["object_key"])
            if isinstance(reply, Err):
                detail = f"cannot read the recorded answer: {reply.err_value.detail}"
                return Err(unknown(reply.err_value.code, detail))
            body = reply.ok_value
        else:
            body = _decode_answer(row.get("answer"))
        if body is None or digest_of(body) != row.get("answer_digest"):
            return Err(unknown(Code.STORE_JUNK, "the recorded answer is corrupt"))
        return Ok(body)

    async def settle_unconfirmed(self) -> None:
        """Set unconfirmed records to ``not_run``; stop at the first store error."""
        for dispatch, item in list(self._unconfirmed.items()):
            if not await self._settle(item):
                return
            del self._unconfirmed[dispatch]

    async def _settle(self, item: UnconfirmedWrite) -> bool:
        """Set the record to ``not_run``; return False if this must be retried.

        A record that still has the version from before the write is replaced as well,
        so that the write fails with a conflict if it is still in transit.
        """
        found = await self.find(item.caller, item.key)
        if isinstance(found, Err):
            return found.err_value.code is Code.STORE_JUNK
        row, version = found.ok_value
        was_written = (
            row is not None
            and row["state"] == KeyState.DISPATCHED
            and row.get("dispatch") == item.row["dispatch"]
        )
        if not was_written and version != item.version:
            return True
        reply = await self._put(item.caller, item.key, item.row, version)
        if isinstance(reply, Err):
            return False
        self._log.emit(
            Event.KEY_SETTLED,
            caller=item.caller,
            key=item.key,
            run=item.row["run_id"],
            state=KeyState.NOT_RUN.value,
        )
        return True

    async def _store_answer(
        self,
        caller: str,
        key: str,
        row: KeyRow,
        answer: bytes,
    ) -> Result[KeyRow, Failure]:
        recorded = row.copy()
        recorded["answer_digest"] = digest_of(answer)
        if len(answer) <= INLINE_ANSWER_BYTES:
            recorded["answer"] = base64.b64encode(answer).decode("ascii")
            return Ok(recorded)
        object_key = f"answers/{key_name(caller, key)}/{row['attempt']}"
        reply = await self._objects.put(object_key, answer)
        if isinstance(reply, Err):
            return reply
        recorded["object_key"] = object_key
        return Ok(recorded)

    async def _put(
        self,
        caller: str,
        key: str,
        row: KeyRow,
        version: int,
    ) -> Result[int, Failure]:
        name = row_name(caller, key)
        value = cast(dict[str, Any], dict(row))
        reply = await self._table.commit([Put(name, value, version)])
        if isinstance(reply, Err):
            return reply
        return Ok(reply.ok_value[name])


def mark_attempt_not_run(failure: Failure) -> Failure:
    """Mark a failure: this attempt was not run, but the key's outcome is unknown."""
    extra = {**failure.extra, "attempt": "not_run"}
    return unknown(failure.code, failure.detail, **extra)


def is_attempt_not_run(failure: Failure) -> bool:
    """Return whether ``mark_attempt_not_run`` has marked the failure."""
    return failure.extra.get("attempt") == "not_run"


def ended_row(row: KeyRow, state: KeyState, error: str = "") -> KeyRow:
    """Return a copy of a dispatched run's record with its final state and error."""
    ended = _with_state(row, state)
    if error:
        ended["error"] = error
    return ended


def error_of(row: KeyRow) -> str:
    """Return the recorded error of a failed run, empty if there is none."""
    return row.get("error", "")


def incarnation_of(row: KeyRow) -> str:
    """Return the worker's incarnation at dispatch, empty if it was not recorded."""
    return row.get("incarnation", "")


def _with_state(row: KeyRow, state: KeyState) -> KeyRow:
    changed = row.copy()
    changed["state"] = state.value
    return changed


def _parse_row(row: Row) -> Result[tuple[KeyRow | None, int], Failure]:
    value: Mapping[str, Any] = row.value
    is_valid = all(
        isinstance(value.get(name), expected_type)
        for name, expected_type in REQUIRED_FIELDS.items()
    )
    if not is_valid or value["state"] not in set(KeyState):
        return Err(unknown(Code.STORE_JUNK, f"the row {row.key} is malformed"))
    return Ok((cast(KeyRow, dict(value)), row.version))


def _decode_answer(text: Any) -> bytes | None:
    if not isinstance(text, str):
        return None
    try:
        return base64.b64decode(text, validate=True)
    except (binascii.Error, ValueError):
        return None

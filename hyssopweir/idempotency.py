"""Records of non-idempotent requests: at most one run for each key."""

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
# Bounds the memory that unconfirmed writes take up in an outage. At the bound no
# non-idempotent request is dispatched.
MOST_UNCONFIRMED = 1_000

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


class Unconfirmed(NamedTuple):
    """Name a record whose write is unconfirmed and that is to become ``not_run``."""

    caller: str
    key: str
    row: KeyRow
    version: int


def request_digest(req: Request) -> str:
    """Return the digest that must agree for two requests with the same key."""
    return digest_of(req.service.encode() + b"\0" + req.body)


def key_name(caller: str, key: str) -> str:
    """Return ``<caller>/<key>``, quoted so that no two pairs have the same name."""
    return f"{quote(caller, safe='')}/{quote(key, safe='')}"


def row_name(caller: str, key: str) -> str:
    """Return the name of the row that records a key."""
    return f"keys/{key_name(caller, key)}"


class KeyStore:
    """Read and write key records; each write is conditional on a version.

    A write whose outcome stays unknown in ``record_dispatch`` is remembered, and
    ``settle_unconfirmed`` sets the record to ``not_run`` later.
    """

    def __init__(self, table: TableStore, objects: ObjectStore, log: EventLog) -> None:
        self._table = table
        self._objects = objects
        self._log = log
        self._unconfirmed: OrderedDict[str, Unconfirmed] = OrderedDict()

    @property
    def unconfirmed(self) -> int:
        """Return the number of records that are to be set to ``not_run``."""
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
        return _parse(reply.ok_value)

    async def record_dispatch(
        self,
        caller: str,
        key: str,
        row: KeyRow,
        version: int,
    ) -> Result[int, Failure]:
        """Record a run before it is sent; unless this succeeds nothing may be sent."""
        if len(self._unconfirmed) >= MOST_UNCONFIRMED:
            detail = f"{MOST_UNCONFIRMED} key records are not confirmed yet"
            return Err(mark_attempt_not_run(Failure(Code.STORE_UNAVAILABLE, detail)))
        marked = row.copy()
        marked["dispatch"] = uuid4().hex
        reply = await self._put(caller, key, marked, version)
        if isinstance(reply, Ok):
            return reply
        if reply.err_value.code is Code.STORE_CONFLICT:
            return reply
        if reply.err_value.code is Code.STORE_OUTCOME_UNKNOWN:
            closed = _with_state(marked, KeyState.NOT_RUN)
            item = Unconfirmed(caller, key, closed, version)
            self._unconfirmed[marked["dispatch"]] = item
        return Err(mark_attempt_not_run(reply.err_value))

    async def record_end(
        self,
        caller: str,
        key: str,
        row: KeyRow,
        version: int,
        answer: bytes | None = None,
    ) -> Result[int, Failure]:
        """Record how a run ended; ``answer`` is the body if it is done."""
        if answer is None:
            return await self._put(caller, key, row, version)
        stored = await self._with_answer(caller, key, row, answer)
        if isinstance(stored, Err):
            return stored
        return await self._put(caller, key, stored.ok_value, version)

    async def close(
        self,
        caller: str,
        key: str,
        digest: str,
        version: int,
    ) -> Result[int, Failure]:
        """Record ``not_run``, so that no dispatch under ``version`` can follow."""
        attempt = 0
        if version != ABSENT:
            found = await self.find(caller, key)
            if isinstance(found, Err):
                return found
            row, seen = found.ok_value
            if row is None or seen != version or row["state"] != KeyState.NOT_RUN:
                return Err(not_run(Code.STORE_CONFLICT, "the key record has changed"))
            attempt = row["attempt"]
        closed: KeyRow = {
            "digest": digest,
            "state": KeyState.NOT_RUN.value,
            "attempt": attempt,
            "run_id": "",
            "shard": "",
            "worker": "",
            "epoch": 0,
            "session": "",
        }
        return await self._put(caller, key, closed, version)

    async def recorded_answer(self, row: KeyRow) -> Result[bytes, Failure]:
        """Return the whole recorded answer of a record that is done."""
        if "object_key" in row:
            reply = await self._objects.get(row["object_key"])
            if isinstance(reply, Err):
                detail = f"the recorded answer can't be read: {reply.err_value.detail}"
                return Err(unknown(reply.err_value.code, detail))
            body = reply.ok_value
        else:
            body = _decode(row.get("answer"))
        if body is None or digest_of(body) != row.get("answer_digest"):
            return Err(unknown(Code.STORE_JUNK, "the recorded answer is damaged"))
        return Ok(body)

    async def settle_unconfirmed(self) -> None:
        """Try once to set each unconfirmed record to ``not_run``."""
        for dispatch, item in list(self._unconfirmed.items()):
            if not await self._settle(item):
                return
            del self._unconfirmed[dispatch]

    async def _settle(self, item: Unconfirmed) -> bool:
        """Return False if the table service can't tell.

        If the record is as it was before the write, it is replaced, so that a write
        that is still on its way fails.
        """
        found = await self.find(item.caller, item.key)
        if isinstance(found, Err):
            return found.err_value.code is Code.STORE_JUNK
        row, version = found.ok_value
        applied = (
            row is not None
            and row["state"] == KeyState.DISPATCHED
            and row.get("dispatch") == item.row["dispatch"]
        )
        if not applied and version != item.version:
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

    async def _with_answer(
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
    """Say that this attempt was not run, while the outcome of the key is unknown."""
    extra = {**failure.extra, "attempt": "not_run"}
    return unknown(failure.code, failure.detail, **extra)


def is_attempt_not_run(failure: Failure) -> bool:
    """Tell whether the attempt was not run although the key's outcome is unknown."""
    return failure.extra.get("attempt") == "not_run"


def ended_row(row: KeyRow, state: KeyState, error: str = "") -> KeyRow:
    """Return the record of a dispatched run that has ended as ``state``."""
    ended = _with_state(row, state)
    if error:
        ended["error"] = error
    return ended


def error_of(row: KeyRow) -> str:
    """Return the recorded error of a run that failed, empty if there is none."""
    return row.get("error", "")


def incarnation_of(row: KeyRow) -> str:
    """Return the worker's incarnation at the dispatch, empty if not recorded."""
    return row.get("incarnation", "")


def _with_state(row: KeyRow, state: KeyState) -> KeyRow:
    changed = row.copy()
    changed["state"] = state.value
    return changed


def _parse(row: Row) -> Result[tuple[KeyRow | None, int], Failure]:
    value: Mapping[str, Any] = row.value
    fits = all(
        isinstance(value.get(name), kind) for name, kind in REQUIRED_FIELDS.items()
    )
    if not fits or value["state"] not in set(KeyState):
        return Err(unknown(Code.STORE_JUNK, f"the row {row.key} is malformed"))
    return Ok((cast(KeyRow, dict(value)), row.version))


def _decode(text: Any) -> bytes | None:
    if not isinstance(text, str):
        return None
    try:
        return base64.b64decode(text, validate=True)
    except (binascii.Error, ValueError):
        return None

"""Interface of the platform's table service, and commits that tolerate lost replies."""

from collections.abc import Sequence
from typing import Any, NamedTuple, Protocol
from uuid import uuid4

from result import Err, Ok, Result

from hyssopweir.clock import Clock, Millis
from hyssopweir.codes import Code, Failure, not_run, unknown
from hyssopweir.events import Event, EventLog

ABSENT = 0
READ_BACK_DELAY_MS: Millis = 50
READ_BACK_LIMIT_MS: Millis = 2_000


class Row(NamedTuple):
    """Row of the table; ``version`` grows with each write and is never reused."""

    key: str
    version: int
    transaction: str
    value: dict[str, Any]


class Page(NamedTuple):
    """Rows of one scan request; ``more`` is set if further rows may follow."""

    rows: list[Row]
    more: bool


class Put(NamedTuple):
    """Write ``key`` if its version is ``expected``; ``ABSENT`` means a new row."""

    key: str
    value: dict[str, Any]
    expected: int


class Delete(NamedTuple):
    """Delete ``key`` if its version is ``expected``."""

    key: str
    expected: int


class Check(NamedTuple):
    """Fail the transaction unless the version of ``key`` is ``expected``."""

    key: str
    expected: int


class Require(NamedTuple):
    """Fail the transaction unless ``field`` of the row ``key`` equals ``value``."""

    key: str
    field: str
    value: Any


Operation = Put | Delete | Check | Require

OPERATIONS: dict[str, Any] = {
    "put": Put,
    "delete": Delete,
    "check": Check,
    "require": Require,
}

FIELD_TYPES: dict[str, type] = {"key": str, "expected": int, "field": str}


def operation_to_dict(operation: Operation) -> dict[str, Any]:
    """Return the JSON object for an operation, with its kind in ``op``."""
    return {"op": type(operation).__name__.lower(), **operation._asdict()}


def operation_from_dict(data: dict[str, Any]) -> Operation:
    """Return the operation; raise ``KeyError`` or ``TypeError`` on invalid input."""
    fields = {name: value for name, value in data.items() if name != "op"}
    operation: Operation = OPERATIONS[data["op"]](**fields)
    # A wrong type would raise during a transaction and leave it partly applied.
    for name, expected_type in FIELD_TYPES.items():
        if name in fields and type(fields[name]) is not expected_type:
            raise TypeError(f"{name} has the wrong type")
    if isinstance(operation, Put) and not isinstance(operation.value, dict):
        raise TypeError("value is not an object")
    return operation


class TableService(Protocol):
    """Interface of the platform's transactional table service.

    Every failure has one of the codes ``STORE_*``. ``STORE_UNAVAILABLE`` on a commit
    means that it had no effect, ``STORE_OUTCOME_UNKNOWN`` that it may have had one.
    """

    async def read(self, key: str) -> Result[Row | None, Failure]:
        """Return the row ``key``, or None if it does not exist."""
        ...

    async def scan(
        self,
        prefix: str,
        after: str = "",
        limit: int = 1_000,
    ) -> Result[Page, Failure]:
        """Return rows whose key starts with ``prefix``, in key order.

        The rows are shared with later reads and must not be modified.
        """
        ...

    async def commit(
        self,
        operations: Sequence[Operation],
        transaction: str,
    ) -> Result[dict[str, int], Failure]:
        """Apply all operations atomically and return the new versions by key."""
        ...


class TableStore:
    """Client of the table service that resolves the outcome of unconfirmed commits."""

    def __init__(self, service: TableService, clock: Clock, log: EventLog) -> None:
        self._service = service
        self._clock = clock
        self._log = log
        self.is_up = True

    async def read(self, key: str) -> Result[Row | None, Failure]:
        """Return the row ``key``, or None if it does not exist."""
        reply = await self._service.read(key)
        self._update_availability(reply)
        return reply

    async def scan(self, prefix: str) -> Result[list[Row], Failure]:
        """Return all rows whose key starts with ``prefix``, in key order."""
        rows: list[Row] = []
        while True:
            after = rows[-1].key if rows else ""
            reply = await self._service.scan(prefix, after)
            self._update_availability(reply)
            if isinstance(reply, Err):
                return reply
            page = reply.ok_value
            rows.extend(page.rows)
            if not page.more:
                return Ok(rows)

    async def commit(
        self,
        operations: Sequence[Operation],
    ) -> Result[dict[str, int], Failure]:
        """Apply all operations atomically and return the new versions by key.

        ``STORE_CONFLICT`` and ``STORE_UNAVAILABLE`` mean that nothing was written.
        ``STORE_OUTCOME_UNKNOWN`` is returned only if reading back failed too, or if
        another writer has replaced the rows in the meantime.
        """
        transaction = uuid4().hex
        reply = await self._service.commit(operations, transaction)
        self._update_availability(reply)
        if isinstance(reply, Ok):
            return reply
        if reply.err_value.code is not Code.STORE_OUTCOME_UNKNOWN:
            return reply
        return await self._read_back(operations, transaction)

    async def _read_back(
        self,
        operations: Sequence[Operation],
        transaction: str,
    ) -> Result[dict[str, int], Failure]:
        deadline_ms = self._clock.now_ms() + READ_BACK_LIMIT_MS
        while self._clock.now_ms() < deadline_ms:
            outcome = await self._resubmit(operations, transaction)
            if outcome is not None:
                self._log.emit(
                    Event.STORE_READ_BACK,
                    transaction=transaction,
                    applied=isinstance(outcome, Ok),
                )
                return outcome
            await self._clock.sleep_ms(READ_BACK_DELAY_MS)
        return Err(
            unknown(
                Code.STORE_OUTCOME_UNKNOWN,
                "the table service did not confirm the write and reading back failed",
                transaction=transaction,
            )
        )

    async def _resubmit(
        self,
        operations: Sequence[Operation],
        transaction: str,
    ) -> Result[dict[str, int], Failure] | None:
        """Submit the commit again; its conditions fail if the first one took effect.

        Return None if the outcome is still unknown.
        """
        reply = await self._service.commit(operations, transaction)
        self._update_availability(reply)
        if isinstance(reply, Ok):
            return reply
        if reply.err_value.code is not Code.STORE_CONFLICT:
            return None
        return await self._compare_versions(operations, transaction)

    async def _compare_versions(
        self,
        operations: Sequence[Operation],
        transaction: str,
    ) -> Result[dict[str, int], Failure] | None:
        versions: dict[str, int] = {}
        is_unchanged = True
        for operation in operations:
            if not isinstance(operation, (Put, Delete)):
                continue
            reply = await self.read(operation.key)
            if isinstance(reply, Err):
                return None
            row = reply.ok_value
            version = row.version if row is not None else ABSENT
            if row is not None and row.transaction == transaction:
                versions[operation.key] = row.version
                continue
            if isinstance(operation, Delete) and row is None:
                versions[operation.key] = ABSENT
                continue
            is_unchanged = is_unchanged and version == operation.expected
        write_count = sum(isinstance(op, (Put, Delete)) for op in operations)
        if len(versions) == write_count:
            return Ok(versions)
        if is_unchanged and not versions:
            return Err(
                not_run(Code.STORE_CONFLICT, "a condition of the commit does not hold")
            )
        return Err(
            unknown(
                Code.STORE_OUTCOME_UNKNOWN,
                "another writer has replaced rows of an unconfirmed commit",
                transaction=transaction,
            )
        )

    def _update_availability(self, reply: Result[Any, Failure]) -> None:
        is_unavailable = isinstance(reply, Err) and reply.err_value.code in (
            Code.STORE_UNAVAILABLE,
            Code.STORE_OUTCOME_UNKNOWN,
        )
        if is_unavailable == (not self.is_up):
            return
        self.is_up = not is_unavailable
        self._log.emit(Event.STORE_DOWN if is_unavailable else Event.STORE_UP)

"""Stand-in for the platform's table service and object store, kept in memory."""

from collections.abc import Sequence
from typing import Any

from result import Err, Ok, Result
from sortedcontainers import SortedDict

from hyssopweir.codes import Code, Failure, not_run
from hyssopweir.table import ABSENT, Delete, Operation, Put, Require, Row

MAX_OPERATIONS = 500


class StandinTable:
    """Keep versioned rows and apply transactions atomically."""

    def __init__(self) -> None:
        self._rows: SortedDict = SortedDict()
        self._sequence = 0
        self.reads = 0
        self.commits = 0
        self.conflicts = 0
        self.rows_written = 0

    def read(self, key: str) -> Row | None:
        """Return the row ``key``, None if it does not exist."""
        self.reads += 1
        row: Row | None = self._rows.get(key)
        return row

    def scan(self, prefix: str, after: str, limit: int) -> list[Row]:
        """Return up to ``limit`` rows with the prefix that follow ``after``."""
        self.reads += 1
        rows: list[Row] = []
        for key in self._rows.irange(max(prefix, after), inclusive=(True, True)):
            if key == after:
                continue
            if not key.startswith(prefix) or len(rows) == limit:
                break
            rows.append(self._rows[key])
        return rows

    def commit(
        self,
        operations: Sequence[Operation],
        transaction: str,
    ) -> Result[dict[str, int], Failure]:
        """Apply all operations or none; return the new versions by key."""
        if len(operations) > MAX_OPERATIONS:
            detail = f"more than {MAX_OPERATIONS} operations"
            return Err(not_run(Code.STORE_JUNK, detail))
        failed = [op for op in operations if not self._holds(op)]
        if failed:
            self.conflicts += 1
            detail = f"condition failed on {failed[0].key}"
            return Err(not_run(Code.STORE_CONFLICT, detail, key=failed[0].key))
        self.commits += 1
        return Ok(dict(self._apply(op, transaction) for op in operations))

    def _holds(self, operation: Operation) -> bool:
        row: Row | None = self._rows.get(operation.key)
        if isinstance(operation, Require):
            return row is not None and _field(row, operation) == operation.value
        version = row.version if row is not None else ABSENT
        return version == operation.expected

    def _apply(self, operation: Operation, transaction: str) -> tuple[str, int]:
        if isinstance(operation, Put):
            self._sequence += 1
            self.rows_written += 1
            self._rows[operation.key] = Row(
                operation.key,
                self._sequence,
                transaction,
                dict(operation.value),
            )
            return operation.key, self._sequence
        if isinstance(operation, Delete):
            self.rows_written += 1
            self._rows.pop(operation.key, None)
            return operation.key, ABSENT
        row = self._rows.get(operation.key)
        return operation.key, row.version if row is not None else ABSENT


def _field(row: Row, operation: Require) -> Any:
    return row.value.get(operation.field)

"""Group commit of the task transitions of an owner."""

import asyncio
from collections import deque
from collections.abc import Callable, Sequence
from typing import NamedTuple

from mode import Service
from result import Err, Ok, Result

from hyssopweir.clock import Clock, Millis
from hyssopweir.codes import Code, Failure, not_run, unknown
from hyssopweir.events import Event, EventLog
from hyssopweir.loops import run_forever
from hyssopweir.table import Delete, Operation, Put, Require, TableStore

MOST_ROWS = 100
MOST_WAITING = 4_000

Versions = Result[dict[str, int], Failure]


class Group(NamedTuple):
    """Hold operations that are applied together, and who waits for them."""

    operations: tuple[Operation, ...]
    written: frozenset[str]
    touched: frozenset[str]
    reply: asyncio.Future[Versions]


class GroupCommit(Service):
    """Combine groups of operations into one transaction every ``commit_ms``."""

    def __init__(
        self,
        store: TableStore,
        session: Callable[[], str],
        clock: Clock,
        log: EventLog,
        commit_ms: Millis,
        most_waiting: int = MOST_WAITING,
    ) -> None:
        super().__init__()
        self._store = store
        self._session = session
        self._clock = clock
        self._event_log = log
        self._commit_ms = commit_ms
        self._most_waiting = most_waiting
        self._waiting: deque[Group] = deque()

    async def commit(
        self,
        shard: str,
        epoch: int,
        operations: Sequence[Operation],
    ) -> Versions:
        """Apply the operations atomically while this session owns the shard.

        ``OVERLOADED`` and ``DRAINING`` mean that nothing was written; the other
        failures are those of ``TableStore.commit``.
        """
        if self.should_stop:
            return Err(not_run(Code.DRAINING, "the instance is stopping"))
        if len(self._waiting) >= self._most_waiting:
            detail = f"{len(self._waiting)} changes wait for the table service"
            return Err(not_run(Code.OVERLOADED, detail))
        group = _group([*operations, *self._fence(shard, epoch)])
        if len(group.written) > MOST_ROWS:
            return Err(not_run(Code.BAD_REQUEST, f"more than {MOST_ROWS} rows"))
        self._waiting.append(group)
        return await group.reply

    def _fence(self, shard: str, epoch: int) -> tuple[Require, Require]:
        key = f"shards/{shard}"
        return Require(key, "epoch", epoch), Require(key, "owner", self._session())

    @Service.task
    async def _flush_forever(self) -> None:
        await run_forever(
            self,
            self._commit_ms,
            self.flush,
            self._clock,
            self._event_log,
        )

    async def on_stop(self) -> None:
        """Tell the waiting groups that they were not written."""
        for group in self._waiting:
            _tell(group, Err(not_run(Code.DRAINING, "the instance is stopping")))
        self._waiting.clear()

    async def flush(self) -> None:
        """Commit the groups that fit into one transaction."""
        batch = self._take_batch()
        if not batch:
            return
        try:
            await self._commit_batch(batch)
        finally:
            # Groups left without a reply were interrupted by an exception or a stop.
            for group in batch:
                _tell(group, Err(unknown(Code.INTERNAL, "the commit was interrupted")))

    def _take_batch(self) -> list[Group]:
        """Take groups in order; a group that shares a written row waits.

        All conditions of a transaction are checked before any of its changes, so two
        writes of one row in one transaction would both be applied.
        """
        batch: list[Group] = []
        left: deque[Group] = deque()
        written: set[str] = set()
        touched: set[str] = set()
        rows = 0
        while self._waiting:
            group = self._waiting.popleft()
            if group.reply.done():
                continue
            clashes = group.written & touched or group.touched & written
            if clashes or rows + len(group.written) > MOST_ROWS:
                left.append(group)
            else:
                batch.append(group)
                rows += len(group.written)
            written |= group.written
            touched |= group.touched
            if rows >= MOST_ROWS:
                break
        left.extend(self._waiting)
        self._waiting = left
        return batch

    async def _commit_batch(self, batch: list[Group]) -> None:
        reply = await self._store.commit(_combined(batch))
        conflict = (
            isinstance(reply, Err) and reply.err_value.code is Code.STORE_CONFLICT
        )
        if not conflict or len(batch) == 1:
            for group in batch:
                _tell(group, _own_part(group, reply))
            return
        self._event_log.emit(Event.STORE_CONFLICT, groups=len(batch))
        for group in batch:
            _tell(group, await self._store.commit(group.operations))


def _combined(batch: list[Group]) -> list[Operation]:
    """Return the operations of all groups, equal requirements only once."""
    changes: list[Operation] = []
    requirements: dict[Require, None] = {}
    for group in batch:
        for operation in group.operations:
            if isinstance(operation, Require):
                requirements[operation] = None
            else:
                changes.append(operation)
    return [*changes, *requirements]


def _group(operations: Sequence[Operation]) -> Group:
    written = frozenset(op.key for op in operations if isinstance(op, (Put, Delete)))
    return Group(
        tuple(operations),
        written,
        frozenset(op.key for op in operations),
        asyncio.get_running_loop().create_future(),
    )


def _own_part(group: Group, reply: Versions) -> Versions:
    if isinstance(reply, Err):
        return reply
    versions = reply.ok_value
    return Ok({key: versions[key] for key in group.touched if key in versions})


def _tell(group: Group, reply: Versions) -> None:
    if not group.reply.done():
        group.reply.set_result(reply)

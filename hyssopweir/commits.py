"""Group commit of the task transitions that a shard owner writes."""

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

MAX_ROWS = 100
MAX_QUEUED_GROUPS = 4_000

Versions = Result[dict[str, int], Failure]


class OperationGroup(NamedTuple):
    """Operations that are applied atomically, and the future of their reply.

    ``accessed`` holds the keys of all operations, requirements included.
    """

    operations: tuple[Operation, ...]
    written: frozenset[str]
    accessed: frozenset[str]
    reply: asyncio.Future[Versions]


class GroupCommit(Service):
    """Batches groups of operations into one transaction every ``commit_ms``."""

    def __init__(
        self,
        store: TableStore,
        session: Callable[[], str],
        clock: Clock,
        log: EventLog,
        commit_ms: Millis,
        max_queued_groups: int = MAX_QUEUED_GROUPS,
    ) -> None:
        super().__init__()
        self._store = store
        self._session = session
        self._clock = clock
        self._event_log = log
        self._commit_ms = commit_ms
        self._max_queued_groups = max_queued_groups
        self._queued: deque[OperationGroup] = deque()

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
        if len(self._queued) >= self._max_queued_groups:
            detail = f"{len(self._queued)} changes wait for the table service"
            return Err(not_run(Code.OVERLOADED, detail))
        group = _build_group([*operations, *self._fencing_requirements(shard, epoch)])
        if len(group.written) > MAX_ROWS:
            return Err(
                not_run(
                    Code.BAD_REQUEST, f"the operations write more than {MAX_ROWS} rows"
                )
            )
        self._queued.append(group)
        return await group.reply

    def _fencing_requirements(self, shard: str, epoch: int) -> tuple[Require, Require]:
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
        """Reject the queued groups, which were not written."""
        for group in self._queued:
            _set_reply(group, Err(not_run(Code.DRAINING, "the instance is stopping")))
        self._queued.clear()

    async def flush(self) -> None:
        """Commit as many queued groups as fit into one transaction."""
        batch = self._next_batch()
        if not batch:
            return
        try:
            await self._commit_batch(batch)
        finally:
            # An exception or a stop during the commit leaves groups without a reply.
            for group in batch:
                _set_reply(
                    group, Err(unknown(Code.INTERNAL, "the commit was interrupted"))
                )

    def _next_batch(self) -> list[OperationGroup]:
        """Dequeue groups in order; defer each that conflicts with an earlier one.

        The table checks all conditions of a transaction before it applies any change,
        so two writes of one row in one transaction would both be applied.
        """
        batch: list[OperationGroup] = []
        deferred: deque[OperationGroup] = deque()
        written: set[str] = set()
        accessed: set[str] = set()
        rows = 0
        while self._queued:
            group = self._queued.popleft()
            if group.reply.done():
                continue
            conflicts = group.written & accessed or group.accessed & written
            if conflicts or rows + len(group.written) > MAX_ROWS:
                deferred.append(group)
            else:
                batch.append(group)
                rows += len(group.written)
            written |= group.written
            accessed |= group.accessed
            if rows >= MAX_ROWS:
                break
        deferred.extend(self._queued)
        self._queued = deferred
        return batch

    async def _commit_batch(self, batch: list[OperationGroup]) -> None:
        reply = await self._store.commit(_merge_operations(batch))
        conflict = (
            isinstance(reply, Err) and reply.err_value.code is Code.STORE_CONFLICT
        )
        if not conflict or len(batch) == 1:
            for group in batch:
                _set_reply(group, _reply_for(group, reply))
            return
        self._event_log.emit(Event.STORE_CONFLICT, groups=len(batch))
        for group in batch:
            _set_reply(group, await self._store.commit(group.operations))


def _merge_operations(batch: list[OperationGroup]) -> list[Operation]:
    """Concatenate the operations of all groups without duplicate requirements."""
    changes: list[Operation] = []
    requirements: dict[Require, None] = {}
    for group in batch:
        for operation in group.operations:
            if isinstance(operation, Require):
                requirements[operation] = None
            else:
                changes.append(operation)
    return [*changes, *requirements]


def _build_group(operations: Sequence[Operation]) -> OperationGroup:
    written = frozenset(op.key for op in operations if isinstance(op, (Put, Delete)))
    return OperationGroup(
        tuple(operations),
        written,
        frozenset(op.key for op in operations),
        asyncio.get_running_loop().create_future(),
    )


def _reply_for(group: OperationGroup, reply: Versions) -> Versions:
    if isinstance(reply, Err):
        return reply
    versions = reply.ok_value
    return Ok({key: versions[key] for key in group.accessed if key in versions})


def _set_reply(group: OperationGroup, reply: Versions) -> None:
    if not group.reply.done():
        group.reply.set_result(reply)

"""Tests of the group commit of an owner's rows."""

import asyncio

import pytest

from hyssopweir.events import EventLog
from hyssopweir.row_commits import RowCommits
from hyssopweir.row_store import ABSENT, Expect, RowKey
from tests.row_fakes import FakeRowStore, MemoryRows, RowFaults
from tests.virtual_time import VirtualClock, run_virtual


@pytest.mark.parametrize(("rows", "size"), [(1, 10), (48, 10), (250, 10), (30, 90_000)])
def test_transactions_stay_within_the_limits_of_the_store(rows: int, size: int) -> None:
    """Guards against a transaction above the store's limits.

    The store refuses it on every retry, so no row is stored any more, as seen in a
    sweep of 30 instances.
    """

    async def mark_and_wait() -> None:
        clock, shared = VirtualClock(), MemoryRows()
        store = FakeRowStore(shared, clock, RowFaults())
        guard = Expect(RowKey("owners", "c0", "owner"), ABSENT)
        commits = RowCommits(
            store, guard, lambda _: b"x" * size, 0, clock, EventLog("i", "kista", clock)
        )
        task = asyncio.ensure_future(commits.run())
        keys = [RowKey("progress", "c0", f"j{number}") for number in range(rows)]
        for key in keys:
            commits.mark(key)
        await asyncio.wait_for(commits.stored(), 10)
        assert all(key in shared.rows for key in keys)
        task.cancel()

    run_virtual(mark_and_wait())

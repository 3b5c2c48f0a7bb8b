"""Answers about a submission whose first attempt got no reply from the store."""

import asyncio
from collections.abc import Sequence

import pytest
from result import Err, Ok, Result

from hyssopweir.cell_heartbeats import CellHeartbeats
from hyssopweir.cell_layout import CellLayout, request_key
from hyssopweir.cell_state import CANCEL_SUFFIX
from hyssopweir.codes import Code, Failure, Outcome, not_run, unknown
from hyssopweir.events import EventLog
from hyssopweir.row_store import Change, Committed, Conflict, RowKey, StoredRow, Write
from hyssopweir.workflow_api import WorkflowApi
from tests.cell_simulation import build_workflow
from tests.platform_cluster import running_platform
from tests.row_fakes import FakeRowStore, MemoryRows, RowFaults
from tests.virtual_time import VirtualClock, run_virtual

JOB = "j1"
LOST = Err(unknown(Code.STORE_OUTCOME_UNKNOWN, "reply lost"))
BUDGET_MS = 3_000

Reply = Result[Committed | Conflict, Failure]


class ScriptedStore(FakeRowStore):
    """Store that answers transactions with prepared replies, the last one for good."""

    def __init__(self, clock: VirtualClock, replies: Sequence[Reply]) -> None:
        super().__init__(MemoryRows(), clock, RowFaults())
        self._replies = list(replies)

    async def transact(self, changes: Sequence[Change], timeout_ms: int) -> Reply:
        await self._clock.sleep_ms(5)
        return self._replies.pop(0) if len(self._replies) > 1 else self._replies[0]


def submit(*replies: Reply) -> Result[None, Failure]:
    async def main() -> Result[None, Failure]:
        clock = VirtualClock()
        log = EventLog("kista-1", "kista", clock)
        store = ScriptedStore(clock, replies)
        api = WorkflowApi(store, clock, log)
        layout = CellLayout(1)
        heartbeats = CellHeartbeats(store, clock, 1, api.record_store_reply, log)
        api.accept_requests(layout, heartbeats)
        return await api.submit(build_workflow(JOB), BUDGET_MS)

    return run_virtual(main())


def conflict_with(*keys: str) -> Reply:
    rows = [StoredRow(request_key("c0", key), b"{}", 7) for key in keys]
    return Ok(Conflict({row.at: row for row in rows}))


@pytest.mark.parametrize(
    "later",
    [
        Err(not_run(Code.STORE_JUNK, "status 400")),
        Err(not_run(Code.STORE_UNAVAILABLE, "status 503")),
        Err(not_run(Code.STORE_HISTORY_LOST, "status 410")),
        conflict_with(),
    ],
    ids=["refused", "unavailable", "gone", "conflict without a row"],
)
def test_refusal_after_a_lost_reply_is_uncertain(later: Reply) -> None:
    """Guards against "not run" about a job that the first attempt may have stored."""
    failure = submit(LOST, later).unwrap_err()
    assert failure.outcome is Outcome.UNKNOWN
    assert failure.code is Code.STORE_OUTCOME_UNKNOWN


def test_refusal_at_once_is_certain() -> None:
    """Guards against an uncertain answer to a caller that could try again."""
    failure = submit(Err(not_run(Code.STORE_JUNK, "status 400"))).unwrap_err()
    assert (failure.code, failure.outcome) == (Code.STORE_JUNK, Outcome.NOT_RUN)


def test_stored_cancellation_proves_that_a_job_never_runs() -> None:
    """Guards against a caller who is kept waiting though the late write can't hold."""
    failure = submit(LOST, conflict_with(JOB + CANCEL_SUFFIX)).unwrap_err()
    assert (failure.code, failure.outcome) == (Code.CANCELLED, Outcome.NOT_RUN)


def test_stored_request_is_accepted_after_a_lost_reply() -> None:
    """Guards against a refusal of what the first attempt has stored."""
    assert submit(LOST, conflict_with(JOB)).is_ok()


@pytest.mark.parametrize(
    ("status", "outcome"),
    [
        (400, Outcome.NOT_RUN),
        (429, Outcome.NOT_RUN),
        (503, Outcome.NOT_RUN),
        (500, Outcome.UNKNOWN),
        (502, Outcome.UNKNOWN),
        (504, Outcome.UNKNOWN),
    ],
)
def test_server_error_does_not_prove_that_nothing_was_done(
    status: int, outcome: Outcome
) -> None:
    """Guards against "not run" for a status that only a proxy or a crash explains."""

    async def main() -> None:
        async with running_platform() as cluster:
            cluster.store.status = status
            write = Write(RowKey("t", "c0", "k"), b"1", 0)
            reply = await cluster.rows.transact([write], 1_000)
            assert reply.unwrap_err().outcome is outcome

    asyncio.run(main())

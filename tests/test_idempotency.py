"""Key records, compared with a naive model over random operations."""

from typing import Any

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from result import Err, Ok

from hyssopweir.contracts import KeyRow, KeyState
from hyssopweir.idempotency import KeyStore, ended_row
from hyssopweir.standin_table import StandinTable
from hyssopweir.table import ABSENT, TableStore
from tests.builders import build_log
from tests.fakes import FakeObjectStore, FakeTableService
from tests.virtual_time import VirtualClock, run_virtual

CALLER, KEY, DIGEST = "planner", "offer-1", "d" * 64

OPERATIONS = st.tuples(
    st.sampled_from(["dispatch", "end", "close"]),
    st.integers(0, 1),
    st.booleans(),
)


class NaiveRecord:
    """Reference model of one record; a write based on an outdated view fails."""

    def __init__(self) -> None:
        self.state: KeyState | None = None
        self.writes = 0

    def write(self, state: KeyState, known_writes: int) -> bool:
        if known_writes != self.writes:
            return False
        self.state = state
        self.writes += 1
        return True


class KeyWriter:
    """Instance that writes the record, possibly based on an outdated view."""

    def __init__(self, table: StandinTable, seed: int, lost_reply_share: float) -> None:
        clock = VirtualClock()
        log = build_log(clock)
        service = FakeTableService(table, clock, seed)
        service.lost_reply_share = lost_reply_share
        self.keys = KeyStore(TableStore(service, clock, log), FakeObjectStore(), log)
        self.version = ABSENT
        self.row: KeyRow | None = None
        self.known_writes = 0

    async def refresh(self, naive: NaiveRecord) -> None:
        self.row, self.version = (await self.keys.find(CALLER, KEY)).unwrap()
        self.known_writes = naive.writes

    async def write(self, operation: str) -> Any:
        attempt = self.row["attempt"] if self.row is not None else 0
        if operation == "close":
            return await self.keys.record_as_not_run(CALLER, KEY, DIGEST, self.version)
        row: KeyRow = {
            "digest": DIGEST,
            "state": KeyState.DISPATCHED.value,
            "attempt": attempt + 1,
            "run_id": f"{CALLER}/{KEY}#{attempt + 1}",
            "shard": "kista/r0",
            "worker": "kista-w0",
            "epoch": 1,
            "session": "s",
        }
        if operation == "dispatch":
            return await self.keys.record_dispatch(CALLER, KEY, row, self.version)
        ended = ended_row(self.row or row, KeyState.DONE)
        return await self.keys.record_end(CALLER, KEY, ended, self.version, b"answer")


WRITTEN_STATE = {
    "dispatch": KeyState.DISPATCHED,
    "end": KeyState.DONE,
    "close": KeyState.NOT_RUN,
}


def is_allowed(operation: str, known_state: KeyState | None) -> bool:
    """Return whether users of KeyStore make this write after reading that state."""
    if operation == "end":
        return known_state is KeyState.DISPATCHED
    return known_state in (None, KeyState.NOT_RUN)


@pytest.mark.parametrize("lost_reply_share", [0.0, 0.6])
@given(operations=st.lists(OPERATIONS, max_size=25), seed=st.integers(0, 1_000))
@settings(derandomize=True, max_examples=60, deadline=None)
def test_records_agree_with_naive_record(
    lost_reply_share: float,
    operations: list[tuple[str, int, bool]],
    seed: int,
) -> None:
    """Guards against writes based on an outdated view, also with lost replies."""

    async def main() -> None:
        naive = NaiveRecord()
        table = StandinTable()
        writers = [KeyWriter(table, seed + n, lost_reply_share) for n in range(2)]
        for operation, number, refreshes_first in operations:
            writer = writers[number]
            if refreshes_first:
                await writer.refresh(naive)
            known_state = (
                KeyState(writer.row["state"]) if writer.row is not None else None
            )
            if not is_allowed(operation, known_state):
                continue
            reply = await writer.write(operation)
            expected = naive.write(WRITTEN_STATE[operation], writer.known_writes)
            assert isinstance(reply, Ok if expected else Err), reply
            await writer.refresh(naive)
            recorded_state = writer.row["state"] if writer.row is not None else None
            assert recorded_state == naive.state

    run_virtual(main())

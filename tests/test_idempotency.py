"""Key records compared with a naive record in one process."""

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
    """Hold the record of one key; a write needs the state that its writer has seen."""

    def __init__(self) -> None:
        self.state: KeyState | None = None
        self.writes = 0

    def write(self, state: KeyState, seen_writes: int) -> bool:
        if seen_writes != self.writes:
            return False
        self.state = state
        self.writes += 1
        return True


class Writer:
    """Act as one instance that may hold an outdated view of the record."""

    def __init__(self, table: StandinTable, seed: int, lost_reply_share: float) -> None:
        clock = VirtualClock()
        log = build_log(clock)
        service = FakeTableService(table, clock, seed)
        service.lost_reply_share = lost_reply_share
        self.keys = KeyStore(TableStore(service, clock, log), FakeObjectStore(), log)
        self.version = ABSENT
        self.row: KeyRow | None = None
        self.seen_writes = 0

    async def look(self, naive: NaiveRecord) -> None:
        self.row, self.version = (await self.keys.find(CALLER, KEY)).unwrap()
        self.seen_writes = naive.writes

    async def write(self, name: str) -> Any:
        attempt = self.row["attempt"] if self.row is not None else 0
        if name == "close":
            return await self.keys.close(CALLER, KEY, DIGEST, self.version)
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
        if name == "dispatch":
            return await self.keys.record_dispatch(CALLER, KEY, row, self.version)
        ended = ended_row(self.row or row, KeyState.DONE)
        return await self.keys.record_end(CALLER, KEY, ended, self.version, b"answer")


TARGET = {
    "dispatch": KeyState.DISPATCHED,
    "end": KeyState.DONE,
    "close": KeyState.NOT_RUN,
}


def is_allowed(name: str, seen: KeyState | None) -> bool:
    """Tell whether the callers of the key store make this write after that state."""
    if name == "end":
        return seen is KeyState.DISPATCHED
    return seen in (None, KeyState.NOT_RUN)


@pytest.mark.parametrize("lost_reply_share", [0.0, 0.6])
@given(operations=st.lists(OPERATIONS, max_size=25), seed=st.integers(0, 1_000))
@settings(derandomize=True, max_examples=60, deadline=None)
def test_records_agree_with_a_naive_record(
    lost_reply_share: float,
    operations: list[tuple[str, int, bool]],
    seed: int,
) -> None:
    """Guards against a write under an outdated view, also when replies are lost."""

    async def main() -> None:
        naive = NaiveRecord()
        table = StandinTable()
        writers = [Writer(table, seed + n, lost_reply_share) for n in range(2)]
        for name, number, looks_first in operations:
            writer = writers[number]
            if looks_first:
                await writer.look(naive)
            seen = KeyState(writer.row["state"]) if writer.row is not None else None
            if not is_allowed(name, seen):
                continue
            reply = await writer.write(name)
            expected = naive.write(TARGET[name], writer.seen_writes)
            assert isinstance(reply, Ok if expected else Err), reply
            await writer.look(naive)
            found = writer.row["state"] if writer.row is not None else None
            assert found == naive.state

    run_virtual(main())

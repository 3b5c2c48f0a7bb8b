"""Recording of the outcomes of keyed runs, with retries until a record is final."""

from hyssopweir.clock import Clock, Millis
from hyssopweir.codes import Code
from hyssopweir.contracts import KeyRow, KeyState
from hyssopweir.events import Event, EventLog
from hyssopweir.idempotency import KeyStore, ended_row
from hyssopweir.loops import run_guarded
from hyssopweir.retries import Backoff
from hyssopweir.worker_client import RunReport, RunState

RETRY_BASE_MS: Millis = 100
RETRY_CAP_MS: Millis = 2_000

# Codes after which the record may already be final, so it is read before a retry.
MAY_BE_SETTLED = frozenset({Code.STORE_CONFLICT, Code.STORE_OUTCOME_UNKNOWN})


def build_final_row(row: KeyRow, report: RunReport) -> tuple[KeyRow, bytes | None]:
    """Return the final record of a run and its answer, None unless it succeeded.

    A failed run was still executed, so its record is ``done`` with an error.
    """
    if report.state is RunState.DONE and report.answer is not None:
        return ended_row(row, KeyState.DONE), report.answer
    if report.state is RunState.NEVER_SEEN:
        return ended_row(row, KeyState.NOT_RUN), None
    if report.state is RunState.FORGOTTEN:
        return ended_row(row, KeyState.UNKNOWN), None
    error = report.error or f"the run ended as {report.state.value}"
    return ended_row(row, KeyState.DONE, error), None


class KeyRecorder:
    """Records the outcomes of keyed runs, with retries after store failures."""

    def __init__(self, keys: KeyStore, clock: Clock, log: EventLog) -> None:
        self._keys = keys
        self._clock = clock
        self._log = log

    async def write_end(
        self,
        caller: str,
        key: str,
        ended: KeyRow,
        version: int,
        answer: bytes | None = None,
    ) -> None:
        """Retry until the outcome is recorded or another writer settles the record."""
        backoff = Backoff(RETRY_BASE_MS, RETRY_CAP_MS)
        recorded = False

        async def write() -> None:
            nonlocal recorded, version
            reply = await self._keys.record_end(caller, key, ended, version, answer)
            recorded = reply.is_ok()
            if recorded or reply.unwrap_err().code not in MAY_BE_SETTLED:
                return
            found = await self._keys.find(caller, key)
            if found.is_ok():
                row, version = found.unwrap()
                recorded = row is None or not _is_dispatched(row, ended)
                if recorded:
                    self._log_settled(caller, key, ended, row)

        while True:
            await run_guarded(write, "KeyRecorder", self._log)
            if recorded:
                return
            await self._clock.sleep_ms(backoff.next_ms())

    def _log_settled(
        self,
        caller: str,
        key: str,
        ended: KeyRow,
        row: KeyRow | None,
    ) -> None:
        self._log.emit(
            Event.KEY_SETTLED,
            caller=caller,
            key=key,
            run=ended["run_id"],
            state=row["state"] if row is not None else "none",
        )


def _is_dispatched(row: KeyRow, ended: KeyRow) -> bool:
    return row["state"] == KeyState.DISPATCHED and row["run_id"] == ended["run_id"]

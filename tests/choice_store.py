"""Row store for model checking: tries all orders of calls and all lost replies."""

import asyncio
from collections.abc import Awaitable, Callable, Iterator, Sequence
from typing import Any, NamedTuple

from result import Err, Ok, Result

from hyssopweir.clock import Millis
from hyssopweir.codes import Code, Failure, unknown
from hyssopweir.row_store import (
    Change,
    Committed,
    Conflict,
    RowPage,
    StoredRow,
)
from tests.row_fakes import MemoryRows
from tests.virtual_time import VirtualLoop

# No coroutine awaits more often than this between two calls of the store.
MAX_AWAITS_BETWEEN_CALLS = 12


class PendingCall(NamedTuple):
    caller: str
    apply: Callable[[], Any]
    is_write: bool
    reply: "asyncio.Future[Any]"


class ChoiceStore:
    """Fake ``RowStore`` of one caller, with the methods that ownership uses."""

    def __init__(self, simulation: "ChoiceSimulation", caller: str) -> None:
        self._simulation = simulation
        self._caller = caller

    async def _call(self, apply: Callable[[], Any], is_write: bool) -> Any:
        reply: asyncio.Future[Any] = asyncio.get_running_loop().create_future()
        call = PendingCall(self._caller, apply, is_write, reply)
        self._simulation.pending.append(call)
        return await reply

    async def transact(
        self, changes: Sequence[Change], timeout_ms: Millis
    ) -> Result[Committed | Conflict, Failure]:
        copied_changes = list(changes)
        return await self._call(
            lambda: self._simulation.apply(self._caller, copied_changes), True
        )

    async def read_rows(
        self, table: str, part: str, start: str, end: str, timeout_ms: Millis
    ) -> Result[RowPage, Failure]:
        def read() -> Result[RowPage, Failure]:
            rows: list[StoredRow] = [
                row
                for at, row in sorted(self._simulation.rows.rows.items())
                if (at.table, at.part) == (table, part)
            ]
            return Ok(RowPage(rows, self._simulation.rows.version, False))

        return await self._call(read, False)


class ChoiceSimulation:
    """Simulation that executes pending store calls one by one, as chosen."""

    def __init__(self, faults: int) -> None:
        self.rows = MemoryRows()
        self.pending: list[PendingCall] = []
        self.late_writes: list[Callable[[], Any]] = []
        self.remaining_faults = faults
        # Callers and changes of the committed transactions, in order.
        self.applied: list[tuple[str, list[Change]]] = []

    def apply(
        self, caller: str, changes: list[Change]
    ) -> Result[Committed | Conflict, Failure]:
        outcome = self.rows.apply(changes)
        if isinstance(outcome, Committed):
            self.applied.append((caller, changes))
        return Ok(outcome)

    def options(self) -> list[Callable[[], None]]:
        """Return every step that can happen next."""
        possible: list[Callable[[], None]] = []
        for call in self.pending:
            possible.append(lambda call=call: self._answer(call, call.apply()))
            if call.is_write and self.remaining_faults:
                possible.append(lambda call=call: self._lose_reply(call, True))
                possible.append(lambda call=call: self._lose_reply(call, False))
        possible.extend(
            lambda write=write: self._apply_late_write(write)
            for write in self.late_writes
        )
        return possible

    def _answer(self, call: PendingCall, reply: Any) -> None:
        self.pending.remove(call)
        call.reply.set_result(reply)

    def _lose_reply(self, call: PendingCall, is_applied: bool) -> None:
        """Lose the reply to a write that is applied now, or after later calls."""
        self.remaining_faults -= 1
        if is_applied:
            call.apply()
        else:
            self.late_writes.append(call.apply)
        self._answer(call, Err(unknown(Code.STORE_OUTCOME_UNKNOWN, "lost")))

    def _apply_late_write(self, write: Callable[[], Any]) -> None:
        self.late_writes.remove(write)
        write()


Programs = Callable[[ChoiceSimulation], list[Awaitable[None]]]


def explore(programs: Programs, faults: int, depth: int) -> Iterator[ChoiceSimulation]:
    """Yield the simulation after each order of calls and lost replies.

    All options are explored up to ``depth`` choices; later calls are answered in order.
    """
    choices: list[int] = []
    while True:
        simulation, option_counts = _run(programs, faults, depth, choices)
        yield simulation
        choices = (choices + [0] * len(option_counts))[: len(option_counts)]
        while choices and choices[-1] + 1 >= option_counts[len(choices) - 1]:
            choices.pop()
        if not choices:
            return
        choices[-1] += 1


def _run(
    programs: Programs, faults: int, depth: int, choices: list[int]
) -> tuple[ChoiceSimulation, list[int]]:
    simulation = ChoiceSimulation(faults)
    option_counts: list[int] = []

    async def run() -> None:
        tasks = [asyncio.ensure_future(program) for program in programs(simulation)]
        while True:
            for _ in range(MAX_AWAITS_BETWEEN_CALLS):
                await asyncio.sleep(0)
            options = simulation.options()
            if not options:
                break
            choice = 0
            if len(option_counts) < depth:
                choice = (
                    choices[len(option_counts)]
                    if len(option_counts) < len(choices)
                    else 0
                )
                option_counts.append(len(options))
            options[choice]()
        for task in tasks:
            task.result()

    loop = VirtualLoop()
    asyncio.set_event_loop(loop)
    try:
        loop.run_until_complete(run())
    finally:
        asyncio.set_event_loop(None)
        loop.close()
    return simulation, option_counts

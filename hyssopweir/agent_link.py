"""The link of an owner to one worker: its lease, its ends, and orders to it."""

import asyncio
from collections.abc import Callable
from typing import NamedTuple

from result import Err

from hyssopweir.agents import (
    Agent,
    CommandResult,
    LeaseReply,
    StartCommand,
    WorkerEntry,
)
from hyssopweir.clock import Clock, Millis
from hyssopweir.events import Event, EventLog
from hyssopweir.worker_load import WorkerLoad
from hyssopweir.workflow_progress import Run, RunRef

# Long enough for a new owner to adopt the runs: silence of the former owner, its
# takeover, and one hold; runs of a lost worker start again after it.
LEASE_MS: Millis = 4_000
# Bounds the lease that a former owner of the cell may have granted.
FORMER_LEASE_MS: Millis = LEASE_MS + 500
# A worker's clock may be 2% slow.
SLOWEST_CLOCK = 0.98
# The longest lease that a worker grants, on its slow clock: a former owner that nobody
# has fenced there may have renewed until it was superseded.
UNKNOWN_LEASE_MS: Millis = int(10_000 / SLOWEST_CLOCK) + 200
# A worker that is not listed any more counts as gone when the leases that a former
# owner had granted have ended.
UNLISTED_LEASE_MS: Millis = int(FORMER_LEASE_MS / SLOWEST_CLOCK) + 200
HOLD_WAIT_MS: Millis = 700
HOLD_TIMEOUT_MS: Millis = 600
ORDER_TIMEOUT_MS: Millis = 600
STORED_WAIT_MS: Millis = 300
RETRY_MS: Millis = 100
MOST_RETRY_MS: Millis = 500
# Without an answer for that long, a worker gets no new tasks.
REPORT_TIMEOUT_MS: Millis = 1_500


class ClockReading(NamedTuple):
    """Relate the worker's clock to the own one; both in ms."""

    worker_ms: Millis
    local_ms: Millis


HoldingHandler = Callable[
    ["AgentLink", LeaseReply, Millis], "asyncio.Future[None] | None"
]


class AgentLink:
    """Hold one worker: renew its lease, take its reports, and order runs.

    ``on_holding`` gets each report with the local time at which it was asked for, and
    returns a future that is done when the ends in it are stored.
    """

    def __init__(
        self,
        entry: WorkerEntry,
        token: int,
        agent: Agent,
        clock: Clock,
        log: EventLog,
        on_holding: HoldingHandler,
        on_fenced: Callable[[], None],
        on_lapsed: Callable[["AgentLink"], None],
    ) -> None:
        self.load = WorkerLoad(entry)
        self._token = token
        self._agent = agent
        self._clock = clock
        self._log = log
        self._on_holding = on_holding
        self._on_fenced = on_fenced
        self._on_lapsed = on_lapsed
        self._reading: ClockReading | None = None
        self._lease_until_ms: Millis = 0
        self._acknowledged = 0
        self._is_silent = False
        self._opened_ms = clock.now_ms()
        self._has_lapsed = False
        self.born_ms: Millis = 0

    @property
    def entry(self) -> WorkerEntry:
        """Return what the worker last published."""
        return self.load.entry

    def lease_until_ms(self) -> Millis:
        """Return the end of a new lease on the worker's clock; 0 if unknown."""
        if self._reading is None:
            return 0
        passed_ms = self._clock.now_ms() - self._reading.local_ms
        return self._reading.worker_ms + passed_ms + LEASE_MS

    def has_lapsed(self) -> bool:
        """Tell whether all leases have certainly ended on the worker's clock."""
        now_ms = self._clock.now_ms()
        if self._reading is None:
            return now_ms - self._opened_ms > UNKNOWN_LEASE_MS
        passed_ms = int((now_ms - self._reading.local_ms) * SLOWEST_CLOCK)
        return self._reading.worker_ms + passed_ms > self._lease_until_ms

    async def run(self) -> None:
        """Hold the worker until cancelled."""
        wait_ms, pause_ms = 0, RETRY_MS
        while True:
            sent_ms = self._clock.now_ms()
            # A call without an answer may still renew the lease, so that the lease of a
            # silent worker must not be asked for again: it would never end for certain.
            lease_until_ms = None if self._is_silent else self.lease_until_ms() or None
            self._lease_until_ms = max(self._lease_until_ms, lease_until_ms or 0)
            reply = await self._agent.hold(
                self.entry,
                self._token,
                # After a silence, the numbers may be those of another life.
                0 if self._is_silent else self._acknowledged,
                lease_until_ms,
                wait_ms,
                wait_ms + HOLD_TIMEOUT_MS,
            )
            if isinstance(reply, Err):
                self._note_silence(reply.err_value)
                wait_ms = 0
                await self._clock.sleep_ms(pause_ms)
                pause_ms = min(2 * pause_ms, MOST_RETRY_MS)
                continue
            pause_ms = RETRY_MS
            is_first = self._reading is None
            is_stored = await self._take(reply.ok_value, sent_ms)
            wait_ms = HOLD_WAIT_MS if is_stored and not is_first else 0
            if not is_stored:
                await self._clock.sleep_ms(MOST_RETRY_MS)

    async def _take(self, holding: LeaseReply, sent_ms: Millis) -> bool:
        """Take a report; tell whether all ends in it are stored."""
        now_ms = self._clock.now_ms()
        if holding.born_ms != self.born_ms:
            self._acknowledged = 0
            self.born_ms = holding.born_ms
            self._lease_until_ms = 0
        if self._reading is None:
            self._lease_until_ms = holding.clock_ms + FORMER_LEASE_MS
        self._reading = ClockReading(holding.clock_ms, now_ms)
        self._has_lapsed = False
        if self._is_silent:
            self._is_silent = False
            self._log.emit(Event.WORKER_HEARD, worker=self.entry.worker_id)
        stored = self._on_holding(self, holding, sent_ms)
        if stored is None:
            return True
        born_ms, last = self.born_ms, max(end.number for end in holding.ended)
        await asyncio.wait([stored], timeout=STORED_WAIT_MS / 1_000)
        if not stored.done() or stored.cancelled():
            return False
        if born_ms == self.born_ms:
            self._acknowledged = last
        return True

    def _note_silence(self, verdict: CommandResult) -> None:
        if verdict is CommandResult.FENCED:
            self._on_fenced()
            return
        if not self._is_silent:
            self._is_silent = True
            self._log.emit(
                Event.WORKER_SILENT,
                worker=self.entry.worker_id,
                verdict=verdict.value,
                runs=len(self.load.runs),
            )
        if self.has_lapsed() and not self._has_lapsed:
            self._has_lapsed = True
            self._on_lapsed(self)

    async def start(self, run: Run, payload: str, saved: str) -> CommandResult:
        """Order a run; it may be carried out later only if ``UNKNOWN``."""
        lease_until_ms = self.lease_until_ms()
        self._lease_until_ms = max(self._lease_until_ms, lease_until_ms)
        run.order(self._clock.now_ms())
        order = StartCommand(run.ref, payload, lease_until_ms, self._token, saved)
        verdict = await self._agent.start(self.entry, order, ORDER_TIMEOUT_MS)
        run.settled_ms = self._clock.now_ms()
        if verdict is CommandResult.FENCED:
            self._on_fenced()
        return verdict

    async def stop(self, ref: RunRef) -> CommandResult:
        """Order a run to end, and never to start if it has not."""
        verdict = await self._agent.stop(self.entry, ref, self._token, ORDER_TIMEOUT_MS)
        if verdict is CommandResult.FENCED:
            self._on_fenced()
        return verdict

    async def pace(self, run: Run, percent: int) -> bool:
        """Limit a run to a share of its work; tell whether it is in force."""
        verdict = await self._agent.pace(
            self.entry, run.ref, percent, self._token, ORDER_TIMEOUT_MS
        )
        return verdict is CommandResult.ACCEPTED

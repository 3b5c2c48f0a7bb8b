"""Starts of one worker that are under way."""

import asyncio

from hyssopweir.agents import (
    Agent,
    CommandResult,
    StartCommand,
    StartReply,
    WorkerEntry,
)
from hyssopweir.clock import Clock, Millis
from hyssopweir.reply_delays import ReplyDelays

# Within this time after its timeout, a start that wasn't sent tells so.
RESULT_GRACE_MS: Millis = 100


class StartCalls:
    """Starts under way; a late reply only tells how long the next ones may take."""

    def __init__(self, agent: Agent, clock: Clock) -> None:
        self._agent = agent
        self._clock = clock
        self._overdue: set[asyncio.Task[StartReply]] = set()
        self.delays = ReplyDelays()

    async def send(
        self, entry: WorkerEntry, command: StartCommand, timeout_ms: Millis
    ) -> StartReply:
        """Send a start; the result is ``UNKNOWN`` if its reply comes too late."""
        sent_ms = self._clock.now_ms()
        call = asyncio.get_running_loop().create_task(
            self._agent.start(entry, command, timeout_ms)
        )
        call.add_done_callback(lambda call: self._record_delay(call, sent_ms))
        try:
            is_answered = await self._clock.wait_first(
                [call], timeout_ms + RESULT_GRACE_MS
            )
        except asyncio.CancelledError:
            call.cancel()
            raise
        if is_answered:
            return call.result()
        self._overdue.add(call)
        return StartReply(CommandResult.UNKNOWN)

    def _record_delay(self, call: asyncio.Task[StartReply], sent_ms: Millis) -> None:
        self._overdue.discard(call)
        if call.cancelled() or call.exception() is not None:
            return
        if call.result().result is not CommandResult.UNKNOWN:
            self.delays.record(self._clock.now_ms() - sent_ms)

    def cancel(self) -> None:
        """Cancel the calls that have exceeded their timeout."""
        for call in self._overdue:
            call.cancel()

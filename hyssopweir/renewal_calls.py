"""Lease renewals of one worker that are under way."""

import asyncio
from collections.abc import Coroutine
from typing import Any, NamedTuple

from result import Err, Ok, Result

from hyssopweir.agents import CommandResult, LeaseReply
from hyssopweir.clock import Clock, Millis

# Enough turns of the event loop to read a reply that has arrived.
MIN_WAIT_MS: Millis = 50

RenewalResult = Result[LeaseReply, CommandResult]


class Renewal(NamedTuple):
    """Request of a renewal; with ``is_after_expiry``, all leases had expired then.

    Without ``has_lease`` it only asks for the runs.
    """

    sent_ms: Millis
    token: int
    wait_ms: Millis
    has_lease: bool
    is_after_expiry: bool


class RenewalCalls:
    """Renewals under way, of which all but the newest have exceeded their timeout.

    An overdue call stays open: the reply may only be late, and no later call could
    list what it lists any sooner.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._calls: dict[asyncio.Task[RenewalResult], Renewal] = {}
        self._newest: asyncio.Task[RenewalResult] | None = None
        self._due_ms: Millis = 0
        # When the latest renewal was sent of which a reply was returned.
        self._replied_ms: Millis = -1

    @property
    def newest(self) -> Renewal | None:
        """Return the newest call, None once it has a reply or exceeded its time."""
        return self._calls.get(self._newest) if self._newest is not None else None

    def send(
        self,
        call: Coroutine[Any, Any, RenewalResult],
        renewal: Renewal,
        timeout_ms: Millis,
    ) -> None:
        """Start a call, which becomes the newest one."""
        self._newest = asyncio.get_running_loop().create_task(call)
        self._calls[self._newest] = renewal
        self._due_ms = self._clock.now_ms() + timeout_ms

    async def next_reply(self) -> tuple[Renewal, RenewalResult] | None:
        """Return the next reply, or the failure of the newest call.

        Return None if the newest call was cancelled.
        """
        while self._newest is not None:
            left_ms = max(self._due_ms - self._clock.now_ms(), MIN_WAIT_MS)
            await self._clock.wait_first(list(self._calls), left_ms)
            replied = self._take_reply()
            if replied is not None:
                return replied
            if self._newest in self._calls and self._clock.now_ms() >= self._due_ms:
                renewal, self._newest = self._calls[self._newest], None
                return renewal, Err(CommandResult.UNKNOWN)
        return None

    def _take_reply(self) -> tuple[Renewal, RenewalResult] | None:
        """Return the reply to the earliest call that has a useful one."""
        for call, renewal in list(self._calls.items()):
            if not call.done():
                continue
            del self._calls[call]
            is_newest = call is self._newest
            if is_newest:
                self._newest = None
            if call.cancelled():
                continue
            result = call.result()
            if isinstance(result, Ok):
                # A later call has brought a later list.
                if renewal.sent_ms < self._replied_ms:
                    continue
                self._replied_ms = renewal.sent_ms
            elif not is_newest and result.err_value is not CommandResult.FENCED:
                continue
            return renewal, result
        return None

    def cancel(self) -> None:
        """Cancel all calls."""
        for call in self._calls:
            call.cancel()
        self._calls.clear()
        self._newest = None

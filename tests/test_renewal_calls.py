"""Renewals whose replies come late, and timeouts that follow the replies."""

import asyncio
from typing import Any

from result import Err, Ok

from hyssopweir.agents import CommandResult, LeaseReply
from hyssopweir.clock import Millis
from hyssopweir.renewal_calls import Renewal, RenewalCalls, RenewalResult
from hyssopweir.reply_delays import MAX_TIMEOUT_MS, MIN_TIMEOUT_MS, ReplyDelays
from tests.cell_simulation import InstanceClock
from tests.virtual_time import VirtualClock, run_virtual

TIMEOUT_MS = 600


def lease_reply(clock_ms: Millis) -> LeaseReply:
    return LeaseReply(clock_ms, 1, [], [])


class Calls:
    """Renewals of which each gets its result after a time of its own."""

    def __init__(self, clock: VirtualClock) -> None:
        self.clock = clock
        self.calls = RenewalCalls(clock)

    def send(self, delay_ms: Millis, result: RenewalResult) -> None:
        renewal = Renewal(self.clock.now_ms(), 1, 0, True, False)
        self.calls.send(self._call(delay_ms, result), renewal, TIMEOUT_MS)

    async def _call(self, delay_ms: Millis, result: RenewalResult) -> RenewalResult:
        await self.clock.sleep_ms(delay_ms)
        return result

    async def next_result(self) -> Any:
        replied = await self.calls.next_reply()
        return replied and replied[1]


def test_reply_to_an_overdue_renewal_is_returned() -> None:
    """Guards against a worker that counts as silent as its replies take longer."""

    async def main() -> None:
        calls = Calls(VirtualClock())
        calls.send(900, Ok(lease_reply(1)))
        assert await calls.next_result() == Err(CommandResult.UNKNOWN)
        assert calls.calls.newest is None
        calls.send(900, Ok(lease_reply(2)))
        assert await calls.next_result() == Ok(lease_reply(1))
        assert calls.calls.newest is not None
        assert await calls.next_result() == Err(CommandResult.UNKNOWN)

    run_virtual(main())


def test_list_that_a_later_one_has_overtaken_is_dropped() -> None:
    """Guards against runs that an old list shows again."""

    async def main() -> None:
        calls = Calls(VirtualClock())
        calls.send(1_500, Ok(lease_reply(1)))
        assert await calls.next_result() == Err(CommandResult.UNKNOWN)
        calls.send(10, Ok(lease_reply(2)))
        assert await calls.next_result() == Ok(lease_reply(2))
        await calls.clock.sleep_ms(1_500)
        calls.send(10, Ok(lease_reply(3)))
        assert await calls.next_result() == Ok(lease_reply(3))

    run_virtual(main())


def test_failure_of_an_overdue_renewal_ends_no_later_one() -> None:
    """Guards against a verdict on a worker by a call that was given up."""

    async def main() -> None:
        calls = Calls(VirtualClock())
        calls.send(800, Err(CommandResult.NO_LISTENER))
        assert await calls.next_result() == Err(CommandResult.UNKNOWN)
        calls.send(400, Ok(lease_reply(2)))
        assert await calls.next_result() == Ok(lease_reply(2))

    run_virtual(main())


def test_cancelled_renewals_return_no_reply() -> None:
    """Guards against the reply of a former process after its restart is known."""

    async def main() -> None:
        calls = Calls(VirtualClock())
        calls.send(300, Ok(lease_reply(1)))
        asyncio.get_running_loop().call_later(0.1, calls.calls.cancel)
        assert await calls.next_result() is None

    run_virtual(main())


def test_time_for_which_the_process_stands_still_is_no_timeout() -> None:
    """Guards against a worker that counts as silent while its owner stands still."""

    async def main() -> None:
        clock = InstanceClock()
        calls = Calls(clock)
        calls.send(580, Ok(lease_reply(1)))
        loop = asyncio.get_running_loop()
        loop.call_later(0.1, setattr, clock, "is_frozen", True)
        loop.call_later(1.1, setattr, clock, "is_frozen", False)
        assert await calls.next_result() == Ok(lease_reply(1))

    run_virtual(main())


def test_timeout_follows_the_delays_of_replies() -> None:
    """Guards against replies that are later than each timeout."""
    delays = ReplyDelays()
    assert delays.timeout_ms() == MIN_TIMEOUT_MS
    delays.record(900)
    assert delays.timeout_ms() > 900
    delays.record(5_000)
    assert delays.timeout_ms() == MAX_TIMEOUT_MS
    for _ in range(60):
        delays.record(5)
    assert delays.timeout_ms() == MIN_TIMEOUT_MS

"""Time limits of HTTP exchanges in a process that is short of processor time."""

import asyncio
import time

from result import Err

from hyssopweir.platform_client import ExchangeErrorKind, exchange, new_session
from hyssopweir.silent_connections import SilentAddresses
from tests.reply_server import HOST, delayed_replies


def test_time_limit_of_a_process_that_stands_still_is_bounded() -> None:
    """Guards against calls without an end in a process that is always late."""

    async def main(port: int) -> None:
        session = new_session(connections=0)
        loop = asyncio.get_running_loop()

        def stand() -> None:
            time.sleep(0.08)
            loop.call_soon(stand)

        loop.call_soon(stand)
        result = await exchange(session, "GET", (HOST, port), "/", 500)
        await session.close()
        # The reply would come after eight times the timeout.
        assert isinstance(result, Err)
        assert result.err_value.kind is ExchangeErrorKind.NO_ANSWER

    with delayed_replies(4) as port:
        asyncio.run(main(port))


def test_late_reply_is_returned_while_the_address_counts_as_silent() -> None:
    """Guards against a renewal whose reply is dropped as it takes a little longer."""

    async def main(port: int) -> None:
        silent = SilentAddresses()
        session = new_session(0, silent)
        loop = asyncio.get_running_loop()
        started_s = loop.time()
        call = asyncio.ensure_future(
            exchange(session, "GET", (HOST, port), "/", 200, late_ms=10_000)
        )
        await asyncio.sleep(0.6)
        assert silent.may_be_silent((HOST, port), started_s - 1)
        result = await call
        await session.close()
        assert result.is_ok(), result

    with delayed_replies(1.5) as port:
        asyncio.run(main(port))


def test_call_ends_when_its_reply_is_too_late() -> None:
    """Guards against calls to a silent worker that stay open for good."""

    async def main(port: int) -> None:
        session = new_session(connections=0)
        result = await exchange(session, "GET", (HOST, port), "/", 200, late_ms=200)
        await session.close()
        assert isinstance(result, Err)

    with delayed_replies(3) as port:
        asyncio.run(main(port))

"""Choice of the connection for a request: by number, and none that is out of order."""

import asyncio
from contextvars import ContextVar
from functools import partial
from itertools import count
from typing import Any
from weakref import WeakKeyDictionary

import aiohttp
from aiohttp.connector import Connection
from aiohttp.tracing import Trace

# Idle connections are closed after this time.
IDLE_CONNECTION_S = 15.0


class SilentAddresses:
    """Addresses that left requests unanswered, with the time of the latest of them.

    The connections to such an address whose last reply is older may all be silent.
    What is recorded here is passed on to ``others``, but not the reverse.
    """

    def __init__(self, others: "SilentAddresses | None" = None) -> None:
        self._others = others
        self._sent_s: dict[tuple[str, int], float] = {}

    def record(self, address: tuple[str, int], sent_s: float) -> None:
        """Record that a request that was sent at a time got no reply."""
        oldest_s = sent_s - IDLE_CONNECTION_S
        self._sent_s = {at: s for at, s in self._sent_s.items() if s > oldest_s}
        self._sent_s[address] = max(sent_s, self._sent_s.get(address, sent_s))
        if self._others is not None:
            self._others.record(address, sent_s)

    def may_be_silent(self, address: tuple[str, int], replied_s: float) -> bool:
        """Return whether a connection whose last reply came at a time may be silent."""
        return replied_s < self._sent_s.get(address, replied_s)


class ConnectionClosedError(aiohttp.ClientConnectionError):
    """The connection that a request had to be sent on is closed."""


class ConnectionChoice:
    """Number of the connection that a request needs, if any, and of the one it got."""

    def __init__(self, required: int | None) -> None:
        self.required = required
        self.used = 0


# aiohttp passes no such choice on to its connector.
connection_choice: ContextVar[ConnectionChoice | None] = ContextVar(
    "connection_choice", default=None
)


async def refuse_other_connection(*_: Any) -> None:
    """Trace callback that opens no connection for a request that requires one."""
    choice = connection_choice.get()
    if choice is not None and choice.required is not None:
        raise ConnectionClosedError


class Connector(aiohttp.TCPConnector):
    """Connector that does not reuse connections that may have gone silent.

    A connection can go silent without a reset, often together with all others that are
    open. It would cost each of the next calls its timeout.

    Connections are numbered. A request that requires one of them gets no other, which
    may lead to the next process at the address; ``refuse_other_connection`` has to be
    among the traces.
    """

    def __init__(self, connections: int, silent: SilentAddresses) -> None:
        super().__init__(limit=connections, keepalive_timeout=IDLE_CONNECTION_S)
        self.silent = silent
        # Times of the last reply on connections that were used before.
        self._replied_s: WeakKeyDictionary[asyncio.Transport, float] = (
            WeakKeyDictionary()
        )
        self._next_number = count(1)
        self._numbers: WeakKeyDictionary[asyncio.Transport, int] = WeakKeyDictionary()

    async def connect(
        self,
        req: aiohttp.ClientRequest,
        traces: list[Trace],
        timeout: aiohttp.ClientTimeout,
    ) -> Connection:
        """Return a connection on which a complete reply counts as a sign of life.

        Raise ``ConnectionClosedError`` if the request requires one that isn't idle.
        """
        conn = await self._choose(req, traces, timeout)
        if conn.transport is not None:
            conn.add_callback(partial(self._record_reply, conn.transport))
        return conn

    async def _choose(
        self,
        req: aiohttp.ClientRequest,
        traces: list[Trace],
        timeout: aiohttp.ClientTimeout,
    ) -> Connection:
        """Return the connection that the request requires, or any one."""
        choice = connection_choice.get()
        # Those of another client of the same address, such as a former worker's.
        others: list[Connection] = []
        try:
            while True:
                conn = await self._connect(req, traces, timeout)
                if choice is None:
                    return conn
                choice.used = self._number(conn.transport)
                if choice.required in (None, choice.used):
                    return conn
                others.append(conn)
        finally:
            for conn in others:
                conn.release()

    def _number(self, transport: asyncio.Transport | None) -> int:
        """Return the number of a connection, 0 if it is closed."""
        if transport is None:
            return 0
        if transport not in self._numbers:
            self._numbers[transport] = next(self._next_number)
        return self._numbers[transport]

    async def _connect(
        self,
        req: aiohttp.ClientRequest,
        traces: list[Trace],
        timeout: aiohttp.ClientTimeout,
    ) -> Connection:
        """Return a connection that has not gone silent as far as is known."""
        address = (req.url.raw_host or "", req.url.port or 0)
        while True:
            conn = await super().connect(req, traces, timeout)
            if conn.transport is None:
                return conn
            if conn.protocol is not None and conn.protocol.should_close:
                # What arrived without a request would count as the next reply.
                conn.close()
                continue
            replied_s = self._replied_s.get(conn.transport)
            if replied_s is None or not self.silent.may_be_silent(address, replied_s):
                return conn
            conn.close()

    def _record_reply(self, transport: asyncio.Transport) -> None:
        """Record that a connection is released, which it is after a complete reply."""
        self._replied_s[transport] = asyncio.get_running_loop().time()

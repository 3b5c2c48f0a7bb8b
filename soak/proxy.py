"""Loopback proxy that delays, resets, refuses, silences, cuts and misroutes."""

import asyncio
import contextlib
import socket
import struct
import time
from collections.abc import Callable, Iterator
from typing import NamedTuple

HOST = "127.0.0.1"
CHUNK_BYTES = 65_536
BACKLOG = 512
# Bytes that were held up for longer count as late.
LATE_S = 0.25
# Makes a close send a reset instead of the end of the stream.
RESET_ON_CLOSE = struct.pack("ii", 1, 0)

Address = tuple[str, int]


class LinkState(NamedTuple):
    """What a proxy does to the bytes of the connections that it accepts.

    A direction that is cut delivers its bytes once the cut is over, like a network
    that sends them again.
    """

    delay_ms: float = 0
    reply_delay_ms: float = 0
    cuts_requests: bool = False
    cuts_replies: bool = False


class Proxy:
    """Forwards the connections of one port to an address.

    ``on_connected`` receives the proxy, both ports of each connection to the address
    and the port of the peer that it is forwarded for.
    """

    def __init__(
        self,
        port: int,
        target: Address,
        on_connected: Callable[["Proxy", tuple[int, int], int], None] | None = None,
    ) -> None:
        self.port = port
        # The last one is in force.
        self._targets = [target]
        # Local ports of connections whose request was held up and has no reply yet.
        self.late_ports: set[int] = set()
        self._on_connected = on_connected
        self._server: asyncio.Server | None = None
        self._is_closed = False
        self._refusals = 0
        self._states: list[LinkState] = []
        self._changed = asyncio.Event()
        self._links: dict[asyncio.Task[None], _Link] = {}

    async def open(self) -> None:
        """Begin to listen."""
        self._server = await asyncio.start_server(
            self._accept, HOST, self.port, backlog=BACKLOG
        )

    async def refuse(self) -> None:
        """Close the listener until ``admit`` is called as often; keep connections."""
        self._refusals += 1
        if self._server is not None:
            self._server.close()
            self._server = None

    async def admit(self) -> None:
        """Listen again if nothing else keeps the listener closed."""
        self._refusals -= 1
        if not self._refusals and not self._is_closed:
            await self.open()

    def reset(self) -> None:
        """Reset all open connections."""
        for link in list(self._links.values()):
            link.abort()

    def silence(self) -> None:
        """Forward nothing more on the connections that are open now."""
        for link in self._links.values():
            link.is_silent = True

    @contextlib.contextmanager
    def requests_held(self) -> Iterator[None]:
        """Hold up the requests on the connections that are open now."""
        held = [link for link in self._links.values() if link.released is None]
        released = asyncio.Event()
        for link in held:
            link.released = released
        try:
            yield
        finally:
            for link in held:
                link.released = None
            released.set()

    @contextlib.contextmanager
    def misrouted(self, target: Address) -> Iterator[None]:
        """Forward to a wrong address; connections are reset at both changes."""
        self._targets.append(target)
        self.reset()
        try:
            yield
        finally:
            self._targets.remove(target)
            self.reset()

    @contextlib.contextmanager
    def degraded(self, state: LinkState) -> Iterator[None]:
        """Treat all connections as ``state`` says, beside other such states."""
        self._states.append(state)
        try:
            yield
        finally:
            self._states.remove(state)
            self._changed.set()
            self._changed = asyncio.Event()

    async def close(self) -> None:
        """Close the listener and all connections for good."""
        self._is_closed = True
        await self.refuse()
        tasks = list(self._links)
        self.reset()
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    async def _accept(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        task = asyncio.current_task()
        assert task is not None
        link = _Link(reader, writer)
        self._links[task] = link
        peer_port = writer.get_extra_info("peername")[1]
        try:
            with contextlib.suppress(OSError):
                target = self._targets[-1]
                await link.connect(target)
                self.late_ports.discard(link.local_port)
                if self._on_connected is not None:
                    ends = (link.local_port, target[1])
                    self._on_connected(self, ends, peer_port)
                await asyncio.gather(
                    self._pump(link, link.reader, link.target_writer, True),
                    self._pump(link, link.target_reader, link.writer, False),
                )
        finally:
            del self._links[task]
            link.close()

    async def _pump(
        self,
        link: "_Link",
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        is_request: bool,
    ) -> None:
        try:
            while data := await reader.read(CHUNK_BYTES):
                await self._hold_up(link, is_request)
                if not link.is_silent:
                    writer.write(data)
                    await writer.drain()
                if not is_request:
                    # The request before the reply has been handled.
                    self.late_ports.discard(link.local_port)
            await self._hold_up(link, is_request)
            if not link.is_silent:
                writer.close()
        except OSError:
            # Either side has reset its connection, so the other one is reset too.
            link.abort()

    async def _hold_up(self, link: "_Link", is_request: bool) -> None:
        read_s = time.monotonic()
        delays_ms = [state.delay_ms for state in self._states]
        if not is_request:
            delays_ms += [state.reply_delay_ms for state in self._states]
        delay_ms = max(delays_ms, default=0)
        if delay_ms:
            await asyncio.sleep(delay_ms / 1_000)
        while self._is_cut(is_request):
            await self._changed.wait()
        if is_request and link.released is not None:
            await link.released.wait()
        if is_request and time.monotonic() - read_s > LATE_S:
            self.late_ports.add(link.local_port)

    def _is_cut(self, is_request: bool) -> bool:
        return any(
            state.cuts_requests if is_request else state.cuts_replies
            for state in self._states
        )


class _Link:
    """Pair of connections of which one is forwarded to the other."""

    def __init__(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self.reader = reader
        self.writer = writer
        self.target_reader = reader
        self.target_writer = writer
        self.local_port = 0
        self.is_silent = False
        # Set when its requests aren't held up any more.
        self.released: asyncio.Event | None = None

    async def connect(self, target: Address) -> None:
        """Connect to the target."""
        self.target_reader, self.target_writer = await asyncio.open_connection(*target)
        self.local_port = self.target_writer.get_extra_info("sockname")[1]

    def close(self) -> None:
        """Close both connections."""
        self.writer.close()
        self.target_writer.close()

    def abort(self) -> None:
        """Reset both connections."""
        for writer in (self.writer, self.target_writer):
            sock = writer.get_extra_info("socket")
            with contextlib.suppress(OSError):
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
            writer.transport.abort()

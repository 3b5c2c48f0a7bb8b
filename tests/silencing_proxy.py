"""TCP proxy whose open connections can go silent without a reset, on loopback."""

import asyncio
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager, suppress

HOST = "127.0.0.1"
CHUNK_BYTES = 65_536


class SilencingProxy:
    """Forwards connections to a port, but none that was silenced."""

    def __init__(self, target_port: int) -> None:
        self._target_port = target_port
        self._gates: set[asyncio.Event] = set()
        self._tasks: set[asyncio.Task[None]] = set()
        self._server: asyncio.Server | None = None
        self.port = 0
        self.accepted = 0

    async def start(self) -> None:
        self._server = await asyncio.start_server(self._accept, HOST, 0)
        self.port = self._server.sockets[0].getsockname()[1]

    async def close(self) -> None:
        assert self._server is not None
        self._server.close()
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    def silence(self) -> int:
        """Forward nothing more on the open connections; return their number."""
        for gate in self._gates:
            gate.clear()
        count = len(self._gates)
        self._gates.clear()
        return count

    async def _accept(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self.accepted += 1
        task = asyncio.current_task()
        assert task is not None
        self._tasks.add(task)
        gate = asyncio.Event()
        gate.set()
        self._gates.add(gate)
        target = await asyncio.open_connection(HOST, self._target_port)
        try:
            await asyncio.gather(
                _forward(reader, target[1], gate), _forward(target[0], writer, gate)
            )
        finally:
            self._gates.discard(gate)
            writer.close()
            target[1].close()


async def _forward(
    reader: asyncio.StreamReader, writer: asyncio.StreamWriter, gate: asyncio.Event
) -> None:
    with suppress(OSError):
        while data := await reader.read(CHUNK_BYTES):
            await gate.wait()
            writer.write(data)
            await writer.drain()
    writer.close()


@asynccontextmanager
async def silencing_proxy(target_port: int) -> AsyncIterator[SilencingProxy]:
    proxy = SilencingProxy(target_port)
    await proxy.start()
    try:
        yield proxy
    finally:
        await proxy.close()

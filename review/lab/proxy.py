"""TCP proxy whose open connections can go silent, without a reset."""

import asyncio

CHUNK = 65_536


class Proxy:
    """Forwards connections to an address until they are silenced."""

    def __init__(self, target):
        self.target = target
        self.address = None
        self._server = None
        self._open = set()
        self._tasks = set()

    async def start(self, host):
        self._server = await asyncio.start_server(self._accept, host, 0)
        self.address = self._server.sockets[0].getsockname()[:2]

    async def close(self):
        self._server.close()
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    def silence(self):
        """Pass on nothing more on the connections that are open now; leave them open."""
        count = len(self._open)
        for event in self._open:
            event.clear()
        self._open = set()
        return count

    async def _accept(self, reader, writer):
        self._tasks.add(asyncio.current_task())
        try:
            other_reader, other_writer = await asyncio.open_connection(*self.target)
        except OSError:
            writer.close()
            return
        passes = asyncio.Event()
        passes.set()
        self._open.add(passes)
        try:
            await asyncio.gather(
                self._pump(reader, other_writer, passes),
                self._pump(other_reader, writer, passes),
            )
        finally:
            self._open.discard(passes)
            writer.close()
            other_writer.close()

    async def _pump(self, reader, writer, passes):
        try:
            while True:
                data = await reader.read(CHUNK)
                await passes.wait()
                if not data:
                    break
                writer.write(data)
                await writer.drain()
        except OSError:
            pass
        writer.close()

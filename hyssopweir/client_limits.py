"""Budget of memory and connections that the clients of all listeners share.

The budget decides which connection is dropped when it is exhausted. It has no network:
a listener reports what its connections hold and closes those that are dropped.
"""

import asyncio
from collections import Counter, deque
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from typing import NamedTuple, Protocol

from hyssopweir.clock import SECOND_MS, Clock, Millis
from hyssopweir.codes import Code, Failure, not_run
from hyssopweir.events import Event, EventLog

KIB = 1_024
MB = 1_000_000
# Receive buffer of a connection. The kernel doubles it; a data centre 5 ms away still
# gets 3 MB/s over one connection.
RECEIVE_BUFFER_BYTES = 16 * KIB
SEND_BUFFER_BYTES = 32 * KIB
# Objects of a connection with its request (about 16 KB), and its full receive buffer.
CONNECTION_BYTES = 48 * KIB
# Bookkeeping of chunks that are parsed but not read, and the bytes behind them.
CHUNKED_BYTES = 128 * KIB
# Full send buffers of the kernel and of the event loop.
UNREAD_ANSWER_BYTES = 2 * SEND_BUFFER_BYTES + 32 * KIB
# Open files, and the listeners.
RESERVED_DESCRIPTORS = 200
# The other descriptors are for connections to the store and to workers.
CLIENT_DESCRIPTOR_SHARE = 0.75
MIN_CONNECTIONS = 16
# For the load balancer and the metrics, while requests use the whole budget.
OPERATOR_CONNECTIONS = 32
DEFAULT_MEMORY_PERCENT = 30
DEFAULT_HEAD_BYTES = 16 * KIB
DEFAULT_HEAD_MS: Millis = 10_000
DEFAULT_BODY_MS: Millis = 30_000
SILENT_MS: Millis = 30_000
REPORT_INTERVAL_MS: Millis = 1_000
# Small chunks and large bodies are parsed for at most a third of the time.
PAUSE_PER_PARSE = 2.0
MIN_PAUSE_S = 0.001


class ClientLimits(NamedTuple):
    """Limits on all clients of an instance together, and on one request."""

    connections: int
    held_bytes: int
    head_bytes: int = DEFAULT_HEAD_BYTES
    head_ms: Millis = DEFAULT_HEAD_MS
    body_ms: Millis = DEFAULT_BODY_MS


def derive_limits(
    memory_mb: int,
    file_descriptors: int,
    memory_percent: float = DEFAULT_MEMORY_PERCENT,
    head_bytes: int = DEFAULT_HEAD_BYTES,
    head_ms: Millis = DEFAULT_HEAD_MS,
    body_ms: Millis = DEFAULT_BODY_MS,
) -> ClientLimits:
    """Return the limits of an instance with this memory and these descriptors."""
    descriptors = file_descriptors - RESERVED_DESCRIPTORS
    return ClientLimits(
        max(int(descriptors * CLIENT_DESCRIPTOR_SHARE), MIN_CONNECTIONS),
        int(memory_mb * MB * memory_percent / 100),
        head_bytes,
        head_ms,
        body_ms,
    )


class Client(Protocol):
    """Connection of a client; the budget alone changes ``held_bytes``."""

    held_bytes: int

    def drop(self, failure: Failure) -> None:
        """Release what the connection holds, with ``failure`` as the answer."""
        ...


class Pausable(Protocol):
    """Connection that has stopped parsing its body."""

    def resume_parsing(self) -> None:
        """Parse some more of the body, unless the connection has closed."""
        ...


class ChunkPacer:
    """Lets one connection at a time parse small chunks, with pauses between."""

    def __init__(self) -> None:
        self._waiting: deque[Pausable] = deque()
        self._is_scheduled = False

    def add(self, conn: Pausable) -> None:
        """Let a paused connection go on when it is its turn."""
        self._waiting.append(conn)
        self._schedule(MIN_PAUSE_S)

    def _schedule(self, delay_s: float) -> None:
        if self._waiting and not self._is_scheduled:
            self._is_scheduled = True
            asyncio.get_running_loop().call_later(delay_s, self._resume_next)

    def _resume_next(self) -> None:
        loop = asyncio.get_running_loop()
        started_s = loop.time()
        self._waiting.popleft().resume_parsing()
        parse_s = loop.time() - started_s
        self._is_scheduled = False
        self._schedule(max(parse_s * PAUSE_PER_PARSE, MIN_PAUSE_S))


class ParsingTurns:
    """Lets one task at a time parse a large body, with pauses between."""

    def __init__(self) -> None:
        self._lock = asyncio.Lock()

    @asynccontextmanager
    async def turn(self, wait_ms: Millis) -> AsyncIterator[None]:
        """Wait for a turn; raise ``TimeoutError`` after ``wait_ms``."""
        async with asyncio.timeout(wait_ms / SECOND_MS):
            await self._lock.acquire()
        loop = asyncio.get_running_loop()
        started_s = loop.time()
        try:
            yield
        finally:
            pause_s = (loop.time() - started_s) * PAUSE_PER_PARSE
            loop.call_later(pause_s, self._lock.release)


class ClientBudget:
    """Memory and connections of an instance that its clients share.

    A client that can't go on without its peer (a head, a body or an answer is
    unfinished) is dropped first, the one that began earliest before the others; then
    idle connections. A request that is being served is never dropped.
    """

    def __init__(self, limits: ClientLimits, clock: Clock, log: EventLog) -> None:
        self.limits = limits
        self.pacer = ChunkPacer()
        self.connections = 0
        self.held_bytes = 0
        self.dropped: Counter[str] = Counter()
        self._reported: Counter[str] = Counter()
        self._clock = clock
        self._log = log
        self._clients: set[Client] = set()
        # By when each has to end, in the order in which they began.
        self._unfinished: dict[Client, Millis] = {}
        self._idle: dict[Client, None] = {}

    def open(self, client: Client, is_operator: bool = False) -> bool:
        """Add a connection; return whether there is room for it.

        Connections of operators have some room beyond the budget.
        """
        while (
            self.connections >= self.limits.connections
            or self.held_bytes + CONNECTION_BYTES > self.limits.held_bytes
        ):
            if self._drop_oldest("too many connections"):
                continue
            most = self.limits.connections + OPERATOR_CONNECTIONS
            if is_operator and self.connections < most:
                break
            self.dropped["refused"] += 1
            return False
        self._clients.add(client)
        self.connections += 1
        self._change_held(client, CONNECTION_BYTES)
        self._unfinished[client] = self._clock.now_ms() + SILENT_MS
        return True

    def close(self, client: Client) -> None:
        """Remove a connection; one that was removed before is ignored."""
        if client in self._clients:
            self._clients.discard(client)
            self.connections -= 1
            self._change_held(client, 0)
            self._unfinished.pop(client, None)
            self._idle.pop(client, None)

    def begin(self, client: Client, limit_ms: Millis) -> None:
        """Record that a head, a body or an answer has begun and is unfinished."""
        if client in self._clients:
            self._idle.pop(client, None)
            self._unfinished.pop(client, None)
            self._unfinished[client] = self._clock.now_ms() + limit_ms

    def serve(self, client: Client) -> None:
        """Record that a request is complete and is being served."""
        self._idle.pop(client, None)
        self._unfinished.pop(client, None)

    def rest(self, client: Client) -> None:
        """Record that a connection waits for its next request."""
        if client in self._clients:
            self._unfinished.pop(client, None)
            self._idle[client] = None
            self._change_held(client, CONNECTION_BYTES)

    def hold(self, client: Client, size: int) -> None:
        """Record the bytes that a client's request or answer holds."""
        if client not in self._clients:
            return
        self._change_held(client, CONNECTION_BYTES + size)
        while self.held_bytes > self.limits.held_bytes:
            if not self._drop_oldest("memory"):
                return

    def is_open(self, client: Client) -> bool:
        """Return whether a connection was added and neither closed nor dropped."""
        return client in self._clients

    def drop_unfinished(self) -> None:
        """Drop all unfinished clients, for the end of a planned stop."""
        while self._unfinished:
            self._drop(next(iter(self._unfinished)), "stopping", Code.DRAINING)

    async def run(self) -> None:
        """Drop late clients and report dropped ones, until cancelled."""
        while True:
            await self._clock.sleep_ms(REPORT_INTERVAL_MS)
            self._drop_late()
            self._report()

    def _drop_late(self) -> None:
        now_ms = self._clock.now_ms()
        late = [c for c, until_ms in self._unfinished.items() if until_ms < now_ms]
        for client in late:
            self._drop(client, "too slow", Code.REQUEST_TIMEOUT)

    def _report(self) -> None:
        if self.dropped != self._reported:
            self._log.emit(
                Event.CLIENTS_DROPPED,
                reasons=dict(self.dropped - self._reported),
                connections=self.connections,
                held_bytes=self.held_bytes,
            )
            self._reported = self.dropped.copy()

    def _drop_oldest(self, reason: str) -> bool:
        client = next(iter(self._unfinished), None) or next(iter(self._idle), None)
        if client is None:
            return False
        self._drop(client, reason, Code.CLIENT_DROPPED)
        return True

    def _drop(self, client: Client, reason: str, code: Code) -> None:
        self.close(client)
        self.dropped[reason] += 1
        client.drop(not_run(code, f"the connection was dropped: {reason}"))

    def _change_held(self, client: Client, size: int) -> None:
        self.held_bytes += size - client.held_bytes
        client.held_bytes = size

"""Memory and processor time of a full mesh of peer links on loopback."""

import asyncio
import gc
import time
import tracemalloc
from collections.abc import Sequence
from typing import Any

from benchmarks.slopes import Point, Slope
from benchmarks.state import session_row
from hyssopweir.clock import Clock
from hyssopweir.events import EventLog
from hyssopweir.peers import PeerLinks

LOCAL = "127.0.0.1"
TIMEOUT_S = 20.0
# Shards that one owner lists in a load notification.
OWNED_SHARDS = 34


class PeerMesh:
    """Peer links of instances in one process, each connected to every other."""

    def __init__(self, nodes: int) -> None:
        clock = Clock()
        self.rows: dict[str, Any] = {}
        self.received = 0
        self.all_received = asyncio.Event()
        self._expected = 0
        self.links = [
            PeerLinks(
                {"host": LOCAL, "port": 0},
                lambda n=n: f"session-{n}",
                lambda: self.rows,
                clock,
                EventLog(f"entry-{n}", "kista", clock),
            )
            for n in range(nodes)
        ]

    @property
    def connections(self) -> int:
        return len(self.links) * (len(self.links) - 1)

    async def open(self) -> None:
        for number, link in enumerate(self.links):
            await link.start()
            link.on_notification("load", self._receive)
            row = session_row(number)
            self.rows[f"session-{number}"] = {**row, "peer_port": link.port}
        end_s = time.monotonic() + TIMEOUT_S
        while not self._is_connected():
            if time.monotonic() > end_s:
                raise RuntimeError(
                    "the peer links did not connect within the time limit"
                )
            await asyncio.sleep(0.05)

    def _is_connected(self) -> bool:
        return all(
            link.connected(f"session-{n}")
            for number, link in enumerate(self.links)
            for n in range(len(self.links))
            if n != number
        )

    def expect(self, notifications: int) -> None:
        """Reset the count; ``all_received`` is set after this many notifications."""
        self.received, self._expected = 0, notifications
        self.all_received.clear()

    def _receive(self, session: str, params: Any) -> None:
        self.received += 1
        if self.received == self._expected:
            self.all_received.set()

    async def close(self) -> None:
        for link in self.links:
            await link.stop()


async def measure_mesh(
    counts: Sequence[int], notifications: int
) -> tuple[Slope, list[float]]:
    """Measure memory by connection, and processor time (us) of a notification."""
    points: list[Point] = []
    notification_us: list[float] = []
    for count in counts:
        gc.collect()
        tracemalloc.start()
        mesh = PeerMesh(count)
        await mesh.open()
        gc.collect()
        size = tracemalloc.get_traced_memory()[0]
        tracemalloc.stop()
        points.append(Point(mesh.connections, size, 0))
        notification_us.append(await _time_notifications(mesh, notifications))
        await mesh.close()
    return Slope("connection between instances, both ends", points), notification_us


async def _time_notifications(mesh: PeerMesh, notifications: int) -> float:
    load = {"free": 40, "queued": 0, "wait_ms": 0}
    params = {"shards": {f"kista/r{n}": load for n in range(OWNED_SHARDS)}}
    mesh.expect(notifications * (len(mesh.links) - 1))
    started_ns = time.process_time_ns()
    for _ in range(notifications):
        mesh.links[0].broadcast("load", params)
        await asyncio.sleep(0)
    async with asyncio.timeout(TIMEOUT_S):
        await mesh.all_received.wait()
    return (time.process_time_ns() - started_ns) / 1_000 / mesh.received

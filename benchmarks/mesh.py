"""Memory and processor time of the links between instances, on loopback."""

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
LIMIT_S = 20.0
# Shards of an owner in a load note.
SHARDS = 34


class Mesh:
    """Hold instances that are linked each with every other, in one process."""

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
            link.on_notification("load", self._note)
            row = session_row(number)
            self.rows[f"session-{number}"] = {**row, "peer_port": link.port}
        end_s = time.monotonic() + LIMIT_S
        while not self._is_linked():
            if time.monotonic() > end_s:
                raise RuntimeError("the links did not open")
            await asyncio.sleep(0.05)

    def _is_linked(self) -> bool:
        return all(
            link.connected(f"session-{n}")
            for number, link in enumerate(self.links)
            for n in range(len(self.links))
            if n != number
        )

    def expect(self, notes: int) -> None:
        """Set ``all_received`` after this number of notes."""
        self.received, self._expected = 0, notes
        self.all_received.clear()

    def _note(self, session: str, params: Any) -> None:
        self.received += 1
        if self.received == self._expected:
            self.all_received.set()

    async def close(self) -> None:
        for link in self.links:
            await link.stop()


async def measure_mesh(counts: Sequence[int], notes: int) -> tuple[Slope, list[float]]:
    """Measure memory by connection, and the time of a note from end to end (us)."""
    points: list[Point] = []
    note_us: list[float] = []
    for count in counts:
        gc.collect()
        tracemalloc.start()
        mesh = Mesh(count)
        await mesh.open()
        gc.collect()
        size = tracemalloc.get_traced_memory()[0]
        tracemalloc.stop()
        points.append(Point(mesh.connections, size, 0))
        note_us.append(await _time_notes(mesh, notes))
        await mesh.close()
    return Slope("connection between instances, both ends", points), note_us


async def _time_notes(mesh: Mesh, notes: int) -> float:
    load = {"free": 40, "queued": 0, "wait_ms": 0}
    params = {"shards": {f"kista/r{n}": load for n in range(SHARDS)}}
    mesh.expect(notes * (len(mesh.links) - 1))
    started_ns = time.process_time_ns()
    for _ in range(notes):
        mesh.links[0].broadcast("load", params)
        await asyncio.sleep(0)
    async with asyncio.timeout(LIMIT_S):
        await mesh.all_received.wait()
    return (time.process_time_ns() - started_ns) / 1_000 / mesh.received

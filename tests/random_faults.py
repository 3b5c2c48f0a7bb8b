"""Seeded faults on a ``System``, each injected for a while and healed again."""

import asyncio
import random
from collections.abc import Awaitable, Callable

from hyssopweir.clock import Millis
from hyssopweir.fleet import ListedWorker

from .system import Node, System
from .virtual_processes import outside

LIST_LAG_MS: Millis = 1_500
WORKER_ENDS_MS: Millis = 9_000
# Some runs let the system recover between faults, others hardly do.
PAUSES_MS = ((200, 1_500, 4_000, 8_000), (50, 400, 1_500))


class Faults:
    """Inject faults at random; ``heal`` ends them all."""

    def __init__(self, system: System) -> None:
        self.system = system
        self.rng = random.Random(f"faults {system.seed}")
        self.history: list[str] = []
        self.problems: list[str] = []
        self._pauses_ms = self.rng.choice(PAUSES_MS)
        self._active: set[asyncio.Task[None]] = set()
        self._is_healing = asyncio.Event()
        self._restarts: dict[str, int] = {}
        self._down_workers: set[str] = set()
        self.kinds: list[Callable[[], Awaitable[None]]] = [
            self.kill_node,
            self.freeze_node,
            self.stop_node,
            self.table_down,
            self.writes_down,
            self.table_slow,
            self.replies_lost,
            self.kill_worker,
            self.freeze_worker,
            self.leave_worker,
            self.fail_worker,
            self.cut_peers,
            self.cut_worker,
            self.objects_down,
            self.list_down,
            self.clock_jump,
        ]

    async def run(self, until_ms: Millis) -> None:
        """Inject faults, often several at once, until the time ``until_ms``."""
        clock = self.system.clock
        while clock.now_ms() < until_ms:
            for _ in range(self.rng.choice((1, 1, 2, 3))):
                self.inject(self.rng.choice(self.kinds))
            await clock.sleep_ms(self.rng.choice(self._pauses_ms))

    def inject(self, fault: Callable[[], Awaitable[None]]) -> None:
        task = asyncio.ensure_future(self._guarded(fault))
        self._active.add(task)
        task.add_done_callback(self._active.discard)

    async def _guarded(self, fault: Callable[[], Awaitable[None]]) -> None:
        await fault()

    async def heal(self) -> None:
        """End all faults and wait until what has ended has been replaced."""
        self._is_healing.set()
        while self._active:
            done, _ = await asyncio.wait(list(self._active))
            for task in done:
                task.result()
        self.note("healed")

    async def watch(self) -> None:
        """Note for ever at which instances a fault may delay something."""
        while True:
            for node in self.system.nodes:
                if self._is_disturbed(node):
                    node.disturbed_ms = self.system.clock.now_ms()
            await self.system.clock.sleep_ms(50)

    def _is_disturbed(self, node: Node) -> bool:
        return (
            node.table.is_disturbed
            or not node.process.is_running
            or node.is_stopping
            or node.parts.configuration.version == 0
        )

    def note(self, text: str) -> None:
        self.history.append(f"{self.system.clock.now_ms() - 1_000_000}: {text}")

    async def _last(self, *choices_ms: Millis) -> None:
        """Wait for a random time, or until all faults are to end."""
        delay_s = self.rng.choice(choices_ms) / 1_000
        try:
            async with asyncio.timeout(delay_s):
                await self._is_healing.wait()
        except TimeoutError:
            return

    def _node(self) -> Node | None:
        return self.rng.choice(self.system.nodes) if self.system.nodes else None

    async def kill_node(self) -> None:
        node = self._node()
        if node is None:
            return
        self.note(f"kill {node.process.name}")
        self.system.end_node(node)
        await self._last(50, 1_000, 3_000, 9_000)
        self._replace(node)

    def _replace(self, node: Node) -> None:
        name = node.process.name
        if any(other.process.name == name for other in self.system.nodes):
            return
        self.note(f"start {name}")
        self.system.start_node(name, node.data_centre)

    async def freeze_node(self) -> None:
        node = self._node()
        if node is None:
            return
        self.note(f"freeze {node.process.name}")
        node.process.freeze()
        await self._last(300, 2_500, 4_500, 7_000, 12_000)
        node.process.resume()
        self.note(f"resume {node.process.name}")

    async def stop_node(self) -> None:
        node = self._node()
        if node is None or node.is_stopping or len(self.system.nodes) < 2:
            return
        self.note(f"stop {node.process.name}")
        node.is_stopping = True
        stopping = node.process.spawn(node.stop())
        died = asyncio.ensure_future(node.process.died.wait())
        await asyncio.wait([stopping, died], return_when=asyncio.FIRST_COMPLETED)
        died.cancel()
        if stopping.done() and node.outstanding:
            name, left = node.process.name, node.outstanding
            self.problems.append(f"the stop of {name} cut off {left} requests")
        if node in self.system.nodes:
            self.system.end_node(node)
            self.note(f"stopped {node.process.name}")
        await self._last(50, 2_000)
        self._replace(node)

    def _some_nodes(self) -> list[Node]:
        nodes = list(self.system.nodes)
        return nodes if self.rng.random() < 0.6 else nodes[:1]

    async def _fault_table(
        self, text: str, set_fault: Callable[[Node, bool], None]
    ) -> None:
        nodes = self._some_nodes()
        self.note(f"{text} at {[node.process.name for node in nodes]}")
        for node in nodes:
            set_fault(node, True)
        await self._last(500, 3_000, 6_000, 15_000)
        self.note(f"{text} ended")
        for node in nodes:
            set_fault(node, False)

    async def table_down(self) -> None:
        def down(node: Node, on: bool) -> None:
            node.table.down = on

        await self._fault_table("table down", down)

    async def writes_down(self) -> None:
        def down(node: Node, on: bool) -> None:
            node.table.writes_down = on

        await self._fault_table("writes down", down)

    async def table_slow(self) -> None:
        slowest_ms = self.rng.choice((100, 700, 2_500))

        def slow(node: Node, on: bool) -> None:
            node.table.slowest_ms = slowest_ms if on else 0

        await self._fault_table(f"table slow ({slowest_ms} ms)", slow)

    async def replies_lost(self) -> None:
        share = self.rng.choice((0.1, 0.5, 1.0))

        def lose(node: Node, on: bool) -> None:
            node.table.lost_reply_share = share if on else 0.0

        await self._fault_table(f"replies lost ({share})", lose)

    async def objects_down(self) -> None:
        node = self._node()
        if node is not None:
            self.note(f"object store down at {node.process.name}")
            node.objects.down = True
            await self._last(500, 6_000)
            node.objects.down = False

    async def list_down(self) -> None:
        # In a longer outage of the list a leaving worker is offered work later than 3 s
        # after it is listed, and only its refusal protects it (2.7).
        node = self._node()
        if node is not None:
            self.note(f"instance list down at {node.process.name}")
            node.listing.down = True
            await self._last(300, 2_000)
            node.listing.down = False

    async def clock_jump(self) -> None:
        node = self._node()
        if node is not None:
            self.note(f"the wall clock of {node.process.name} jumps")
            node.clock.skew_ms = self.rng.randint(-3_600_000, 3_600_000)

    def _worker(self) -> str | None:
        """Choose a worker on which no other such fault acts, and reserve it."""
        free = sorted(self.system.listings.keys() - self._down_workers)
        if not free:
            return None
        worker_id = self.rng.choice(free)
        self._down_workers.add(worker_id)
        return worker_id

    async def kill_worker(self) -> None:
        worker_id = self._worker()
        if worker_id is None:
            return
        self.note(f"kill {worker_id}")
        self.system.fleet.kill(worker_id)
        await self._last(20, 1_500, 10_000)
        self.note(f"restart {worker_id}")
        self.system.start_worker(self.system.listings[worker_id].worker)
        self._down_workers.discard(worker_id)

    async def freeze_worker(self) -> None:
        worker_id = self._worker()
        if worker_id is None:
            return
        self.note(f"freeze {worker_id}")
        self.system.fleet.freeze(worker_id)
        await self._last(300, 3_000, 20_000)
        self.system.fleet.resume(worker_id)
        self.note(f"resume {worker_id}")
        self._down_workers.discard(worker_id)

    async def leave_worker(self) -> None:
        """Let a worker leave, end, disappear from the list and come back."""
        worker_id = self._worker()
        if worker_id is None:
            return
        machine = self.system.listings[worker_id].worker
        self.note(f"leave {worker_id}")
        self.system.fleet.workers[worker_id].leave(LIST_LAG_MS)
        await self.system.clock.sleep_ms(LIST_LAG_MS)
        self.system.listings[worker_id] = ListedWorker(machine, leaving=True)
        await self._last(WORKER_ENDS_MS)
        self.note(f"end {worker_id}")
        self.system.fleet.kill(worker_id)
        await self.system.clock.sleep_ms(LIST_LAG_MS)
        del self.system.listings[worker_id]
        await self._last(1_000, 25_000)
        self.system.start_worker(machine)
        self.system.listings[worker_id] = ListedWorker(machine, leaving=False)
        self.note(f"start {worker_id}")
        self._down_workers.discard(worker_id)

    async def fail_worker(self) -> None:
        worker_id = self._worker()
        if worker_id is None:
            return
        self.note(f"{worker_id} fails everything")
        worker = self.system.fleet.workers[worker_id]
        worker.fails_everything = True
        await self._last(2_000, 8_000)
        worker.fails_everything = False
        self._down_workers.discard(worker_id)

    async def cut_peers(self) -> None:
        nodes = self.system.nodes
        if len(nodes) < 2:
            return
        source, target = (node.process.name for node in self.rng.sample(nodes, 2))
        self.note(f"cut {source} to {target}")
        self.system.cut_link(source, target)
        await self._last(100, 2_000, 10_000)
        self.system.cut.discard((source, target))

    async def cut_worker(self) -> None:
        node = self._node()
        if node is None:
            return
        worker_id = self.rng.choice(sorted(self.system.listings))
        cut = self.rng.choice((node.client.cut, node.client.cut_replies))
        self.note(f"cut {node.process.name} and {worker_id}")
        cut.add(worker_id)
        await self._last(300, 4_000, 20_000)
        cut.discard(worker_id)


def start_watch(faults: Faults) -> None:
    outside(faults.watch())

"""Seeded random faults of a ``System``, each of which ends after a random time."""

import asyncio
import random
from collections.abc import Awaitable, Callable

from hyssopweir.clock import Millis
from hyssopweir.fleet import ListedWorker

from .system import Node, System
from .virtual_processes import spawn_outside_processes

LIST_LAG_MS: Millis = 1_500
WORKER_SHUTDOWN_MS: Millis = 9_000
# The long pauses of the first choice let the system recover between faults; those of
# the second choice rarely do.
PAUSES_MS = ((200, 1_500, 4_000, 8_000), (50, 400, 1_500))


class Faults:
    """Random fault injection; ``heal`` ends all faults."""

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
        task = asyncio.ensure_future(self._run_fault(fault))
        self._active.add(task)
        task.add_done_callback(self._active.discard)

    async def _run_fault(self, fault: Callable[[], Awaitable[None]]) -> None:
        await fault()

    async def heal(self) -> None:
        """End all faults and wait until killed instances and workers are replaced."""
        self._is_healing.set()
        while self._active:
            done, _ = await asyncio.wait(list(self._active))
            for task in done:
                task.result()
        self.record("healed")

    async def track_affected_nodes(self) -> None:
        """Record continually which instances a fault may delay."""
        while True:
            for node in self.system.nodes:
                if self._is_affected(node):
                    node.last_affected_ms = self.system.clock.now_ms()
            await self.system.clock.sleep_ms(50)

    def _is_affected(self, node: Node) -> bool:
        return (
            node.table.has_fault
            or not node.process.is_running
            or node.is_stopping
            or node.parts.configuration.version == 0
        )

    def record(self, text: str) -> None:
        self.history.append(f"{self.system.clock.now_ms() - 1_000_000}: {text}")

    async def _wait_for_end(self, *choices_ms: Millis) -> None:
        """Wait for one of the given times, or until ``heal`` ends all faults."""
        delay_s = self.rng.choice(choices_ms) / 1_000
        try:
            async with asyncio.timeout(delay_s):
                await self._is_healing.wait()
        except TimeoutError:
            return

    def _random_node(self) -> Node | None:
        return self.rng.choice(self.system.nodes) if self.system.nodes else None

    async def kill_node(self) -> None:
        node = self._random_node()
        if node is None:
            return
        self.record(f"kill {node.process.name}")
        self.system.end_node(node)
        await self._wait_for_end(50, 1_000, 3_000, 9_000)
        self._restart_node(node)

    def _restart_node(self, node: Node) -> None:
        name = node.process.name
        if any(other.process.name == name for other in self.system.nodes):
            return
        self.record(f"start {name}")
        self.system.start_node(name, node.data_centre)

    async def freeze_node(self) -> None:
        node = self._random_node()
        if node is None:
            return
        self.record(f"freeze {node.process.name}")
        node.process.freeze()
        await self._wait_for_end(300, 2_500, 4_500, 7_000, 12_000)
        node.process.resume()
        self.record(f"resume {node.process.name}")

    async def stop_node(self) -> None:
        node = self._random_node()
        if node is None or node.is_stopping or len(self.system.nodes) < 2:
            return
        self.record(f"stop {node.process.name}")
        node.is_stopping = True
        stopping = node.process.spawn(node.stop())
        killed = asyncio.ensure_future(node.process.killed.wait())
        await asyncio.wait([stopping, killed], return_when=asyncio.FIRST_COMPLETED)
        killed.cancel()
        if stopping.done() and node.outstanding:
            name, remaining = node.process.name, node.outstanding
            self.problems.append(
                f"the graceful shutdown of {name} aborted {remaining} requests"
            )
        if node in self.system.nodes:
            self.system.end_node(node)
            self.record(f"stopped {node.process.name}")
        await self._wait_for_end(50, 2_000)
        self._restart_node(node)

    def _choose_nodes(self) -> list[Node]:
        nodes = list(self.system.nodes)
        return nodes if self.rng.random() < 0.6 else nodes[:1]

    async def _fault_table(
        self, text: str, set_fault: Callable[[Node, bool], None]
    ) -> None:
        nodes = self._choose_nodes()
        self.record(f"{text} at {[node.process.name for node in nodes]}")
        for node in nodes:
            set_fault(node, True)
        await self._wait_for_end(500, 3_000, 6_000, 15_000)
        self.record(f"end of: {text}")
        for node in nodes:
            set_fault(node, False)

    async def table_down(self) -> None:
        def set_down(node: Node, is_active: bool) -> None:
            node.table.down = is_active

        await self._fault_table("table down", set_down)

    async def writes_down(self) -> None:
        def set_down(node: Node, is_active: bool) -> None:
            node.table.writes_down = is_active

        await self._fault_table("table writes down", set_down)

    async def table_slow(self) -> None:
        slowest_ms = self.rng.choice((100, 700, 2_500))

        def set_slow(node: Node, is_active: bool) -> None:
            node.table.max_delay_ms = slowest_ms if is_active else 0

        await self._fault_table(f"table slow ({slowest_ms} ms)", set_slow)

    async def replies_lost(self) -> None:
        share = self.rng.choice((0.1, 0.5, 1.0))

        def set_loss(node: Node, is_active: bool) -> None:
            node.table.lost_reply_share = share if is_active else 0.0

        await self._fault_table(f"table replies lost (share {share})", set_loss)

    async def objects_down(self) -> None:
        node = self._random_node()
        if node is not None:
            self.record(f"object store down at {node.process.name}")
            node.objects.down = True
            await self._wait_for_end(500, 6_000)
            node.objects.down = False

    async def list_down(self) -> None:
        # In a longer outage of the list a leaving worker would be sent tasks more than
        # 3 s after it is listed as leaving, and only its rejection of them would
        # protect it (2.7).
        node = self._random_node()
        if node is not None:
            self.record(f"instance list down at {node.process.name}")
            node.listing.down = True
            await self._wait_for_end(300, 2_000)
            node.listing.down = False

    async def clock_jump(self) -> None:
        node = self._random_node()
        if node is not None:
            self.record(f"the wall clock of {node.process.name} jumps")
            node.clock.skew_ms = self.rng.randint(-3_600_000, 3_600_000)

    def _reserve_worker(self) -> str | None:
        """Choose a worker without a fault of its process, and reserve it."""
        available = sorted(self.system.listings.keys() - self._down_workers)
        if not available:
            return None
        worker_id = self.rng.choice(available)
        self._down_workers.add(worker_id)
        return worker_id

    async def kill_worker(self) -> None:
        worker_id = self._reserve_worker()
        if worker_id is None:
            return
        self.record(f"kill {worker_id}")
        self.system.fleet.kill(worker_id)
        await self._wait_for_end(20, 1_500, 10_000)
        self.record(f"restart {worker_id}")
        self.system.start_worker(self.system.listings[worker_id].worker)
        self._down_workers.discard(worker_id)

    async def freeze_worker(self) -> None:
        worker_id = self._reserve_worker()
        if worker_id is None:
            return
        self.record(f"freeze {worker_id}")
        self.system.fleet.freeze(worker_id)
        await self._wait_for_end(300, 3_000, 20_000)
        self.system.fleet.resume(worker_id)
        self.record(f"resume {worker_id}")
        self._down_workers.discard(worker_id)

    async def leave_worker(self) -> None:
        """Let a worker leave, stop, disappear from the list and start again."""
        worker_id = self._reserve_worker()
        if worker_id is None:
            return
        listed_worker = self.system.listings[worker_id].worker
        self.record(f"leave {worker_id}")
        self.system.fleet.workers[worker_id].leave(LIST_LAG_MS)
        await self.system.clock.sleep_ms(LIST_LAG_MS)
        self.system.listings[worker_id] = ListedWorker(listed_worker, leaving=True)
        await self._wait_for_end(WORKER_SHUTDOWN_MS)
        self.record(f"stop {worker_id}")
        self.system.fleet.kill(worker_id)
        await self.system.clock.sleep_ms(LIST_LAG_MS)
        del self.system.listings[worker_id]
        await self._wait_for_end(1_000, 25_000)
        self.system.start_worker(listed_worker)
        self.system.listings[worker_id] = ListedWorker(listed_worker, leaving=False)
        self.record(f"start {worker_id}")
        self._down_workers.discard(worker_id)

    async def fail_worker(self) -> None:
        worker_id = self._reserve_worker()
        if worker_id is None:
            return
        self.record(f"{worker_id} fails everything")
        worker = self.system.fleet.workers[worker_id]
        worker.fails_everything = True
        await self._wait_for_end(2_000, 8_000)
        worker.fails_everything = False
        self._down_workers.discard(worker_id)

    async def cut_peers(self) -> None:
        nodes = self.system.nodes
        if len(nodes) < 2:
            return
        source, target = (node.process.name for node in self.rng.sample(nodes, 2))
        self.record(f"cut link {source} to {target}")
        self.system.cut_link(source, target)
        await self._wait_for_end(100, 2_000, 10_000)
        self.system.cut.discard((source, target))

    async def cut_worker(self) -> None:
        node = self._random_node()
        if node is None:
            return
        worker_id = self.rng.choice(sorted(self.system.listings))
        cut = self.rng.choice((node.client.cut, node.client.cut_replies))
        self.record(f"cut link of {node.process.name} and {worker_id}")
        cut.add(worker_id)
        await self._wait_for_end(300, 4_000, 20_000)
        cut.discard(worker_id)


def start_tracking_affected_nodes(faults: Faults) -> None:
    spawn_outside_processes(faults.track_affected_nodes())

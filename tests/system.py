"""Complete instances in simulated processes, with faults of platform and links."""

import asyncio
import random
from collections import defaultdict
from collections.abc import Awaitable, Callable, Sequence
from contextvars import Context
from functools import partial
from typing import Any, TypeVar

import cbor2
from mode import Service
from result import Err, Result

from hyssopweir.clock import Millis
from hyssopweir.codes import Code, Failure, not_run, unknown
from hyssopweir.contracts import Answer, Request
from hyssopweir.events import Event, EventRecord
from hyssopweir.fleet import ListedWorker, Worker
from hyssopweir.instance import Adapters, Instance, InstanceComponents
from hyssopweir.peers import Handler, NotificationHandler, Params, PeerNetwork
from hyssopweir.standin_table import StandinTable
from hyssopweir.standin_workers import StandinRun, StandinWorker
from hyssopweir.table import Operation, Page, Row
from hyssopweir.worker_client import RequestRun, RunState

from .builders import build_listings, build_settings, build_worker
from .fakes import (
    CALL_TIMEOUT_MS,
    SERVICE_DOWN,
    FakeFleet,
    FakeInstanceList,
    FakeObjectStore,
    FakeTableService,
    FakeWorkerClient,
)
from .virtual_processes import Process, ProcessClock, spawn_outside_processes
from .virtual_time import VirtualClock

T = TypeVar("T")

SERVICE_MS = {
    "price-check": 20,
    "banquet-offer": 60,
    "slow-offer": 900,
    "price-report": 2_500,
}
DATA_CENTRES = ("kista", "huddinge", "arlanda")
STORE_TIMEOUT_MS: Millis = 1_000
# Share of the calls that are delivered twice, and the longest delay of the second
# delivery.
DUPLICATE_SHARE = 0.02
MAX_DUPLICATE_DELAY_MS: Millis = 3_000
# A stopping instance accepts requests for 3 s more; by then the load balancer sends it
# none.
BALANCER_LAG_MS: Millis = 2_900
NEVER_MS: Millis = 10**12
COMMIT_TIMED_OUT = unknown(Code.STORE_OUTCOME_UNKNOWN, "no answer in time")


class SystemTable(FakeTableService):
    """Table client whose calls, once sent, do not depend on the calling process.

    A call continues when its process is frozen or dead, or when it has timed out.
    """

    def __init__(self, system: "System", seed: int) -> None:
        super().__init__(system.table, system.clock, seed)
        self.max_delay_ms: Millis = 0
        self._rng = random.Random(seed)

    @property
    def has_fault(self) -> bool:
        share = self.lost_reply_share
        return self.down or self.writes_down or self.max_delay_ms > 0 or share > 0

    async def read(self, key: str) -> Result[Row | None, Failure]:
        return await self._call_with_timeout(partial(super().read, key), SERVICE_DOWN)

    async def scan(
        self, prefix: str, after: str = "", limit: int = 1_000
    ) -> Result[Page, Failure]:
        return await self._call_with_timeout(
            partial(super().scan, prefix, after, limit), SERVICE_DOWN
        )

    async def commit(
        self, operations: Sequence[Operation], transaction: str
    ) -> Result[dict[str, int], Failure]:
        start_call = partial(super().commit, operations, transaction)
        return await self._call_with_timeout(start_call, COMMIT_TIMED_OUT)

    async def _call_with_timeout(
        self,
        start_call: Callable[[], Awaitable[Result[T, Failure]]],
        timeout_failure: Failure,
    ) -> Result[T, Failure]:
        call = spawn_outside_processes(self._call_with_delay(start_call))
        done, _ = await asyncio.wait({call}, timeout=STORE_TIMEOUT_MS / 1_000)
        return call.result() if done else Err(timeout_failure)

    async def _call_with_delay(
        self,
        start_call: Callable[[], Awaitable[Result[T, Failure]]],
    ) -> Result[T, Failure]:
        await self._clock.sleep_ms(self._rng.randint(0, self.max_delay_ms))
        reply = await start_call()
        await self._clock.sleep_ms(self._rng.randint(0, self.max_delay_ms))
        return reply


class SystemWorker(StandinWorker):
    """Worker that records executed requests, done task runs and runs lost by a kill."""

    system: "System"

    def kill(self) -> None:
        """Lose all runs, including ended runs that no owner may have recorded yet."""
        self.system.lost_runs.update(self._runs)
        super().kill()

    def _end(self, run: StandinRun, state: RunState) -> None:
        if run.is_task and state is RunState.DONE and run.state is RunState.RUNNING:
            task_id = run.run_id.rpartition("#")[0]
            self.system.done_runs[task_id].append(run.run_id)
        super()._end(run, state)

    async def _serve(self, run: StandinRun, req: RequestRun) -> None:
        self.system.ran[req.request_id].append(run.run_id)
        await super()._serve(run, req)


class SystemWorkerClient(FakeWorkerClient):
    """Worker client with partitions in one direction and duplicated calls.

    ``cut`` blocks calls and ``cut_replies`` loses the replies. The second delivery of a
    duplicated call comes up to ``MAX_DUPLICATE_DELAY_MS`` late.
    """

    def __init__(self, system: "System") -> None:
        super().__init__(system.fleet, system.clock)
        self.cut_replies: set[str] = set()
        self._rng = random.Random(f"duplicates {system.seed}")

    async def _call(
        self,
        worker: Worker,
        operation: Callable[[StandinWorker], Awaitable[Result[T, Failure]]],
        timeout_ms: Millis = CALL_TIMEOUT_MS,
    ) -> Result[T, Failure]:
        worker_id = worker.worker_id
        if worker_id in self.fleet.dead or worker_id in self.cut:
            await self._clock.sleep_ms(self.latency_ms)
            return Err(not_run(Code.WORKER_UNREACHABLE, "connection refused"))
        target = self.fleet.workers[worker_id]
        call = spawn_outside_processes(self._deliver_to(target, operation))
        if self._rng.random() < DUPLICATE_SHARE:
            spawn_outside_processes(self._deliver_again(target, operation))
        done, _ = await asyncio.wait({call}, timeout=timeout_ms / 1_000)
        if not done:
            return Err(unknown(Code.WORKER_UNREACHABLE, "no answer from the worker"))
        return call.result()

    async def _deliver_again(
        self,
        target: StandinWorker,
        operation: Callable[[StandinWorker], Awaitable[Result[T, Failure]]],
    ) -> None:
        await self._clock.sleep_ms(self._rng.randint(0, MAX_DUPLICATE_DELAY_MS))
        await self._deliver_to(target, operation)

    async def _deliver_to(
        self,
        target: StandinWorker,
        operation: Callable[[StandinWorker], Awaitable[Result[T, Failure]]],
    ) -> Result[T, Failure]:
        worker_id = target.worker.worker_id
        await self._clock.sleep_ms(self.latency_ms)
        while (frozen := self.fleet.frozen.get(worker_id)) is not None:
            await frozen.wait()
        if worker_id in self.fleet.dead or self.fleet.workers[worker_id] is not target:
            return Err(unknown(Code.WORKER_UNREACHABLE, "the worker has ended"))
        reply = await operation(target)
        await self._clock.sleep_ms(self.latency_ms)
        is_same = self.fleet.workers[worker_id] is target
        if worker_id in self.fleet.dead or not is_same:
            return Err(unknown(Code.WORKER_UNREACHABLE, "the worker has ended"))
        if worker_id in self.cut_replies:
            await asyncio.Event().wait()
        return reply


class SystemPeers(PeerNetwork):
    """``PeerNetwork`` of one instance, over the simulated links of a ``System``."""

    def __init__(
        self, system: "System", node: "Node", parts: InstanceComponents
    ) -> None:
        self._system = system
        self._node = node
        self._parts = parts
        self.handlers: dict[str, Handler] = {}
        self.notification_handlers: dict[str, list[NotificationHandler]] = defaultdict(
            list
        )

    def register(self, method: str, handler: Handler) -> None:
        self.handlers[method] = handler

    def on_notification(self, topic: str, handler: NotificationHandler) -> None:
        self.notification_handlers[topic].append(handler)

    def connected(self, session: str) -> bool:
        return self._find_reachable_node(session) is not None

    async def call(
        self, session: str, method: str, params: Params, expires_ms: Millis
    ) -> Result[Params, Failure]:
        target = self._find_reachable_node(session)
        if target is None:
            return Err(not_run(Code.PEER_UNREACHABLE, "no link to the peer"))
        timeout_ms = expires_ms - self._node.clock.now_ms()
        if timeout_ms <= 0:
            return Err(not_run(Code.DEADLINE_EXCEEDED, "no time left for the call"))
        frame = cbor2.dumps(params)
        delivery = spawn_outside_processes(
            self._system.deliver_call(self._node, target, method, frame, timeout_ms)
        )
        try:
            done, _ = await asyncio.wait({delivery}, timeout=timeout_ms / 1_000)
        except asyncio.CancelledError:
            delivery.cancel()
            raise
        if not done:
            delivery.cancel()
            return Err(unknown(Code.DEADLINE_EXCEEDED, "no answer from the peer"))
        return delivery.result()

    def notify(self, session: str, topic: str, params: Params) -> None:
        target = self._find_reachable_node(session)
        if target is not None:
            frame, own_session = cbor2.dumps(params), self._parts.membership.session
            self._system.send_notification(
                self._node, target, own_session, topic, frame
            )

    def broadcast(self, topic: str, params: Params) -> None:
        for node in self._system.nodes:
            if node is not self._node:
                self.notify(node.session, topic, params)

    def _find_reachable_node(self, session: str) -> "Node | None":
        if session not in self._parts.membership.live():
            return None
        node = self._system.find_node(session)
        if node is None or not self._system.reaches(self._node, node):
            return None
        return node


class SystemEntry(Service):
    """Replacement of the HTTP server; callers use ``Node.serve`` instead."""

    requests_in_progress = 0
    port = 0


class SystemInstance(Instance):
    """Instance with all its components, but without sockets."""

    def __init__(self, system: "System", node: "Node", adapters: Adapters) -> None:
        self._system = system
        self._node = node
        name, data_centre = node.process.name, node.data_centre
        link_ms = {other: 3 for other in DATA_CENTRES if other != data_centre}
        cfg = build_settings(
            instance=name,
            data_centre=data_centre,
            links=link_ms,
            limits={"latency_reserve_slots": 1},
        )
        super().__init__(cfg, adapters, node.clock)
        self.entry = SystemEntry()  # type: ignore[assignment]

    def _create_peer_links(self, parts: InstanceComponents) -> PeerNetwork:
        self._node.peers = SystemPeers(self._system, self._node, parts)
        return self._node.peers


class Node:
    """One entry instance with its process, clock and adapters."""

    peers: SystemPeers

    def __init__(self, system: "System", name: str, data_centre: str) -> None:
        rng = system.rng
        self.data_centre = data_centre
        self.process = Process(name)
        self.clock = ProcessClock(rng.randint(0, 10**6), rng.randint(-60_000, 60_000))
        self.table = SystemTable(system, rng.randint(0, 10**9))
        self.client = SystemWorkerClient(system)
        self.listing = FakeInstanceList([])
        self.is_stopping = False
        self.accepts_until_ms = NEVER_MS
        self.outstanding = 0
        # Last time at which a fault could delay this instance.
        self.last_affected_ms = system.clock.now_ms() + 10_000
        # Events of invariant breaches, failed background tasks and configuration
        # versions that did not increase.
        self.failures: list[EventRecord] = []
        self.newest_version = 0
        self._system = system
        self._request_count = 0
        self.objects = FakeObjectStore()
        self.objects.objects = system.objects
        adapters = Adapters(self.table, self.objects, self, self.client)
        self.instance = SystemInstance(system, self, adapters)
        self.instance.events.subscribe(self._record_event)
        self.process.spawn(self.instance.start())

    @property
    def parts(self) -> InstanceComponents:
        return self.instance.parts

    @property
    def session(self) -> str:
        return self.parts.membership.session

    async def read(self) -> Result[list[ListedWorker], Failure]:
        """Return the instance list of the platform as this instance sees it."""
        self.listing.listings = list(self._system.listings.values())
        return await self.listing.read()

    def accepts(self) -> bool:
        """Return whether the load balancer may still send requests here."""
        now_ms = self._system.clock.now_ms()
        return not self.process.is_dead and now_ms < self.accepts_until_ms

    async def serve(
        self, service: str, body: bytes, key: str | None, timeout_ms: Millis
    ) -> tuple[str, Result[Answer, Failure]]:
        """Handle a request as the HTTP server does; return its id and the reply."""
        entry, parts = self.instance.entry, self.parts
        entry.requests_in_progress += 1
        self._request_count += 1
        request_id = f"{self.session}.{self._request_count}"
        try:
            refusal = parts.readiness.refusal()
            if refusal is not None:
                return request_id, Err(refusal)
            expires_ms = self.clock.now_ms() + timeout_ms
            req = Request(
                request_id, "planner", service, body, False, key, False, expires_ms
            )
            return request_id, await parts.forwarder.handle(req)
        finally:
            entry.requests_in_progress -= 1

    async def stop(self) -> None:
        """Shut the instance down gracefully."""
        self.accepts_until_ms = self._system.clock.now_ms() + BALANCER_LAG_MS
        await self.instance.drain()
        await self.instance.stop()

    def _record_event(self, record: EventRecord) -> None:
        if record.event in (Event.INVARIANT_BREACH, Event.BACKGROUND_TASK_FAILED):
            self.failures.append(record)
        if record.event is Event.CONFIGURATION_IN_FORCE:
            if record.fields["version"] <= self.newest_version:
                self.failures.append(record)
            self.newest_version = record.fields["version"]
        # A cancelled task whose worker does not answer also ends with its lease.
        is_lease_expired = "the lease of run" in str(record.fields.get("why"))
        if record.event is Event.TASK_LAPSED or is_lease_expired:
            run_id = f"{record.fields['task']}#{record.fields['run']}"
            self._system.lapsed_runs.add(run_id)


class System:
    """Simulation of several instances, their workers, the platform and all links."""

    def __init__(self, seed: int, racks: int = 2, workers_per_rack: int = 2) -> None:
        self.seed = seed
        self.rng = random.Random(f"system {seed}")
        self.clock = VirtualClock()
        self.table = StandinTable()
        self.objects: dict[str, bytes] = {}
        self.ran: dict[str, list[str]] = defaultdict(list)
        self.done_runs: dict[str, list[str]] = defaultdict(list)
        self.lost_runs: set[str] = set()
        self.lapsed_runs: set[str] = set()
        workers = [
            build_worker(rack * 8 + number, data_centre, slots=4, port=9_100)
            for data_centre in DATA_CENTRES
            for rack in range(racks)
            for number in range(workers_per_rack)
        ]
        self.fleet = FakeFleet([], self.clock)
        self.listings = {
            item.worker.worker_id: item for item in build_listings(workers)
        }
        for worker in workers:
            self.start_worker(worker)
        self.nodes: list[Node] = []
        self.ended: list[Node] = []
        self.cut: set[tuple[str, str]] = set()
        self.cut_changed = asyncio.Event()
        self.notification_fault_share = 0.02

    def start_worker(self, listed_worker: Worker) -> None:
        """Start a worker process; it replaces an earlier one of the same worker."""
        worker = SystemWorker(listed_worker, self.clock, self.fleet.audit)
        worker.system = self
        worker.service_ms = SERVICE_MS
        self.fleet.workers[listed_worker.worker_id] = worker
        self.fleet.dead.discard(listed_worker.worker_id)

    def start_node(self, name: str, data_centre: str) -> Node:
        node = Node(self, name, data_centre)
        self.nodes.append(node)
        return node

    def end_node(self, node: Node) -> None:
        node.process.kill()
        if node in self.nodes:
            self.nodes.remove(node)
            self.ended.append(node)

    def find_node(self, session: str) -> Node | None:
        matching_nodes = (node for node in self.nodes if node.session == session)
        return next(matching_nodes, None)

    def reaches(self, source: Node, target: Node) -> bool:
        pair = (source.process.name, target.process.name)
        return not target.process.is_dead and pair not in self.cut

    def cut_link(self, source: str, target: str) -> None:
        self.cut.add((source, target))
        self.cut_changed.set()
        self.cut_changed = asyncio.Event()

    async def deliver_call(
        self, source: Node, target: Node, method: str, frame: bytes, timeout_ms: Millis
    ) -> Result[Params, Failure]:
        """Deliver a call and its reply; cancelling the call cancels its handler."""
        link_lost: Result[Params, Failure]
        link_lost = Err(unknown(Code.PEER_LOST, "the link broke"))
        await self._delay()
        if not self.reaches(source, target):
            return link_lost
        handler = target.peers.handlers[method]
        expires_ms = target.clock.now_ms() + timeout_ms
        handler_call = target.process.spawn(_handle_frame(handler, frame, expires_ms))
        try:
            while not handler_call.done():
                if not self.reaches(source, target):
                    return link_lost
                await self._wait_for_any(handler_call, target)
        except asyncio.CancelledError:
            asyncio.get_running_loop().call_later(0.003, handler_call.cancel)
            raise
        await self._delay()
        return handler_call.result() if self.reaches(source, target) else link_lost

    async def _wait_for_any(
        self, handler_call: asyncio.Task[Any], target: Node
    ) -> None:
        link_cut = asyncio.ensure_future(self.cut_changed.wait())
        killed = asyncio.ensure_future(target.process.killed.wait())
        try:
            await asyncio.wait(
                [handler_call, link_cut, killed], return_when=asyncio.FIRST_COMPLETED
            )
        finally:
            link_cut.cancel()
            killed.cancel()

    def send_notification(
        self, source: Node, target: Node, sender: str, topic: str, frame: bytes
    ) -> None:
        """Deliver a notification, possibly late, twice or not at all."""
        copies = 1
        if self.rng.random() < self.notification_fault_share:
            copies = self.rng.choice((0, 2))
        loop = asyncio.get_running_loop()
        for _ in range(copies):
            delay_s = self.rng.choice((3, 3, 3, 3, 40, 700)) / 1_000
            loop.call_later(
                delay_s,
                self._deliver_notification,
                source,
                target,
                sender,
                topic,
                frame,
                context=Context(),
            )

    def _deliver_notification(
        self, source: Node, target: Node, sender: str, topic: str, frame: bytes
    ) -> None:
        if self.reaches(source, target):
            for handler in target.peers.notification_handlers[topic]:
                target.process.call(handler, sender, cbor2.loads(frame))

    async def _delay(self) -> None:
        """Delay a message; 2 % arrive so late that the caller may have timed out."""
        is_late = self.rng.random() < 0.02
        choices = (700, 3_000) if is_late else (3, 3, 3, 4, 8, 60)
        await self.clock.sleep_ms(self.rng.choice(choices))


async def _handle_frame(
    handler: Handler, frame: bytes, expires_ms: Millis
) -> Result[Params, Failure]:
    return await handler(cbor2.loads(frame), expires_ms)

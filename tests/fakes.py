"""In-memory fakes of the platform services, workers and peer links, with faults."""

import asyncio
import random
from collections import defaultdict
from collections.abc import Awaitable, Callable, Sequence
from typing import Any, TypeVar

from result import Err, Ok, Result

from hyssopweir.clock import Clock, Millis
from hyssopweir.codes import Code, Failure, not_run, unknown
from hyssopweir.fleet import ListedWorker, Worker
from hyssopweir.peers import Handler, NotificationHandler, Params
from hyssopweir.standin_table import StandinTable
from hyssopweir.standin_workers import StandinWorker, WorkAudit
from hyssopweir.table import Operation, Page, Row
from hyssopweir.worker_client import Fence, Inventory, RequestRun, RunReport, TaskRun

T = TypeVar("T")

CALL_TIMEOUT_MS: Millis = 1_000


class FakeTableService:
    """Client of one instance for a shared table, with faults.

    A read takes ``latency_ms``, a commit twice as long. ``down`` rejects all calls,
    ``writes_down`` rejects commits, and ``lost_reply_share`` is the share of commits
    whose reply is lost.
    """

    def __init__(
        self,
        table: StandinTable,
        clock: Clock,
        seed: int = 0,
        latency_ms: Millis = 2,
    ) -> None:
        self.table = table
        self.down = False
        self.writes_down = False
        self.lost_reply_share = 0.0
        self.latency_ms = latency_ms
        self._clock = clock
        self._random = random.Random(seed)

    async def read(self, key: str) -> Result[Row | None, Failure]:
        await self._clock.sleep_ms(self.latency_ms)
        return Err(SERVICE_DOWN) if self.down else Ok(self.table.read(key))

    async def scan(
        self,
        prefix: str,
        after: str = "",
        limit: int = 1_000,
    ) -> Result[Page, Failure]:
        await self._clock.sleep_ms(self.latency_ms)
        if self.down:
            return Err(SERVICE_DOWN)
        rows = self.table.scan(prefix, after, limit)
        return Ok(Page(rows, len(rows) == limit))

    async def commit(
        self,
        operations: Sequence[Operation],
        transaction: str,
    ) -> Result[dict[str, int], Failure]:
        await self._clock.sleep_ms(self.latency_ms)
        if self.down or self.writes_down:
            return Err(SERVICE_DOWN)
        reply = self.table.commit(operations, transaction)
        await self._clock.sleep_ms(self.latency_ms)
        if self._random.random() < self.lost_reply_share:
            return Err(unknown(Code.STORE_OUTCOME_UNKNOWN, "the reply was lost"))
        return reply


SERVICE_DOWN = not_run(Code.STORE_UNAVAILABLE, "the table service is down")


class FakeObjectStore:
    def __init__(self) -> None:
        self.objects: dict[str, bytes] = {}
        self.down = False

    async def put(self, key: str, body: bytes) -> Result[None, Failure]:
        if self.down:
            return Err(SERVICE_DOWN)
        self.objects[key] = body
        return Ok(None)

    async def get(self, key: str) -> Result[bytes | None, Failure]:
        return Err(SERVICE_DOWN) if self.down else Ok(self.objects.get(key))


class FakeInstanceList:
    """Instance list of the platform; ``listings`` may lag behind the real workers."""

    def __init__(self, listings: list[ListedWorker]) -> None:
        self.listings = listings
        self.down = False

    async def read(self) -> Result[list[ListedWorker], Failure]:
        if self.down:
            return Err(not_run(Code.LIST_UNAVAILABLE, "the instance list is down"))
        return Ok(list(self.listings))


class FakeFleet:
    """The stand-in workers, which all instances share."""

    def __init__(self, workers: list[Worker], clock: Clock) -> None:
        self.audit = WorkAudit(clock)
        self.workers = {
            worker.worker_id: StandinWorker(worker, clock, self.audit)
            for worker in workers
        }
        self.dead: set[str] = set()
        self.frozen: dict[str, asyncio.Event] = {}

    def kill(self, worker_id: str) -> None:
        self.dead.add(worker_id)
        self.workers[worker_id].kill()

    def restart(self, worker_id: str) -> None:
        self.dead.discard(worker_id)
        self.workers[worker_id].restart()

    def freeze(self, worker_id: str) -> None:
        self.frozen[worker_id] = asyncio.Event()

    def resume(self, worker_id: str) -> None:
        self.frozen.pop(worker_id).set()


class FakeWorkerClient:
    """Client of one instance for the stand-in workers, with latency and partitions.

    ``cut`` holds the ids of unreachable workers. A call to a frozen worker is delivered
    when the worker resumes, even after the call has timed out.
    """

    def __init__(self, fleet: FakeFleet, clock: Clock, latency_ms: Millis = 1) -> None:
        self.fleet = fleet
        self.latency_ms = latency_ms
        self.cut: set[str] = set()
        self.pending_calls: set[asyncio.Task[Any]] = set()
        self._clock = clock

    def release(self, worker: Worker) -> None:
        return

    async def claim(self, worker: Worker, epoch: int) -> Result[Inventory, Failure]:
        return await self._call(worker, lambda target: target.claim(epoch))

    async def execute(
        self,
        worker: Worker,
        fence: Fence,
        run: RequestRun,
    ) -> Result[RunReport, Failure]:
        return await self._call(
            worker,
            lambda target: target.execute(fence, run),
            timeout_ms=max(run.deadline_ms, 1),
        )

    async def start(
        self,
        worker: Worker,
        fence: Fence,
        run: TaskRun,
        lease_until_ms: Millis,
    ) -> Result[None, Failure]:
        return await self._call(
            worker,
            lambda target: target.start(fence, run, lease_until_ms),
        )

    async def watch(
        self,
        worker: Worker,
        fence: Fence,
        revision: int,
        wait_ms: Millis,
        lease_until_ms: Millis,
    ) -> Result[Inventory, Failure]:
        return await self._call(
            worker,
            lambda target: target.watch(fence, revision, wait_ms, lease_until_ms),
            timeout_ms=wait_ms + CALL_TIMEOUT_MS,
        )

    async def checkpoint(
        self,
        worker: Worker,
        fence: Fence,
        run_id: str,
    ) -> Result[RunReport, Failure]:
        return await self._call(
            worker,
            lambda target: target.checkpoint(fence, run_id),
        )

    async def throttle(
        self,
        worker: Worker,
        fence: Fence,
        run_id: str,
        share: float,
    ) -> Result[RunReport, Failure]:
        return await self._call(
            worker,
            lambda target: target.throttle(fence, run_id, share),
        )

    async def stop(
        self,
        worker: Worker,
        fence: Fence,
        run_id: str,
    ) -> Result[RunReport, Failure]:
        return await self._call(worker, lambda target: target.stop(fence, run_id))

    async def lookup(
        self,
        worker: Worker,
        fence: Fence,
        run_id: str,
    ) -> Result[RunReport, Failure]:
        return await self._call(worker, lambda target: target.lookup(fence, run_id))

    async def acknowledge(
        self,
        worker: Worker,
        fence: Fence,
        run_ids: Sequence[str],
    ) -> Result[None, Failure]:
        return await self._call(
            worker,
            lambda target: target.acknowledge(fence, run_ids),
        )

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
        call = asyncio.create_task(self._deliver(worker_id, operation))
        self.pending_calls.add(call)
        call.add_done_callback(self.pending_calls.discard)
        done, _ = await asyncio.wait({call}, timeout=timeout_ms / 1_000)
        if not done or worker_id in self.fleet.dead or worker_id in self.cut:
            return Err(unknown(Code.WORKER_UNREACHABLE, "no answer from the worker"))
        return call.result()

    async def _deliver(
        self,
        worker_id: str,
        operation: Callable[[StandinWorker], Awaitable[Result[T, Failure]]],
    ) -> Result[T, Failure]:
        await self._clock.sleep_ms(self.latency_ms)
        frozen = self.fleet.frozen.get(worker_id)
        if frozen is not None:
            await frozen.wait()
        if worker_id in self.fleet.dead:
            return Err(unknown(Code.WORKER_UNREACHABLE, "the worker has ended"))
        reply = await operation(self.fleet.workers[worker_id])
        await self._clock.sleep_ms(self.latency_ms)
        return reply


class FakeNetwork:
    """Network of the instances of a test; ``cut`` holds broken directed links."""

    def __init__(self, clock: Clock, one_way_ms: Millis = 3) -> None:
        self.clock = clock
        self.one_way_ms = one_way_ms
        self.nodes: dict[str, FakePeers] = {}
        self.cut: set[tuple[str, str]] = set()

    def reaches(self, source: str, target: str) -> bool:
        return target in self.nodes and (source, target) not in self.cut


class FakePeers:
    """``PeerNetwork`` of one instance that is connected to a ``FakeNetwork``."""

    def __init__(self, network: FakeNetwork, session: str) -> None:
        self.network = network
        self.session = session
        self._handlers: dict[str, Handler] = {}
        self._notification_handlers: dict[str, list[NotificationHandler]] = defaultdict(
            list
        )
        self._tasks: set[asyncio.Task[Any]] = set()
        network.nodes[session] = self

    def register(self, method: str, handler: Handler) -> None:
        self._handlers[method] = handler

    def on_notification(self, topic: str, handler: NotificationHandler) -> None:
        self._notification_handlers[topic].append(handler)

    async def call(
        self,
        session: str,
        method: str,
        params: Params,
        expires_ms: Millis,
    ) -> Result[Params, Failure]:
        clock = self.network.clock
        if not self.network.reaches(self.session, session):
            return Err(not_run(Code.PEER_UNREACHABLE, "no link to the peer"))
        call = asyncio.create_task(self._deliver(session, method, params, expires_ms))
        self._tasks.add(call)
        call.add_done_callback(self._tasks.discard)
        remaining_ms = max(expires_ms - clock.now_ms(), 0)
        done, _ = await asyncio.wait({call}, timeout=remaining_ms / 1_000)
        if not done:
            return Err(unknown(Code.DEADLINE_EXCEEDED, "no answer from the peer"))
        if call.cancelled() or not self.network.reaches(session, self.session):
            return Err(unknown(Code.PEER_LOST, "the link broke"))
        return call.result()

    async def _deliver(
        self,
        session: str,
        method: str,
        params: Params,
        expires_ms: Millis,
    ) -> Result[Params, Failure]:
        clock = self.network.clock
        await clock.sleep_ms(self.network.one_way_ms)
        peer = self.network.nodes.get(session)
        if peer is None:
            return Err(unknown(Code.PEER_LOST, "the peer has ended"))
        handler_task = asyncio.create_task(peer.handle(method, params, expires_ms))
        peer._tasks.add(handler_task)
        handler_task.add_done_callback(peer._tasks.discard)
        await asyncio.wait({handler_task})
        await clock.sleep_ms(self.network.one_way_ms)
        if handler_task.cancelled():
            return Err(unknown(Code.PEER_LOST, "the peer has ended"))
        return handler_task.result()

    async def handle(
        self,
        method: str,
        params: Params,
        expires_ms: Millis,
    ) -> Result[Params, Failure]:
        return await self._handlers[method](params, expires_ms)

    def notify(self, session: str, topic: str, params: Params) -> None:
        if self.network.reaches(self.session, session):
            delay_s = self.network.one_way_ms / 1_000
            loop = asyncio.get_running_loop()
            loop.call_later(delay_s, self._deliver_notification, session, topic, params)

    def broadcast(self, topic: str, params: Params) -> None:
        for session in list(self.network.nodes):
            if session != self.session:
                self.notify(session, topic, params)

    def connected(self, session: str) -> bool:
        return self.network.reaches(self.session, session)

    def disconnect(self) -> None:
        """Remove this instance from the network and cancel its calls in progress."""
        self.network.nodes.pop(self.session, None)
        for task in list(self._tasks):
            task.cancel()

    def _deliver_notification(self, session: str, topic: str, params: Params) -> None:
        peer = self.network.nodes.get(session)
        if peer is None:
            return
        for handler in peer._notification_handlers[topic]:
            handler(self.session, params)

"""Seeded random load on a ``System``.

It consists of requests, jobs, cancellations, configuration changes and evictions.
"""

import asyncio
import random
from collections.abc import Awaitable, Callable
from copy import deepcopy
from typing import Any, NamedTuple

from result import Err, Ok, Result

from hyssopweir.clock import Millis
from hyssopweir.codes import Code, Failure, Outcome
from hyssopweir.contracts import Answer
from hyssopweir.idempotency import is_attempt_not_run

from .builders import build_job
from .system import Node, System
from .virtual_processes import spawn_outside_processes

SERVICES = {
    "price-report": {"idempotent": True},
    "price-check": {"idempotent": True},
    "banquet-offer": {"idempotent": False},
    "slow-offer": {"idempotent": False},
}
DEADLINES_MS = (150, 600, 2_000, 5_000)
# Longest time after the deadline at which a reply may arrive: writing the record of a
# key and closing it take up to 500 ms each.
MAX_LATENESS_MS: Millis = 1_500
ACTIVATION_LIMIT_MS: Millis = 4_000


class RequestResult(NamedTuple):
    """Result of a request as its caller sees it; ``reply`` is None without a reply."""

    request_id: str
    service: str
    key: str | None
    body: bytes
    reply: Result[Answer, Failure] | None

    def is_not_run(self) -> bool:
        if not isinstance(self.reply, Err):
            return False
        failure = self.reply.err_value
        return failure.outcome is Outcome.NOT_RUN or is_attempt_not_run(failure)


class Load:
    """Simulated callers and operators, which record the replies that they receive."""

    def __init__(self, system: System) -> None:
        self.system = system
        self.rng = random.Random(f"load {system.seed}")
        self.told: list[RequestResult] = []
        self.problems: list[str] = []
        self.accepted: dict[int, Any] = {}
        # Results of the submissions of each job: True if accepted, False if rejected,
        # None if unknown.
        self.jobs: dict[str, list[bool | None]] = {}
        self._last_number = 0
        self._keys: list[tuple[str, str, bytes]] = []
        self._calls: set[asyncio.Task[Any]] = set()

    async def run(self, until_ms: Millis) -> None:
        """Start random operations until the time ``until_ms``."""
        operations: list[tuple[int, Callable[[], Awaitable[object]]]] = [
            (60, self.request),
            (4, self.request_twice),
            (2, self.burst),
            (8, self.submit),
            (4, self.cancel_burst),
            (4, self.change_configuration),
            (3, self.confirm_plan),
            (8, self.evict),
        ]
        weights = [weight for weight, _ in operations]
        while self.system.clock.now_ms() < until_ms:
            operation = self.rng.choices(
                [operation for _, operation in operations], weights
            )[0]
            self.start(operation())
            if self.rng.random() < 0.1:
                self.start(operation())
            await self.system.clock.sleep_ms(self.rng.choice((5, 40, 100, 400)))

    async def finish(self) -> None:
        """Wait for all started operations; requests get a reply by their deadline."""
        while self._calls:
            await asyncio.wait(list(self._calls))

    def choose_node(self) -> Node | None:
        nodes = [node for node in self.system.nodes if node.accepts()]
        ready = [node for node in nodes if node.parts.readiness.refusal() is None]
        return self.rng.choice(ready or nodes) if nodes else None

    async def request(self, node: Node | None = None) -> RequestResult | None:
        """Send a request, in 20 % of the cases with a key that was used before."""
        self._last_number += 1
        number, draw = self._last_number, self.rng.random()
        service, key, body = "price-check", None, b"smorgasbord %d" % number
        if draw < 0.2 and self._keys:
            service, key, body = self.rng.choice(self._keys[-6:])
            if self.rng.random() < 0.05:
                body += b" changed"
        elif draw < 0.5:
            service = self.rng.choice(("banquet-offer", "banquet-offer", "slow-offer"))
            key = f"key-{number}"
            # Answers above 64 KiB are stored in the object store.
            body *= 6_000 if self.rng.random() < 0.05 else 1
            self._keys.append((service, key, body))
        timeout_ms = self.rng.choice(DEADLINES_MS)
        if 0.5 <= draw < 0.6:
            service, timeout_ms = "price-report", DEADLINES_MS[-1]
        node = node or self.choose_node()
        if node is None:
            return None
        return await self.send(node, service, key, body, timeout_ms)

    async def request_twice(self) -> None:
        """Send a request with the same key to two instances at the same time."""
        self._last_number += 1
        key, body = f"key-{self._last_number}", b"smorgasbord %d" % self._last_number
        service = self.rng.choice(("banquet-offer", "slow-offer"))
        self._keys.append((service, key, body))
        for node in (self.choose_node(), self.choose_node()):
            if node is not None:
                timeout_ms = self.rng.choice(DEADLINES_MS)
                self.start(self.send(node, service, key, body, timeout_ms))

    async def burst(self) -> None:
        """Send more requests at once than the nearest workers have slots."""
        node = self.choose_node()
        for _ in range(30 if node is not None else 0):
            self.start(self.request(node))

    async def send(
        self, node: Node, service: str, key: str | None, body: bytes, timeout_ms: Millis
    ) -> RequestResult:
        """Send one request, record its result and check that the reply is in time."""
        clock, sent_ms = self.system.clock, self.system.clock.now_ms()
        task = node.process.spawn(node.serve(service, body, key, timeout_ms))
        killed = asyncio.ensure_future(node.process.killed.wait())
        node.outstanding += 1
        await asyncio.wait([task, killed], return_when=asyncio.FIRST_COMPLETED)
        node.outstanding -= 1
        killed.cancel()
        if not task.done() or task.cancelled():
            result = RequestResult("", service, key, body, None)
        else:
            result = RequestResult(
                task.result()[0], service, key, body, task.result()[1]
            )
            late_ms = clock.now_ms() - sent_ms - timeout_ms
            if late_ms > MAX_LATENESS_MS and node.last_affected_ms < sent_ms:
                self.problems.append(f"answered {late_ms} ms late: {result}")
        if is_aborted_by_shutdown(result):
            self.problems.append(f"a graceful shutdown aborted a request: {result}")
        self.told.append(result)
        return result

    async def submit(self) -> None:
        """Submit a job, in 20 % of the cases to two instances at once."""
        self._last_number += 1
        name = f"job-{self._last_number}"
        fields: dict[str, Any] = {
            "tasks": self.rng.choice((1, 2, 5, 9)),
            "run_ms": self.rng.choice((200, 1_500, 6_000, 20_000)),
            "cores": 1_000.0 if self.rng.random() < 0.05 else 1.0,
        }
        copies = 2 if self.rng.random() < 0.2 else 1
        await asyncio.gather(*(self._submit(name, fields) for _ in range(copies)))

    async def _submit(self, name: str, fields: dict[str, Any]) -> None:
        node = self.choose_node()
        if node is None:
            return
        reply = await self._run_at(
            node, node.parts.jobs.submit(build_job(name, **fields), "crew")
        )
        is_accepted: bool | None = isinstance(reply, Ok)
        if reply is None or (
            not is_accepted and reply.err_value.outcome != Outcome.NOT_RUN
        ):
            is_accepted = None
        self.jobs.setdefault(name, []).append(is_accepted)

    async def cancel_burst(self) -> None:
        """Cancel several of the newest jobs at random instances."""
        names = list(self.jobs)[-8:]
        for name in self.rng.sample(names, min(len(names), self.rng.randint(1, 4))):
            node = self.choose_node()
            if node is not None:
                self.start(self._run_at(node, node.parts.jobs.cancel(name)))

    async def change_configuration(self) -> None:
        """Change the configuration at one or two instances at once."""
        await asyncio.gather(*(self._change() for _ in range(self.rng.choice((1, 2)))))

    async def _change(self) -> None:
        node = self.choose_node()
        if node is None or node.parts.configuration.version == 0:
            return
        keeper = node.parts.configuration
        body = deepcopy(keeper.body)
        body["weights"]["evictions"] = float(self.rng.randint(1, 1_000))
        reply = await self._run_at(node, keeper.change(body, keeper.version))
        if isinstance(reply, Ok):
            self._record_accepted(reply.ok_value, body)

    async def confirm_plan(self) -> None:
        """Create a plan and confirm it at two instances at once."""
        node = self.choose_node()
        if node is None:
            return
        intent = {"teams": {"buyers": {"quota_slots": self.rng.randint(20, 60)}}}
        made = await self._run_at(node, node.parts.plans.make(intent))
        if not isinstance(made, Ok):
            return
        plan = made.ok_value
        replies = await asyncio.gather(*(self._confirm(plan["id"]) for _ in range(2)))
        results = [
            reply.ok_value["result"] for reply in replies if isinstance(reply, Ok)
        ]
        for result in results:
            if result != results[0]:
                self.problems.append(f"plan {plan['id']} has two results: {results}")
            self._record_accepted(result["version"], plan.get("configuration"))

    async def _confirm(self, plan_id: str) -> Result[Any, Failure] | None:
        node = self.choose_node()
        if node is None:
            return None
        reply: Result[Any, Failure] | None
        reply = await self._run_at(node, node.parts.plans.confirm(plan_id))
        return reply

    def _record_accepted(self, version: int, body: Any) -> None:
        accepted_body = self.accepted.setdefault(version, body)
        if accepted_body is not None and body is not None and accepted_body != body:
            self.problems.append(f"configuration {version} was accepted twice")
        spawn_outside_processes(self._check_in_force(version))

    async def _check_in_force(self, version: int) -> None:
        """Check that unaffected instances have a version 4 s after its acceptance."""
        accepted_ms = self.system.clock.now_ms()
        await self.system.clock.sleep_ms(ACTIVATION_LIMIT_MS)
        for node in self.system.nodes:
            version_in_use = node.parts.configuration.version
            if node.last_affected_ms < accepted_ms and version_in_use < version:
                name = node.process.name
                self.problems.append(
                    f"{name} has {version_in_use} 4 s after the acceptance of {version}"
                )

    async def evict(self) -> None:
        """Evict a running task at the instance that owns its shard."""
        rows = self.system.table.scan("tasks/", "", 10_000)
        running = [row.value for row in rows if row.value["state"] == "running"]
        if not running:
            return
        task = self.rng.choice(running)
        for node in list(self.system.nodes):
            if node.parts.ownership.epoch_of(task["shard"]) is not None:
                task_id = f"{task['job']}/{task['n']}"
                await self._run_at(node, node.parts.tasks.evict(task_id, "an operator"))

    async def _run_at(self, node: Node, coro: Any) -> Any:
        """Run a coroutine in an instance's process; None if the process is killed."""
        task = node.process.spawn(coro)
        killed = asyncio.ensure_future(node.process.killed.wait())
        await asyncio.wait([task, killed], return_when=asyncio.FIRST_COMPLETED)
        killed.cancel()
        return task.result() if task.done() and not task.cancelled() else None

    def start(self, awaitable: Awaitable[object]) -> None:
        task = asyncio.ensure_future(awaitable)
        self._calls.add(task)
        task.add_done_callback(self._calls.discard)


def is_settled_answer(result: RequestResult) -> bool:
    """Return whether the reply is the final outcome of a keyed request."""
    if isinstance(result.reply, Ok):
        return True
    return (
        result.reply is not None
        and result.reply.err_value.code is Code.TASK_FAILED
        and result.reply.err_value.outcome is Outcome.RAN
    )


def is_aborted_by_shutdown(result: RequestResult) -> bool:
    """Return whether an instance stopped while it handled the request."""
    if not isinstance(result.reply, Err):
        return False
    return result.reply.err_value.detail == "the instance is stopping"

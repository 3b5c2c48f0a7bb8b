"""Seeded load on a ``System``: requests, jobs, cancellations, changes, evictions."""

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
from .virtual_processes import outside

SERVICES = {
    "price-report": {"idempotent": True},
    "price-check": {"idempotent": True},
    "banquet-offer": {"idempotent": False},
    "slow-offer": {"idempotent": False},
}
DEADLINES_MS = (150, 600, 2_000, 5_000)
# A caller waits this long past its deadline: the record and its closing take 500 ms
# each.
LATE_MS: Millis = 1_500
IN_FORCE_MS: Millis = 4_000


class Told(NamedTuple):
    """Hold what a caller was told of one request; ``reply`` is None if nothing was."""

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
    """Act as callers and operators, and remember what they were told."""

    def __init__(self, system: System) -> None:
        self.system = system
        self.rng = random.Random(f"load {system.seed}")
        self.told: list[Told] = []
        self.problems: list[str] = []
        self.accepted: dict[int, Any] = {}
        # What each submission was told: accepted, refused, or None if neither.
        self.jobs: dict[str, list[bool | None]] = {}
        self._numbered = 0
        self._keys: list[tuple[str, str, bytes]] = []
        self._calls: set[asyncio.Task[Any]] = set()

    async def run(self, until_ms: Millis) -> None:
        """Act at random until the time ``until_ms``."""
        acts: list[tuple[int, Callable[[], Awaitable[object]]]] = [
            (60, self.request),
            (4, self.request_twice),
            (2, self.burst),
            (8, self.submit),
            (4, self.cancel_burst),
            (4, self.change_configuration),
            (3, self.confirm_plan),
            (8, self.evict),
        ]
        weights = [weight for weight, _ in acts]
        while self.system.clock.now_ms() < until_ms:
            act = self.rng.choices([act for _, act in acts], weights)[0]
            self.start(act())
            if self.rng.random() < 0.1:
                self.start(act())
            await self.system.clock.sleep_ms(self.rng.choice((5, 40, 100, 400)))

    async def finish(self) -> None:
        """Wait for all callers; each is answered by its deadline."""
        while self._calls:
            await asyncio.wait(list(self._calls))

    def any_node(self) -> Node | None:
        nodes = [node for node in self.system.nodes if node.accepts()]
        ready = [node for node in nodes if node.parts.readiness.refusal() is None]
        return self.rng.choice(ready or nodes) if nodes else None

    async def request(self, node: Node | None = None) -> Told | None:
        """Send a request, often with a key that was used before."""
        self._numbered += 1
        number, draw = self._numbered, self.rng.random()
        service, key, body = "price-check", None, b"smorgasbord %d" % number
        if draw < 0.2 and self._keys:
            service, key, body = self.rng.choice(self._keys[-6:])
            if self.rng.random() < 0.05:
                body += b" changed"
        elif draw < 0.5:
            service = self.rng.choice(("banquet-offer", "banquet-offer", "slow-offer"))
            key = f"key-{number}"
            # Answers above 64 KiB are kept in the object store.
            body *= 6_000 if self.rng.random() < 0.05 else 1
            self._keys.append((service, key, body))
        left_ms = self.rng.choice(DEADLINES_MS)
        if 0.5 <= draw < 0.6:
            service, left_ms = "price-report", DEADLINES_MS[-1]
        node = node or self.any_node()
        if node is None:
            return None
        return await self.send(node, service, key, body, left_ms)

    async def request_twice(self) -> None:
        """Send one key at two instances at the same time."""
        self._numbered += 1
        key, body = f"key-{self._numbered}", b"smorgasbord %d" % self._numbered
        service = self.rng.choice(("banquet-offer", "slow-offer"))
        self._keys.append((service, key, body))
        for node in (self.any_node(), self.any_node()):
            if node is not None:
                left_ms = self.rng.choice(DEADLINES_MS)
                self.start(self.send(node, service, key, body, left_ms))

    async def burst(self) -> None:
        """Send more slow requests at once than the nearest workers can hold."""
        node = self.any_node()
        for _ in range(30 if node is not None else 0):
            self.start(self.request(node))

    async def send(
        self, node: Node, service: str, key: str | None, body: bytes, left_ms: Millis
    ) -> Told:
        """Send one request and note what its caller is told, and when."""
        clock, sent_ms = self.system.clock, self.system.clock.now_ms()
        work = node.process.spawn(node.serve(service, body, key, left_ms))
        died = asyncio.ensure_future(node.process.died.wait())
        node.outstanding += 1
        await asyncio.wait([work, died], return_when=asyncio.FIRST_COMPLETED)
        node.outstanding -= 1
        died.cancel()
        if not work.done() or work.cancelled():
            told = Told("", service, key, body, None)
        else:
            told = Told(work.result()[0], service, key, body, work.result()[1])
            late_ms = clock.now_ms() - sent_ms - left_ms
            if late_ms > LATE_MS and node.disturbed_ms < sent_ms:
                self.problems.append(f"answered {late_ms} ms late: {told}")
        if is_cut_off(told):
            self.problems.append(f"a planned stop cut off a request: {told}")
        self.told.append(told)
        return told

    async def submit(self) -> None:
        """Submit a job, sometimes at two instances at once."""
        self._numbered += 1
        name = f"job-{self._numbered}"
        fields: dict[str, Any] = {
            "tasks": self.rng.choice((1, 2, 5, 9)),
            "run_ms": self.rng.choice((200, 1_500, 6_000, 20_000)),
            "cores": 1_000.0 if self.rng.random() < 0.05 else 1.0,
        }
        copies = 2 if self.rng.random() < 0.2 else 1
        await asyncio.gather(*(self._submit(name, fields) for _ in range(copies)))

    async def _submit(self, name: str, fields: dict[str, Any]) -> None:
        node = self.any_node()
        if node is None:
            return
        reply = await self._at(
            node, node.parts.jobs.submit(build_job(name, **fields), "crew")
        )
        told: bool | None = isinstance(reply, Ok)
        if reply is None or (not told and reply.err_value.outcome != Outcome.NOT_RUN):
            told = None
        self.jobs.setdefault(name, []).append(told)

    async def cancel_burst(self) -> None:
        """Cancel several of the newest jobs at random instances."""
        names = list(self.jobs)[-8:]
        for name in self.rng.sample(names, min(len(names), self.rng.randint(1, 4))):
            node = self.any_node()
            if node is not None:
                self.start(self._at(node, node.parts.jobs.cancel(name)))

    async def change_configuration(self) -> None:
        """Change the configuration at one or two instances at once."""
        await asyncio.gather(*(self._change() for _ in range(self.rng.choice((1, 2)))))

    async def _change(self) -> None:
        node = self.any_node()
        if node is None or node.parts.configuration.version == 0:
            return
        keeper = node.parts.configuration
        body = deepcopy(keeper.body)
        body["weights"]["evictions"] = float(self.rng.randint(1, 1_000))
        reply = await self._at(node, keeper.change(body, keeper.version))
        if isinstance(reply, Ok):
            self._note_accepted(reply.ok_value, body)

    async def confirm_plan(self) -> None:
        """Make a plan and confirm it at two instances at once."""
        node = self.any_node()
        if node is None:
            return
        intent = {"teams": {"buyers": {"quota_slots": self.rng.randint(20, 60)}}}
        made = await self._at(node, node.parts.plans.make(intent))
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
            self._note_accepted(result["version"], plan.get("configuration"))

    async def _confirm(self, plan_id: str) -> Result[Any, Failure] | None:
        node = self.any_node()
        if node is None:
            return None
        reply: Result[Any, Failure] | None
        reply = await self._at(node, node.parts.plans.confirm(plan_id))
        return reply

    def _note_accepted(self, version: int, body: Any) -> None:
        known = self.accepted.setdefault(version, body)
        if known is not None and body is not None and known != body:
            self.problems.append(f"configuration {version} was accepted twice")
        outside(self._check_in_force(version))

    async def _check_in_force(self, version: int) -> None:
        """Require that undisturbed instances have a version 4 s after acceptance."""
        accepted_ms = self.system.clock.now_ms()
        await self.system.clock.sleep_ms(IN_FORCE_MS)
        for node in self.system.nodes:
            held = node.parts.configuration.version
            if node.disturbed_ms < accepted_ms and held < version:
                name = node.process.name
                self.problems.append(f"{name} holds {held} 4 s after {version}")

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
                await self._at(node, node.parts.tasks.evict(task_id, "an operator"))

    async def _at(self, node: Node, work: Any) -> Any:
        """Wait for work in an instance's process; None if the process dies first."""
        task = node.process.spawn(work)
        died = asyncio.ensure_future(node.process.died.wait())
        await asyncio.wait([task, died], return_when=asyncio.FIRST_COMPLETED)
        died.cancel()
        return task.result() if task.done() and not task.cancelled() else None

    def start(self, work: Awaitable[object]) -> None:
        task = asyncio.ensure_future(work)
        self._calls.add(task)
        task.add_done_callback(self._calls.discard)


def is_settled_answer(told: Told) -> bool:
    """Tell whether the caller knows for good how its keyed request ended."""
    if isinstance(told.reply, Ok):
        return True
    return (
        told.reply is not None
        and told.reply.err_value.code is Code.TASK_FAILED
        and told.reply.err_value.outcome is Outcome.RAN
    )


def is_cut_off(told: Told) -> bool:
    """Tell whether an instance ended while the request was in progress there."""
    if not isinstance(told.reply, Err):
        return False
    return told.reply.err_value.detail == "the instance is stopping"

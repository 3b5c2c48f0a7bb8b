"""Demonstration: real entry instances against the stand-in platform, both users."""

import asyncio
import json
import time
from collections.abc import Awaitable, Callable
from contextlib import AsyncExitStack
from pathlib import Path
from typing import Any, NamedTuple

import click
from result import Err, Ok, Result

from hyssopweir.api_client import ApiClient, HttpAnswer
from hyssopweir.clock import Clock, Millis
from hyssopweir.codes import Code, Failure
from hyssopweir.fleet_file import Fleet, load_fleet
from hyssopweir.instance import Instance
from hyssopweir.settings import check_settings
from hyssopweir.standin_server import StandinServer

READY_LIMIT_MS: Millis = 10_000
CONFIGURATION_LIMIT_MS: Millis = 4_000
JOB_LIMIT_MS: Millis = 12_000
POLL_MS: Millis = 50
REQUESTS = 60
TASKS = 12
TASK_MS: Millis = 1_500
# Short terms, so that the loss of a worker is settled within the demonstration.
TIMING = {"lease_ms": 2_000, "watch_ms": 500, "drain_ms": 0, "scan_ms": 250}


class Scenario(NamedTuple):
    """Describe what one user does."""

    fleet: str
    intent: str
    check: str
    order: str
    kind: str
    team: str


SCENARIOS = (
    Scenario(
        "karribank.json",
        "karribank_intent.json",
        check="repaint-plan",
        order="mix-order",
        kind="repaint-round",
        team="depot",
    ),
    Scenario(
        "norrstrom.json",
        "norrstrom_intent.json",
        check="price-check",
        order="banquet-offer",
        kind="price-watch",
        team="buyers",
    ),
)


class DemoError(Exception):
    """Report that something the demonstration shows was not true."""


async def run_demo(examples: Path) -> Code:
    """Run both users' scenarios; return ``DEMO_FAILED`` if any claim was not true."""
    for scenario in SCENARIOS:
        started_s = time.monotonic()
        try:
            await _run(scenario, examples)
        except DemoError as exc:
            click.echo(f"FAILED: {exc}", err=True)
            return Code.DEMO_FAILED
        click.echo(f"  finished in {time.monotonic() - started_s:.1f} s\n")
    click.echo("Everything shown above was checked and true.")
    return Code.OK


async def _run(scenario: Scenario, examples: Path) -> None:
    fleet = load_fleet(examples / scenario.fleet)
    if isinstance(fleet, Err):
        raise DemoError(f"{scenario.fleet}: {fleet.err_value[0]}")
    intent = json.loads((examples / scenario.intent).read_text(encoding="utf-8"))
    async with AsyncExitStack() as stack:
        site = await DemoCluster.open(fleet.ok_value, stack)
        await site.become_ready()
        await site.confirm_plan(intent)
        await site.answer_requests(scenario.check)
        await site.order_once(scenario.order)
        job = await site.finish_round_despite_loss(scenario)
        await site.explain(job)
        site.check_guarantees()


class DemoCluster:
    """Hold the stand-in platform, the instances and clients of one user."""

    def __init__(
        self,
        standin: StandinServer,
        instances: list[Instance],
        clients: list[ApiClient],
        clock: Clock,
    ) -> None:
        self._standin = standin
        self._instances = instances
        self._clients = clients
        self._clock = clock

    @classmethod
    async def open(cls, fleet: Fleet, stack: AsyncExitStack) -> "DemoCluster":
        """Start the stand-in and one entry instance in each data centre."""
        clock = Clock()
        standin = StandinServer(_on_free_ports(fleet), clock)
        await _start(standin, stack)
        instances: list[Instance] = []
        for centre in fleet.data_centres:
            cfg = check_settings(
                {
                    "instance": f"{centre.name}-1",
                    "data_centre": centre.name,
                    "callers": {"host": "127.0.0.1", "port": 0},
                    "peers": {"host": "127.0.0.1", "port": 0},
                    "platform": {
                        "host": standin.platform_listener.host,
                        "port": standin.platform_listener.port,
                    },
                    "links": {link.target: link.one_way_ms for link in centre.links},
                    "timing": TIMING,
                }
            ).unwrap()
            instance = Instance(cfg)
            await _start(instance, stack)
            instances.append(instance)
        clients = [
            await stack.enter_async_context(ApiClient(f"127.0.0.1:{i.entry.port}"))
            for i in instances
        ]
        workers = len(fleet.workers)
        _say(f"{fleet.name}: {workers} workers, {len(instances)} entry instances")
        return cls(standin, instances, clients, clock)

    async def become_ready(self) -> None:
        """Wait until all instances are ready and every shard has an owner."""

        async def is_ready() -> bool:
            for client in self._clients:
                if isinstance(await client.get("/v1/health/ready"), Err):
                    return False
            view = _value(await self._clients[0].get("/v1/workers"))
            return all(worker["owner"] != "none" for worker in view["workers"])

        await self._until(is_ready, READY_LIMIT_MS, "all instances ready")
        _say("all instances are ready and every worker has an owner")

    async def confirm_plan(self, intent: dict[str, Any]) -> None:
        """Make a plan, read it, confirm it and see it in force everywhere."""
        plan = _value(await self._clients[0].post("/v1/plans", intent))
        _say(f"plan {plan['id']}, nothing has changed yet:")
        for line in str(plan["text"]).splitlines():
            _say(f"  {line}")
        before = _value(await self._clients[0].get("/v1/configuration"))["version"]
        _require(before == plan["based_on"], "a plan changes nothing before confirm")
        path = f"/v1/plans/{plan['id']}/confirm"
        confirmed = _value(await self._clients[-1].post(path))
        version = confirmed["result"]["version"]
        started_ms = self._clock.now_ms()

        async def in_force() -> bool:
            return all(
                instance.parts.configuration.version == version
                for instance in self._instances
            )

        await self._until(in_force, CONFIGURATION_LIMIT_MS, "configuration in force")
        took_ms = self._clock.now_ms() - started_ms
        _say(f"confirmed: version {version} in force everywhere after {took_ms} ms")

    async def answer_requests(self, service: str) -> None:
        """Send requests to all instances at once and compare every answer."""

        async def ask(number: int) -> None:
            body = f"request {number}".encode()
            client = self._clients[number % len(self._clients)]
            answer = _answer(await client.request(service, body))
            expected = b"%s answers %s" % (service.encode(), body)
            _require(answer.body == expected, f"answer {number} is not its own")

        await asyncio.gather(*(ask(number) for number in range(REQUESTS)))
        _say(f"{REQUESTS} {service} requests answered, each with its own answer")

    async def order_once(self, service: str) -> None:
        """Send one keyed request to two instances at once; it must run once."""
        first, second = await asyncio.gather(
            *(
                client.request(service, b"heritage green", key="order-1")
                for client in self._clients[:2]
            )
        )
        _require(
            _answer(first).body == _answer(second).body,
            "both callers get the recorded answer",
        )
        runs = self._standin.audit.count_request_runs("default/order-1")
        _require(runs == 1, f"the order ran {runs} times")
        _say(f"one {service} sent to two instances at once: ran once, both answered")

    async def finish_round_despite_loss(self, scenario: Scenario) -> str:
        """Submit a batch job, end a worker in the middle and wait for the job."""
        job = f"{scenario.kind}-1"
        spec = {
            "job": job,
            "team": scenario.team,
            "kind": scenario.kind,
            "tasks": TASKS,
            "run_ms": TASK_MS,
            "cores": 1,
            "memory_gb": 1,
        }
        _value(await self._clients[0].post("/v1/jobs", spec))

        async def is_running() -> bool:
            return any(
                report.is_task
                for part in self._standin.workers.values()
                for report in part.worker.live_runs()
            )

        await self._until(is_running, JOB_LIMIT_MS, "a task runs")
        lost = await self._end_busiest_worker()
        _say(f"{job}: {TASKS} tasks accepted; worker {lost} was lost while it ran them")

        async def is_done() -> bool:
            status = await self._clients[1].get(f"/v1/jobs/{job}")
            return isinstance(status, Ok) and status.ok_value["state"] == "done"

        await self._until(is_done, JOB_LIMIT_MS, f"{job} is done")
        done = self._standin.audit.tasks_done
        _require(
            sorted(done.values()) == [1] * TASKS,
            "every task was done exactly once",
        )
        _say(f"{job} is done: each of {TASKS} tasks finished exactly once")
        return job

    async def _end_busiest_worker(self) -> str:
        def tasks_of(worker_id: str) -> int:
            worker = self._standin.workers[worker_id].worker
            return sum(report.is_task for report in worker.live_runs())

        busiest = max(self._standin.workers, key=tasks_of)
        await self._standin.act_on_worker(busiest, "kill")
        return busiest

    async def explain(self, job: str) -> None:
        """Show why a task ran where it did, as the job's record tells it."""
        answer = _value(await self._clients[-1].get(f"/v1/jobs/{job}/explain"))
        moved = [
            task
            for task in answer["tasks"]
            if any("lost" in step["sentence"] for step in task["steps"])
        ]
        shown = (moved or answer["tasks"])[0]
        _require(len(shown["steps"]) > 1, "the explanation names its reasons")
        _say(f"why did {job} run there?")
        _say(f"  {shown['summary']}")
        for step in shown["steps"]:
            _say(f"  {step['sentence']}")

    def judge(self) -> None:
        """Let the stand-in's own account judge the whole run."""
        violations = self._standin.audit.violations
        _require(not violations, f"the stand-in saw {violations}")
        breaches = sum(i.parts.invariants.breaches for i in self._instances)
        _require(breaches == 0, f"{breaches} invariants were broken")
        _say("the stand-in's account shows no violation of any promise")

    async def _until(
        self,
        condition: Callable[[], Awaitable[bool]],
        limit_ms: Millis,
        name: str,
    ) -> None:
        end_ms = self._clock.now_ms() + limit_ms
        while not await condition():
            if self._clock.now_ms() > end_ms:
                raise DemoError(f"{name}: not within {limit_ms} ms")
            await self._clock.sleep_ms(POLL_MS)


def _on_free_ports(fleet: Fleet) -> Fleet:
    return fleet._replace(
        platform={**fleet.platform, "port": 0},
        platform_control={**fleet.platform_control, "port": 0},
        workers=tuple(worker._replace(port=0) for worker in fleet.workers),
    )


async def _start(service: Any, stack: AsyncExitStack) -> None:
    stack.push_async_callback(service.stop)
    await service.start()


def _say(line: str) -> None:
    click.echo(f"  {line}")


def _require(condition: bool, claim: str) -> None:
    if not condition:
        raise DemoError(claim)


def _value(reply: Result[dict[str, Any], Failure]) -> dict[str, Any]:
    if isinstance(reply, Err):
        raise DemoError(str(reply.err_value))
    return reply.ok_value


def _answer(reply: Result[HttpAnswer, Failure]) -> HttpAnswer:
    if isinstance(reply, Err):
        raise DemoError(str(reply.err_value))
    return reply.ok_value

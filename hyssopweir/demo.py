"""Demonstration with real entry instances and a stand-in platform, for both users."""

import asyncio
import json
import time
from collections.abc import Awaitable, Callable
from contextlib import AsyncExitStack
from pathlib import Path
from typing import Any, NamedTuple

import click
from result import Err, Ok, Result

from hyssopweir.api_client import ApiClient, HttpResponse
from hyssopweir.clock import Clock, Millis
from hyssopweir.codes import Code, Failure
from hyssopweir.fleet_file import Fleet, load_fleet
from hyssopweir.instance import Instance
from hyssopweir.settings import check_settings
from hyssopweir.standin_server import StandinServer

READY_TIMEOUT_MS: Millis = 10_000
CONFIGURATION_TIMEOUT_MS: Millis = 4_000
JOB_TIMEOUT_MS: Millis = 12_000
POLL_INTERVAL_MS: Millis = 50
REQUEST_COUNT = 60
TASK_COUNT = 12
TASK_DURATION_MS: Millis = 1_500
# Short leases let recovery from the loss of a worker finish during the demonstration.
TIMING = {"lease_ms": 2_000, "watch_ms": 500, "drain_ms": 0, "scan_ms": 250}


class DemoScenario(NamedTuple):
    """Files and names that the demonstration uses for one user."""

    fleet: str
    intent: str
    query_service: str
    keyed_service: str
    kind: str
    team: str


SCENARIOS = (
    DemoScenario(
        "karribank.json",
        "karribank_intent.json",
        query_service="repaint-plan",
        keyed_service="mix-order",
        kind="repaint-round",
        team="depot",
    ),
    DemoScenario(
        "norrstrom.json",
        "norrstrom_intent.json",
        query_service="price-check",
        keyed_service="banquet-offer",
        kind="price-watch",
        team="buyers",
    ),
)


class DemoError(Exception):
    """Raised when a check of the demonstration fails."""


async def run_demo(examples: Path) -> Code:
    """Run both users' scenarios; return ``DEMO_FAILED`` at the first failed check."""
    for scenario in SCENARIOS:
        started_s = time.monotonic()
        try:
            await _run_scenario(scenario, examples)
        except DemoError as exc:
            click.echo(f"FAILED: {exc}", err=True)
            return Code.DEMO_FAILED
        click.echo(f"  finished in {time.monotonic() - started_s:.1f} s\n")
    click.echo("Everything shown above was checked and true.")
    return Code.OK


async def _run_scenario(scenario: DemoScenario, examples: Path) -> None:
    fleet = load_fleet(examples / scenario.fleet)
    if isinstance(fleet, Err):
        raise DemoError(f"{scenario.fleet}: {fleet.err_value[0]}")
    intent = json.loads((examples / scenario.intent).read_text(encoding="utf-8"))
    async with AsyncExitStack() as stack:
        cluster = await DemoCluster.open(fleet.ok_value, stack)
        await cluster.wait_until_ready()
        await cluster.confirm_plan(intent)
        await cluster.send_requests(scenario.query_service)
        await cluster.send_duplicate_request(scenario.keyed_service)
        job = await cluster.complete_job_despite_worker_loss(scenario)
        await cluster.explain(job)
        cluster.check_violations()


class DemoCluster:
    """Stand-in platform, entry instances and API clients of one scenario."""

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
        """Start the stand-in and one entry instance per data centre."""
        clock = Clock()
        standin = StandinServer(_with_free_ports(fleet), clock)
        await _start(standin, stack)
        instances: list[Instance] = []
        for centre in fleet.data_centres:
            settings = check_settings(
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
            instance = Instance(settings)
            await _start(instance, stack)
            instances.append(instance)
        clients = [
            await stack.enter_async_context(ApiClient(f"127.0.0.1:{i.entry.port}"))
            for i in instances
        ]
        workers = len(fleet.workers)
        _print_line(
            f"{fleet.name}: {workers} workers, {len(instances)} entry instances"
        )
        return cls(standin, instances, clients, clock)

    async def wait_until_ready(self) -> None:
        """Wait until all instances are ready and every shard has an owner."""

        async def is_ready() -> bool:
            for client in self._clients:
                if isinstance(await client.get("/v1/health/ready"), Err):
                    return False
            view = _unwrap_view(await self._clients[0].get("/v1/workers"))
            return all(worker["owner"] != "none" for worker in view["workers"])

        await self._wait_until(is_ready, READY_TIMEOUT_MS, "all instances ready")
        _print_line("all instances are ready and every worker has an owner")

    async def confirm_plan(self, intent: dict[str, Any]) -> None:
        """Make and confirm a plan, then wait until it is in force at every instance."""
        plan = _unwrap_view(await self._clients[0].post("/v1/plans", intent))
        _print_line(f"plan {plan['id']}, nothing has changed yet:")
        for line in str(plan["text"]).splitlines():
            _print_line(f"  {line}")
        before = _unwrap_view(await self._clients[0].get("/v1/configuration"))[
            "version"
        ]
        _verify(before == plan["based_on"], "a plan changes nothing before confirm")
        path = f"/v1/plans/{plan['id']}/confirm"
        confirmed = _unwrap_view(await self._clients[-1].post(path))
        version = confirmed["result"]["version"]
        started_ms = self._clock.now_ms()

        async def is_in_force() -> bool:
            return all(
                instance.parts.configuration.version == version
                for instance in self._instances
            )

        await self._wait_until(
            is_in_force, CONFIGURATION_TIMEOUT_MS, "configuration in force"
        )
        took_ms = self._clock.now_ms() - started_ms
        _print_line(
            f"confirmed: version {version} in force everywhere after {took_ms} ms"
        )

    async def send_requests(self, service: str) -> None:
        """Send concurrent requests to all instances and check every response."""

        async def send(number: int) -> None:
            body = f"request {number}".encode()
            client = self._clients[number % len(self._clients)]
            response = _unwrap_response(await client.request(service, body))
            expected = b"%s answers %s" % (service.encode(), body)
            _verify(response.body == expected, f"answer {number} is not its own")

        await asyncio.gather(*(send(number) for number in range(REQUEST_COUNT)))
        _print_line(
            f"{REQUEST_COUNT} {service} requests answered, each with its own answer"
        )

    async def send_duplicate_request(self, service: str) -> None:
        """Send one request with a key to two instances and check that it runs once."""
        first, second = await asyncio.gather(
            *(
                client.request(service, b"heritage green", key="order-1")
                for client in self._clients[:2]
            )
        )
        _verify(
            _unwrap_response(first).body == _unwrap_response(second).body,
            "both callers get the recorded answer",
        )
        runs = self._standin.audit.count_request_runs("default/order-1")
        _verify(runs == 1, f"the order ran {runs} times")
        _print_line(
            f"one {service} sent to two instances at once: ran once, both answered"
        )

    async def complete_job_despite_worker_loss(self, scenario: DemoScenario) -> str:
        """Submit a batch job, kill a worker while tasks run and wait for completion."""
        job = f"{scenario.kind}-1"
        spec = {
            "job": job,
            "team": scenario.team,
            "kind": scenario.kind,
            "tasks": TASK_COUNT,
            "run_ms": TASK_DURATION_MS,
            "cores": 1,
            "memory_gb": 1,
        }
        _unwrap_view(await self._clients[0].post("/v1/jobs", spec))

        async def is_running() -> bool:
            return any(
                report.is_task
                for standin_worker in self._standin.workers.values()
                for report in standin_worker.worker.live_runs()
            )

        await self._wait_until(is_running, JOB_TIMEOUT_MS, "a task runs")
        lost_worker = await self._kill_busiest_worker()
        _print_line(
            f"{job}: {TASK_COUNT} tasks accepted; worker {lost_worker} was lost while "
            "it ran them"
        )

        async def is_done() -> bool:
            status = await self._clients[1].get(f"/v1/jobs/{job}")
            return isinstance(status, Ok) and status.ok_value["state"] == "done"

        await self._wait_until(is_done, JOB_TIMEOUT_MS, f"{job} is done")
        done = self._standin.audit.tasks_done
        _verify(
            sorted(done.values()) == [1] * TASK_COUNT,
            "every task was done exactly once",
        )
        _print_line(f"{job} is done: each of {TASK_COUNT} tasks finished exactly once")
        return job

    async def _kill_busiest_worker(self) -> str:
        def count_tasks(worker_id: str) -> int:
            worker = self._standin.workers[worker_id].worker
            return sum(report.is_task for report in worker.live_runs())

        busiest = max(self._standin.workers, key=count_tasks)
        await self._standin.act_on_worker(busiest, "kill")
        return busiest

    async def explain(self, job: str) -> None:
        """Print the recorded reasons for the placement of one task of the job."""
        explanation = _unwrap_view(
            await self._clients[-1].get(f"/v1/jobs/{job}/explain")
        )
        moved_tasks = [
            task
            for task in explanation["tasks"]
            if any("lost" in step["sentence"] for step in task["steps"])
        ]
        shown_task = (moved_tasks or explanation["tasks"])[0]
        _verify(len(shown_task["steps"]) > 1, "the explanation names its reasons")
        _print_line(f"why did {job} run there?")
        _print_line(f"  {shown_task['summary']}")
        for step in shown_task["steps"]:
            _print_line(f"  {step['sentence']}")

    def check_violations(self) -> None:
        """Check that the stand-in saw no violation and no invariant was broken."""
        violations = self._standin.audit.violations
        _verify(not violations, f"the stand-in saw {violations}")
        breaches = sum(i.parts.invariants.breaches for i in self._instances)
        _verify(breaches == 0, f"{breaches} invariants were broken")
        _print_line("the stand-in's account shows no violation of any promise")

    async def _wait_until(
        self,
        condition: Callable[[], Awaitable[bool]],
        timeout_ms: Millis,
        description: str,
    ) -> None:
        deadline_ms = self._clock.now_ms() + timeout_ms
        while not await condition():
            if self._clock.now_ms() > deadline_ms:
                raise DemoError(f"{description}: not within {timeout_ms} ms")
            await self._clock.sleep_ms(POLL_INTERVAL_MS)


def _with_free_ports(fleet: Fleet) -> Fleet:
    return fleet._replace(
        platform={**fleet.platform, "port": 0},
        platform_control={**fleet.platform_control, "port": 0},
        workers=tuple(worker._replace(port=0) for worker in fleet.workers),
    )


async def _start(service: Any, stack: AsyncExitStack) -> None:
    stack.push_async_callback(service.stop)
    await service.start()


def _print_line(line: str) -> None:
    click.echo(f"  {line}")


def _verify(condition: bool, claim: str) -> None:
    if not condition:
        raise DemoError(claim)


def _unwrap_view(reply: Result[dict[str, Any], Failure]) -> dict[str, Any]:
    if isinstance(reply, Err):
        raise DemoError(str(reply.err_value))
    return reply.ok_value


def _unwrap_response(reply: Result[HttpResponse, Failure]) -> HttpResponse:
    if isinstance(reply, Err):
        raise DemoError(str(reply.err_value))
    return reply.ok_value

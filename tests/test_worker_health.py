"""Ejection of failing or slow workers, and results that must not count against them."""

import asyncio
from collections.abc import Sequence
from typing import Any

import pytest
from result import Err, Result

from hyssopweir.clock import Clock, Millis
from hyssopweir.codes import Code, Failure, not_run
from hyssopweir.events import Event
from hyssopweir.fleet import Worker
from hyssopweir.instance import Instance
from hyssopweir.retries import RetryBudget
from hyssopweir.worker_client import RunReport
from hyssopweir.worker_health import MAX_SERVICES, PROBES_BEFORE_RESTORE, WorkerHealth

from .builders import build_job, build_log, build_request, build_settings, build_workers
from .request_simulation import (
    RequestSimulation,
    build_keyed_request,
    run_in_simulation,
)
from .task_simulation import TaskSimulation
from .virtual_time import run_virtual


class ManualClock(Clock):
    ms: Millis = 0

    def now_ms(self) -> Millis:
        return self.ms


class ShardHarness:
    """WorkerHealth of one shard with a manual clock and a fake worker list."""

    def __init__(self, count: int = 8) -> None:
        self.clock = ManualClock()
        self.log = build_log(self.clock)
        self.workers = build_workers(count, rack="r0")
        self.leaving: set[str] = set()
        self.health = WorkerHealth(self, self.clock, self.log)

    def workers_of(self, shard: str) -> list[Worker]:
        return self.workers

    def leaving_since_ms(self, worker_id: str) -> Millis | None:
        return 0 if worker_id in self.leaving else None

    def fail(self, number: int, times: int = 1, service: str = "offer") -> None:
        for _ in range(times):
            self.health.failed(self.workers[number], service)

    def serve(
        self, number: int, latency_ms: float = 20, times: int = 1, service: str = "it"
    ) -> None:
        for _ in range(times):
            self.health.succeeded(self.workers[number], service, latency_ms)

    def probe(self, number: int) -> bool:
        """Send a probe unless the worker is ejected; return whether it was sent."""
        worker_id = self.workers[number].worker_id
        is_available = not self.health.is_ejected(worker_id)
        if is_available:
            self.health.mark_probed(worker_id)
        return is_available

    def restore(self, number: int) -> None:
        """Send successful probes to an ejected worker until it is restored."""
        for _ in range(PROBES_BEFORE_RESTORE):
            assert self.probe(number)
            assert not self.probe(number)
            self.serve(number)

    def ejected(self) -> list[int]:
        ids = [worker.worker_id for worker in self.workers]
        return [n for n, name in enumerate(ids) if self.health.is_ejected(name)]

    def events(self, event: Event) -> int:
        return sum(record.event is event for record in self.log)


@pytest.mark.parametrize(
    ("count", "leaving", "ejected"),
    [(1, 0, 1), (2, 0, 1), (5, 0, 1), (6, 0, 2), (8, 0, 2), (9, 0, 3), (8, 3, 1)],
)
def test_at_most_a_third_of_a_shard_is_ejected(
    count: int, leaving: int, ejected: int
) -> None:
    """Guards against a common fault that ejects every worker of a shard."""
    shard = ShardHarness(count)
    shard.leaving = {worker.worker_id for worker in shard.workers[count - leaving :]}
    for number in range(count - leaving):
        # A different service per worker, so that no service counts as failing.
        shard.fail(number, 5, f"service-{number}")
    assert shard.ejected() == list(range(ejected))
    assert shard.events(Event.EJECTION_WITHHELD) == (1 if count - leaving > 1 else 0)


def test_ejection_limit_counts_unprobed_workers_and_frees_on_restore() -> None:
    """Guards against a failing worker that is never ejected after a withheld ejection.

    A worker that awaits its probe still counts towards the limit of ejected workers.
    """
    shard = ShardHarness(3)
    shard.fail(0, 3, "a")
    shard.fail(1, 3, "b")
    shard.clock.ms = 5_000
    shard.fail(1, 1, "b")
    assert shard.ejected() == []
    shard.restore(0)
    shard.fail(1, 1, "b")
    assert shard.ejected() == [1]


@pytest.mark.parametrize(
    ("failures", "ejected", "failing"),
    [
        # Failures on 3 workers, including earlier ones, count against none of them.
        ([(0, 3), (1, 3), (2, 1)], [], 1),
        ([(0, 1), (1, 1), (2, 9)], [], 1),
        # Failures on 2 workers may be the fault of the workers.
        ([(0, 3), (1, 3), (0, 1)], [0, 1], 0),
        # The other failures are too old, or the service has succeeded since.
        ([(0, 1), (1, 1), "wait", (2, 3)], [2], 0),
        ([(0, 1), (1, 1), "success", (2, 3)], [2], 0),
    ],
)
def test_service_that_fails_on_several_workers_ejects_none(
    failures: Sequence[tuple[int, int] | str], ejected: list[int], failing: int
) -> None:
    """Guards against ejecting workers because a service itself fails."""
    shard = ShardHarness()
    for item in failures:
        if item == "wait":
            shard.clock.ms += 10_001
        elif item == "success":
            shard.serve(7, service="offer")
        else:
            shard.fail(int(item[0]), int(item[1]))
    assert shard.ejected() == ejected
    assert shard.events(Event.SERVICE_FAILING) == failing
    shard.serve(7, service="offer")
    assert shard.events(Event.SERVICE_RECOVERED) == failing


def test_worker_is_ejected_for_other_services_while_one_fails_everywhere() -> None:
    """Guards against a failing service that masks a failing worker."""
    shard = ShardHarness()
    for number in (1, 2, 0):
        shard.fail(number)
    shard.fail(0, 2, "price-check")
    assert shard.ejected() == []
    shard.fail(0, 1, "price-check")
    assert shard.ejected() == [0]


def test_worker_that_failed_several_services_stays_ejected() -> None:
    """Guards against restoring a worker that also failed other services."""
    shard = ShardHarness()
    shard.fail(0, 2, "price-check")
    for number in range(3):
        shard.fail(number)
    assert shard.events(Event.SERVICE_FAILING) == 1
    assert shard.ejected() == [0]


@pytest.mark.parametrize(
    ("others", "latency_ms", "times", "ejected"),
    [
        ([20] * 7, 60, 20, [0]),
        ([20] * 7, 59, 20, []),
        ([20] * 7, 60, 19, []),
        # For very short latencies the absolute difference decides.
        ([1] * 7, 10, 20, []),
        ([1] * 7, 11, 20, [0]),
        # One other slow worker does not raise the median of the others.
        ([200, 20, 20, 20, 20, 20, 20], 60, 20, [1, 0]),
        ([58, 58, 20, 20, 20, 20, 20], 60, 20, [0]),
        # No other worker to compare with.
        ([], 500, 20, []),
    ],
)
def test_worker_that_is_three_times_slower_is_ejected(
    others: list[int], latency_ms: int, times: int, ejected: list[int]
) -> None:
    """Guards against a slow worker that stays in service, and false positives."""
    shard = ShardHarness()
    for number, other_ms in reversed(list(enumerate(others, 1))):
        shard.serve(number, other_ms, 20)
    shard.serve(0, latency_ms, times)
    assert shard.ejected() == sorted(ejected)


def test_old_latencies_and_those_before_an_ejection_do_not_count() -> None:
    """Guards against comparing latencies that were measured under different loads."""
    shard = ShardHarness()
    shard.serve(1, 20, 20)
    shard.clock.ms = 60_001
    shard.serve(0, 60, 20)
    assert shard.ejected() == []
    shard.serve(1, 20, 20)
    shard.serve(0, 60)
    assert shard.ejected() == [0]
    shard.clock.ms += 5_000
    shard.restore(0)
    shard.serve(0, 60, 19)
    assert shard.ejected() == []


@pytest.mark.parametrize("is_slow", [False, True])
def test_probes_are_single_and_failed_ones_double_the_ejection(is_slow: bool) -> None:
    """Guards against a broken worker that gets many requests after each ejection."""
    shard = ShardHarness()
    shard.serve(1, 20, 20)

    def fail_or_slow_down() -> None:
        if is_slow:
            shard.serve(0, 100)
        else:
            shard.fail(0)

    for _ in range(20 if is_slow else 3):
        fail_or_slow_down()
    delays_ms = []
    for _ in range(6):
        since_ms = shard.clock.ms
        # Results of requests dispatched before the ejection are ignored.
        fail_or_slow_down()
        shard.serve(0, 100)
        while not shard.probe(0):
            shard.clock.ms += 500
        delays_ms.append(shard.clock.ms - since_ms)
        shard.serve(1, 20, 20)
        assert not shard.probe(0)
        fail_or_slow_down()
    assert delays_ms == [5_000, 10_000, 20_000, 40_000, 60_000, 60_000]
    shard.clock.ms += 60_000
    shard.restore(0)
    assert not shard.ejected()
    assert shard.events(Event.WORKER_RESTORED) == 1


def test_probes_must_pass_in_a_row() -> None:
    """Guards against one success restoring a worker that fails half of its runs."""
    shard = ShardHarness()
    shard.fail(0, 3)
    shard.clock.ms = 5_000
    for is_last in (False, False, True):
        assert shard.probe(0)
        shard.fail(0) if is_last else shard.serve(0)
    assert not shard.probe(0)
    shard.clock.ms = 15_000
    shard.restore(0)
    # A restored worker accepts concurrent requests.
    assert shard.probe(0)
    assert shard.probe(0)


def test_probe_without_result_is_followed_by_another() -> None:
    """Guards against a worker that stays ejected after a probe without a result."""
    shard = ShardHarness()
    shard.fail(0, 3)
    shard.clock.ms = 5_000
    assert shard.probe(0)
    shard.clock.ms = 10_000
    assert shard.probe(0)


def test_state_is_bounded_and_removed_by_forget() -> None:
    """Guards against state that grows with the number of services or workers."""
    shard = ShardHarness()
    for number in range(8):
        for name in range(MAX_SERVICES + 50):
            shard.fail(number, 1, f"service-{name}")
            shard.serve(number, 20, 30, f"other-{name}")
    state = shard.health._shards["kista/r0"]
    assert len(state.services) == MAX_SERVICES
    for health_record in state.workers.values():
        assert len(health_record.latencies) == MAX_SERVICES
        assert all(len(item._at_ms) == 20 for item in health_record.latencies.values())
    for worker in shard.workers:
        shard.health.forget(worker.worker_id)
    assert (shard.health._workers, shard.health._shards) == ({}, {})


@pytest.mark.parametrize("change", ["leaves", "restarts", "shard lost"])
def test_state_is_discarded_when_a_worker_leaves_or_restarts(change: str) -> None:
    """Guards against an ejection that outlives its cause, and against leaked state."""

    async def scenario(simulation: RequestSimulation) -> None:
        node, worker_id = simulation.nodes["a"], simulation.workers[0].worker_id
        simulation.fleet.workers[worker_id].fails_everything = True
        for number in range(40):
            await simulation.send("a", build_request(number), 2_000)
        assert node.dispatcher.health.is_ejected(worker_id)
        if change == "leaves":
            simulation.listing.listings = simulation.listing.listings[1:]
        elif change == "restarts":
            simulation.fleet.restart(worker_id)
        else:
            keyed_request = simulation.send("a", build_keyed_request(1), 9_000)
            simulation.later(0, lambda: keyed_request)
            await simulation.clock.sleep_ms(10)
            simulation.give("kista/r0", "c")
        await simulation.clock.sleep_ms(4_000)
        assert not node.dispatcher.health.is_ejected(worker_id)
        assert worker_id not in node.dispatcher.health._workers
        if change == "shard lost":
            # The end of the run that was in flight is not recorded either.
            assert simulation.runs("k1") == 1
            assert node.dispatcher.health._workers == {}

    run_in_simulation(scenario, workers=3)


@pytest.mark.parametrize(("percent", "max_factor"), [(10, 1.14), (0, 1.0), (None, 5.0)])
def test_retries_do_not_multiply_the_load_when_everything_fails(
    percent: int | None, max_factor: float
) -> None:
    """Guards against retries that multiply the load of a failing fleet."""
    request_count = 300

    async def scenario(simulation: RequestSimulation) -> None:
        for worker in simulation.fleet.workers.values():
            worker.fails_everything = True
        budget = RetryBudget(percent or 0)
        if percent is None:
            budget.try_retry = lambda: True  # type: ignore[method-assign]
        simulation.nodes["a"].forwarder._budget = budget
        for number in range(request_count):
            reply = await simulation.send("a", build_request(number), 60_000)
            assert reply.is_err()
        runs = simulation.fleet.audit.request_runs.total()
        assert request_count <= runs <= max_factor * request_count
        if percent is None:
            assert runs > 4 * request_count

    run_in_simulation(scenario, workers=4)


@pytest.mark.parametrize("code", [Code.WORKER_FULL, Code.WORKER_UNREACHABLE])
def test_attempts_on_other_workers_do_not_multiply_the_load(code: Code) -> None:
    """Guards against requests that each try several workers while all refuse them."""
    calls: list[str] = []

    async def refuse(worker: Worker, *args: Any) -> Result[RunReport, Failure]:
        calls.append(worker.worker_id)
        return Err(not_run(code, "refused"))

    async def scenario(simulation: RequestSimulation) -> None:
        for node in simulation.nodes.values():
            node.client.execute = refuse  # type: ignore[method-assign]
        sends = [
            simulation.send("a", build_request(number), 2_000) for number in range(300)
        ]
        assert all(reply.is_err() for reply in await asyncio.gather(*sends))
        # A worker that refused has no free slots until it answers a claim or watch.
        assert len(calls) <= 100

    run_in_simulation(scenario, workers=8)


def test_tasks_of_an_instance_avoid_an_ejected_worker() -> None:
    """Guards against placing tasks on workers that request failures have ejected."""

    async def main() -> None:
        parts = Instance(build_settings()).parts
        assert parts.tasks._parts.is_ejected == parts.dispatcher.health.is_ejected
        simulation = TaskSimulation(2)
        owner = await simulation.instance()
        ejected = {"kista-w0"}
        owner.keeper._parts = owner.parts._replace(is_ejected=ejected.__contains__)
        await owner.gain()
        assert (await owner.api.submit(build_job(), "planner")).is_ok()
        await simulation.until_state("done")
        assert simulation.task()["worker"] == "kista-w1"

    run_virtual(main())

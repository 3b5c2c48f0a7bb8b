"""Attribution of measurements to colocated tasks, and decisions based on them."""

import asyncio
from collections import Counter
from typing import Any

import pytest
from result import Ok

from hyssopweir.colocation import Colocation
from hyssopweir.explain import explain_job
from hyssopweir.interference import Interference, victim_name
from hyssopweir.invariants import Invariants
from hyssopweir.measurements import Measurements
from hyssopweir.slots import SlotLedger
from hyssopweir.worker_client import Inventory, RunReport, RunState

from .builders import build_job, build_log, build_request, build_worker
from .request_simulation import RequestSimulation, run_in_simulation
from .system import System
from .task_simulation import SHARD, TaskInstance, TaskSimulation
from .virtual_processes import ProcessLoop
from .virtual_time import VirtualClock, run_virtual

CLOCK_OFFSET_MS = -700_000


def test_late_progress_is_attributed_to_runs_of_its_interval() -> None:
    """Guards against attributing a late inventory to the runs at its arrival."""

    async def run() -> None:
        clock, worker = VirtualClock(), build_worker()
        ledger = SlotLedger(Invariants(clock, build_log(clock)), 2)
        measurements = Measurements(Colocation(), Interference(), ledger, clock)
        progress = 0.0

        async def work(speed: float, delay_ms: int = 0) -> None:
            nonlocal progress
            await clock.sleep_ms(2_000)
            progress += speed
            report = RunReport("a#1", RunState.RUNNING, True, progress=progress)
            read_ms = clock.now_ms() + CLOCK_OFFSET_MS
            inventory = Inventory("one", 1, read_ms, False, (report,))
            if delay_ms:
                measurements.task_ended(worker.worker_id, "b#1")
                measurements.task_started(SHARD, worker.worker_id, "c#1", "index")
                await clock.sleep_ms(delay_ms)
            measurements.process_inventory(worker, inventory)

        measurements.task_started(SHARD, worker.worker_id, "a#1", "watch")
        for _ in range(30):
            await work(0.004)
            measurements.task_started(SHARD, worker.worker_id, "b#1", "repaint")
            await work(0.002, delay_ms=5_000)
            await work(0.014)
            measurements.task_ended(worker.worker_id, "c#1")
        victim, learned = victim_name("watch"), measurements.interference
        harmful = learned.predict(victim, {"repaint": 1}, 0.2)
        assert harmful.slowdown == pytest.approx(2.0, rel=0.1)
        assert harmful.is_known
        harmless = learned.predict(victim, {"index": 1}, 0.2)
        assert harmless.slowdown == pytest.approx(1.0, abs=0.1)

    run_virtual(run())


@pytest.mark.parametrize("has_task", [True, False])
def test_worker_is_not_ejected_for_interference_of_its_tasks(
    has_task: bool,
) -> None:
    """Guards against ejecting a worker for the interference of tasks placed there."""

    async def scenario(simulation: RequestSimulation) -> None:
        node, slow = simulation.nodes["a"], simulation.fleet.workers["kista-w0"]

        async def send(number: int) -> None:
            assert (await simulation.send("a", build_request(number), 5_000)).is_ok()

        async def serve(batches: int) -> None:
            for _ in range(batches):
                await asyncio.gather(*map(send, range(28)))

        await serve(10)
        slow.service_ms = {"price-check": 200}
        if has_task:
            worker_id = slow.worker.worker_id
            node.measurements.task_started("kista/r0", worker_id, "j/0#1", "repaint")
        await serve(25)
        ejected = node.dispatcher.health.is_ejected(slow.worker.worker_id)
        assert ejected != has_task

    run_in_simulation(scenario, workers=4)


def test_requests_avoid_worker_with_interfering_task() -> None:
    """Guards against requests next to a task that is known to slow them down."""

    async def scenario(simulation: RequestSimulation) -> None:
        measurements = simulation.nodes["a"].measurements
        noisy, quiet = (simulation.fleet.workers[f"kista-w{n}"] for n in range(2))

        async def send(number: int) -> str:
            return (await simulation.send("a", build_request(number), 5_000)).unwrap()[
                2
            ]

        async def served(batches: int) -> Counter[str]:
            return Counter(
                [
                    worker_id
                    for batch in range(batches)
                    for worker_id in await asyncio.gather(*map(send, range(4)))
                ]
            )

        names = noisy.worker.worker_id, quiet.worker.worker_id
        even = await served(20)
        assert abs(even[names[0]] - even[names[1]]) <= 8
        measurements.task_started("kista/r0", names[0], "job/0#1", "repaint")
        noisy.service_ms = {"price-check": 60}
        learning = await served(20)
        assert learning[names[0]] >= 20
        found = measurements.interference.predict("price-check", {"repaint": 1}, 0.3)
        assert found.is_known
        assert found.slowdown == pytest.approx(62 / 22, rel=0.1)
        assert (await served(20))[names[0]] == 0
        measurements.task_ended(names[0], "job/0#1")
        noisy.service_ms = {}
        after = await served(20)
        assert abs(after[names[0]] - after[names[1]]) <= 8

    run_in_simulation(scenario)


def running_counts(
    simulation: TaskSimulation, instance: TaskInstance
) -> dict[str, int]:
    live_counts = instance.measurements.colocation.live_counts
    return {
        name: n for name in simulation.fleet.workers for n in live_counts(name).values()
    }


async def run_job(
    simulation: TaskSimulation, instance: TaskInstance, name: str, **fields: Any
) -> str:
    """Run a job to its end and return its explanation."""
    reply = await instance.api.submit(
        build_job(name, kind="repaint", **fields), "buyer"
    )
    assert isinstance(reply, Ok), reply
    await simulation.until_state("done", name)
    return explain_job((await instance.api.task_rows(name)).unwrap())


@pytest.mark.parametrize(
    ("observations", "urgent", "early", "says"),
    [
        (0, False, 1, "its effect on service offer is unknown (0 observations so far)"),
        (0, True, 2, "its effect on service offer is unknown (0 observations so far)"),
        (200, False, 2, "service offer is predicted to take 1.80 times as long beside"),
    ],
)
def test_unknown_kind_is_not_spread_over_the_workers(
    observations: int, urgent: bool, early: int, says: str
) -> None:
    """Guards against an unknown kind that slows down a whole rack at once.

    A worker has room for 6 of the 10 tasks. The rule delays the others for at most
    10 s, and urgent tasks not at all.
    """

    async def run() -> None:
        simulation = TaskSimulation()
        instance = await simulation.instance()
        await instance.gain()
        instance.interference.baselines.record_latency(
            SHARD, "offer", 5.0, is_alone=True
        )
        for _ in range(observations):
            instance.interference.observe("offer", {}, 0.3, 1.0)
            instance.interference.observe("offer", {"repaint": 1.0}, 0.3, 1.8)
        ended = asyncio.create_task(
            run_job(
                simulation, instance, "paint", tasks=10, run_ms=30_000, urgent=urgent
            )
        )
        for after_ms, count in ((9_000, early), (3_000, 2)):
            await simulation.clock.sleep_ms(after_ms)
            rows = [simulation.task("paint", number) for number in range(10)]
            assert len({row["worker"] for row in rows} - {""}) == count
            placed = Counter(row["worker"] for row in rows if row["worker"])
            assert running_counts(simulation, instance) == placed
        text = await ended
        assert running_counts(simulation, instance) == {}
        assert says in text
        waited = "gets no task of kind repaint yet, because one runs on" in text
        assert waited == (early == 1)
        simulation.check_guarantees()

    run_virtual(run())


def test_new_owner_tracks_adopted_tasks() -> None:
    """Guards against treating requests next to adopted tasks as running alone."""

    async def run() -> None:
        simulation = TaskSimulation()
        instance, new_owner = [
            await simulation.instance(name) for name in ("one", "two")
        ]
        await instance.gain()
        ended = asyncio.create_task(
            run_job(simulation, instance, "paint", run_ms=20_000)
        )
        await simulation.until_state("running", "paint")
        instance.lost(SHARD, 1)
        await new_owner.gain()
        await simulation.clock.sleep_ms(2_000)
        assert running_counts(simulation, instance) == {}
        assert running_counts(simulation, new_owner) == {
            simulation.task("paint")["worker"]: 1
        }
        await ended
        assert running_counts(simulation, new_owner) == {}

    run_virtual(run())


def test_lost_shard_and_restarted_worker_are_dropped() -> None:
    """Guards against counting runs of a former owner or incarnation forever."""

    async def run() -> None:
        system = System(1)
        node = system.start_node("kista-1", "kista")
        await system.clock.sleep_ms(20_000)
        parts = node.parts
        shard, epoch = next(iter(parts.ownership.owned().items()))
        first, second = [w.worker_id for w in parts.fleet.workers_of(shard)][:2]
        for worker_id in (first, second):
            parts.measurements.task_started(shard, worker_id, "paint/0#1", "repaint")
        parts.interference.baselines.record_latency(shard, "offer", 5.0, is_alone=True)
        system.fleet.restart(first)
        await system.clock.sleep_ms(5_000)
        assert parts.colocation.live_counts(first) == {}
        assert parts.colocation.live_counts(second) == {"repaint": 1}
        parts.ownership.lost(shard, epoch)
        assert parts.colocation.live_counts(second) == parts.colocation.mean_counts(
            second, 0, 1
        )
        assert parts.interference.baselines.baseline_ms(shard, "offer") is None
        node.process.release()

    run_virtual(run(), loop=ProcessLoop())

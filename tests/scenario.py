"""One seeded run: random load and faults, recovery, and checks of the result."""

import asyncio
import gc
import logging
import random
import uuid
from collections.abc import Awaitable, Callable, Iterator
from contextlib import contextmanager
from typing import Any
from unittest import mock

from hyssopweir.clock import Millis
from hyssopweir.contracts import TaskState

from .random_faults import Faults, start_tracking_affected_nodes
from .random_load import SERVICES, Load
from .system import DATA_CENTRES, System
from .system_checks import FINAL_STATES, find_problems
from .virtual_processes import ProcessLoop
from .virtual_time import run_virtual

START_MS: Millis = 8_000
SETTLE_LIMIT_MS: Millis = 180_000
RECOVERY_MS: Millis = 12_000


class ScenarioResult:
    """Result of a run; two runs with the same ``trace`` count as identical."""

    def __init__(self) -> None:
        self.problems: list[str] = []
        self.history: list[str] = []
        self.trace: list[Any] = []
        self.system: System | None = None
        self.load: Load | None = None


def run_seed(seed: int, faults_ms: Millis) -> ScenarioResult:
    """Run one scenario; all random values derive from ``seed``."""
    result = ScenarioResult()
    run_system(seed, lambda system: _run(system, faults_ms, result))
    return result


def run_system(seed: int, main: Callable[[System], Awaitable[None]]) -> None:
    """Run ``main`` on a new system, deterministically for each ``seed``."""

    async def run() -> None:
        system = System(seed)
        try:
            await main(system)
        finally:
            for node in (*system.nodes, *system.ended):
                node.process.release()

    logging.disable(logging.CRITICAL)
    # Garbage collection would run ``finally`` blocks of abandoned coroutines at
    # unpredictable times.
    gc.disable()
    try:
        with seeded(seed):
            run_virtual(run(), loop=ProcessLoop())
    finally:
        gc.enable()
        logging.disable(logging.NOTSET)


@contextmanager
def seeded(seed: int) -> Iterator[None]:
    """Derive random ids and the seeds of unseeded generators from ``seed``."""
    source = random.Random(f"ids {seed}")
    original, state = random.Random, random.getstate()
    random.seed(f"module {seed}")

    def create_generator(explicit: object = None) -> random.Random:
        return original(source.random() if explicit is None else explicit)  # type: ignore

    with (
        mock.patch.object(random, "Random", create_generator),
        mock.patch.object(uuid.os, "urandom", source.randbytes),  # type: ignore
    ):
        yield
    random.setstate(state)


async def _run(system: System, faults_ms: Millis, result: ScenarioResult) -> None:
    clock = system.clock
    result.system = system
    for data_centre in DATA_CENTRES:
        system.start_node(f"{data_centre}-1", data_centre)
    load, faults = Load(system), Faults(system)
    result.history, result.load = faults.history, load
    start_tracking_affected_nodes(faults)
    await clock.sleep_ms(START_MS)
    await configure(system)
    end_ms = clock.now_ms() + faults_ms
    await asyncio.gather(load.run(end_ms), faults.run(end_ms))
    await faults.heal()
    await load.finish()
    await _settle(system, load, result)
    result.problems.extend(faults.problems)
    result.problems.extend(find_problems(system, load))
    result.trace = [
        clock.now_ms(),
        system.table.commits,
        system.table.reads,
        len(load.told),
    ]


async def configure(system: System) -> None:
    """Configure the services and the team quota that the load uses."""
    node = system.nodes[0]
    keeper = node.parts.configuration
    body = {"services": SERVICES, "teams": {"buyers": {"quota_slots": 30}}}
    reply = await node.process.spawn(keeper.change(body, keeper.version))
    assert reply.is_ok(), reply
    await system.clock.sleep_ms(1_000)


async def _settle(system: System, load: Load, result: ScenarioResult) -> None:
    """Wait for all tasks to end, then resend each key and probe each instance.

    Held jobs can never run, so they are cancelled.
    """
    clock, limit_ms = system.clock, system.clock.now_ms() + SETTLE_LIMIT_MS
    await clock.sleep_ms(RECOVERY_MS)
    while clock.now_ms() < limit_ms and _jobs_with_open_tasks(system):
        for job in sorted(_jobs_with_open_tasks(system, only_held=True)):
            node = system.nodes[0]
            await node.process.spawn(node.parts.jobs.cancel(job))
        await clock.sleep_ms(1_000)
    keyed = {
        (previous.key, previous.body): previous
        for previous in load.told
        if previous.key is not None
    }
    for previous in keyed.values():
        node = system.rng.choice(system.nodes)
        await load.send(node, previous.service, previous.key, previous.body, 5_000)
    for node in system.nodes:
        request_result = await load.send(node, "price-check", None, b"last", 5_000)
        if request_result.reply is None or request_result.reply.is_err():
            result.problems.append(
                f"{node.process.name} does not serve requests: {request_result}"
            )
    await clock.sleep_ms(RECOVERY_MS)


def _jobs_with_open_tasks(system: System, only_held: bool = False) -> set[str]:
    rows = [row.value for row in system.table.scan("tasks/", "", 100_000)]
    held_states = {TaskState.HELD.value}
    return {
        row["job"]
        for row in rows
        if (
            row["state"] in held_states
            if only_held
            else row["state"] not in FINAL_STATES
        )
    }

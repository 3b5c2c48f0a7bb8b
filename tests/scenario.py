"""One seeded run: load and faults on a system, healing, and judgement."""

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

from .random_faults import Faults, start_watch
from .random_load import SERVICES, Load
from .system import DATA_CENTRES, System
from .system_checks import FINAL, problems_of
from .virtual_processes import ProcessLoop
from .virtual_time import run_virtual

START_MS: Millis = 8_000
SETTLE_MS: Millis = 180_000
LAST_MS: Millis = 12_000


class Outcome:
    """Hold what a run found; ``trace`` tells whether two runs were the same."""

    def __init__(self) -> None:
        self.problems: list[str] = []
        self.history: list[str] = []
        self.trace: list[Any] = []
        self.system: System | None = None
        self.load: Load | None = None


def run_seed(seed: int, faults_ms: Millis) -> Outcome:
    """Run one scenario; everything that is random follows from ``seed``."""
    outcome = Outcome()
    run_system(seed, lambda system: _run(system, faults_ms, outcome))
    return outcome


def run_system(seed: int, main: Callable[[System], Awaitable[None]]) -> None:
    """Run ``main`` on a new system, repeatably."""

    async def run() -> None:
        system = System(seed)
        try:
            await main(system)
        finally:
            for node in (*system.nodes, *system.ended):
                node.process.release()

    logging.disable(logging.CRITICAL)
    # A collection runs the ``finally`` blocks of abandoned coroutines at any time.
    gc.disable()
    try:
        with seeded(seed):
            run_virtual(run(), loop=ProcessLoop())
    finally:
        gc.enable()
        logging.disable(logging.NOTSET)


@contextmanager
def seeded(seed: int) -> Iterator[None]:
    """Draw ids and the seeds of unseeded generators from ``seed``."""
    source = random.Random(f"ids {seed}")
    plain, state = random.Random, random.getstate()
    random.seed(f"module {seed}")

    def generator(given: object = None) -> random.Random:
        return plain(source.random() if given is None else given)  # type: ignore

    with (
        mock.patch.object(random, "Random", generator),
        mock.patch.object(uuid.os, "urandom", source.randbytes),  # type: ignore
    ):
        yield
    random.setstate(state)


async def _run(system: System, faults_ms: Millis, outcome: Outcome) -> None:
    clock = system.clock
    outcome.system = system
    for place in DATA_CENTRES:
        system.start_node(f"{place}-1", place)
    load, faults = Load(system), Faults(system)
    outcome.history, outcome.load = faults.history, load
    start_watch(faults)
    await clock.sleep_ms(START_MS)
    await configure(system)
    end_ms = clock.now_ms() + faults_ms
    await asyncio.gather(load.run(end_ms), faults.run(end_ms))
    await faults.heal()
    await load.finish()
    await _settle(system, load, outcome)
    outcome.problems.extend(faults.problems)
    outcome.problems.extend(problems_of(system, load))
    outcome.trace = [
        clock.now_ms(),
        system.table.commits,
        system.table.reads,
        len(load.told),
    ]


async def configure(system: System) -> None:
    """Put the services of the load into force."""
    node = system.nodes[0]
    keeper = node.parts.configuration
    body = {"services": SERVICES, "teams": {"buyers": {"quota_slots": 30}}}
    reply = await node.process.spawn(keeper.change(body, keeper.version))
    assert reply.is_ok(), reply
    await system.clock.sleep_ms(1_000)


async def _settle(system: System, load: Load, outcome: Outcome) -> None:
    """Wait for the work to end, cancel what can never run, ask again for each key."""
    clock, limit_ms = system.clock, system.clock.now_ms() + SETTLE_MS
    await clock.sleep_ms(LAST_MS)
    while clock.now_ms() < limit_ms and _open_tasks(system):
        for job in sorted(_open_tasks(system, held=True)):
            node = system.nodes[0]
            await node.process.spawn(node.parts.jobs.cancel(job))
        await clock.sleep_ms(1_000)
    keyed = {(item.key, item.body): item for item in load.told if item.key is not None}
    for item in keyed.values():
        node = system.rng.choice(system.nodes)
        await load.send(node, item.service, item.key, item.body, 5_000)
    for node in system.nodes:
        told = await load.send(node, "price-check", None, b"last", 5_000)
        if told.reply is None or told.reply.is_err():
            outcome.problems.append(f"{node.process.name} does not serve: {told}")
    await clock.sleep_ms(LAST_MS)


def _open_tasks(system: System, held: bool = False) -> set[str]:
    rows = [row.value for row in system.table.scan("tasks/", "", 100_000)]
    wanted = {TaskState.HELD.value}
    return {
        row["job"]
        for row in rows
        if (row["state"] in wanted if held else row["state"] not in FINAL)
    }

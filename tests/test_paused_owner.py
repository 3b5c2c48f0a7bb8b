"""Owners that were paused for seconds and replaced in the meantime."""

import pytest

from hyssopweir import ownership_proof
from hyssopweir.agent_link import MIN_CLOCK_RATE, lease_times
from hyssopweir.cell_heartbeats import TAKEOVER_MS
from hyssopweir.events import Event, EventLog
from hyssopweir.ownership_proof import MAX_PAUSE_MS, TICK_MS, OwnershipProof
from tests.cell_simulation import CellSimulation, build_step, build_workflow
from tests.job_checks import events_of
from tests.virtual_time import VirtualClock, run_virtual


async def play_pause(pause_ms: int, seed: int) -> CellSimulation:
    """Freeze the owner; when it wakes, it reaches only one worker, its successor not.

    Other workers would tell it at once that it was replaced. The worker is unlisted.
    """
    simulation = CellSimulation(workers=3, instances=3, seed=seed)
    await simulation.sleep_ms(1_500)
    step = build_step(6, is_endless=True)
    assert await simulation.submit(build_workflow("watch", step))
    await simulation.sleep_ms(1_500)
    owner = simulation.owner()
    worker = max(simulation.workers.values(), key=lambda fake: len(fake.running))
    for instance in simulation.instances:
        instance.agent.cut_workers = {worker.entry.worker_id}
    owner.agent.cut_workers = set(simulation.workers) - {worker.entry.worker_id}
    worker.is_listed = False
    owner.set_frozen(True)
    await simulation.sleep_ms(pause_ms)
    owner.set_frozen(False)
    await simulation.sleep_ms(8_000)
    return simulation


@pytest.mark.parametrize("pause_ms", range(1_000, 7_001, 250))
def test_owner_that_wakes_renews_no_lease(pause_ms: int) -> None:
    """Guards against a run that a former owner keeps alive beside the next one."""
    for seed in range(3):
        simulation = run_virtual(play_pause(pause_ms, seed))
        assert simulation.work.breaches == []


def test_pause_is_logged_once_and_ends_with_a_proof() -> None:
    """Guards against an owner that stays stopped, or stops again, after one pause."""

    async def main() -> None:
        simulation = CellSimulation(workers=2, instances=1)
        await simulation.sleep_ms(1_500)
        step = build_step(4, is_endless=True)
        assert await simulation.submit(build_workflow("watch", step))
        await simulation.sleep_ms(1_000)
        simulation.owner().set_frozen(True)
        await simulation.sleep_ms(2_000)
        simulation.instances[0].set_frozen(False)
        await simulation.sleep_ms(6_000)
        assert len(events_of(simulation, Event.OWNER_PAUSED)) == 1
        # Its leases outlast the pause, and it renews them again.
        assert sum(len(fake.running) for fake in simulation.workers.values()) == 4
        assert simulation.work.starts == 4

    run_virtual(main())


def test_pause_counts_while_the_machine_sleeps() -> None:
    """Guards against a pause that the monotonic clock does not count."""

    class SleptClock(VirtualClock):
        slept_ms = 0

        def boot_ms(self) -> int:
            return self.now_ms() + self.slept_ms

    async def main() -> None:
        clock = SleptClock()
        proof = OwnershipProof("c0", clock, EventLog("kista-1", "kista", clock))
        proof.record_proof(clock.boot_ms())
        clock.slept_ms += MAX_PAUSE_MS
        assert proof.is_valid()
        clock.slept_ms += MAX_PAUSE_MS + 1
        assert not proof.is_valid()
        # A call that was sent before the pause proves nothing.
        proof.record_proof(clock.boot_ms() - 1)
        assert not proof.is_valid()
        proof.record_proof(clock.boot_ms())
        assert proof.is_valid()

    run_virtual(main())


@pytest.mark.parametrize("longest_ms", [4_000, 6_000, 10_000])
def test_successor_waits_longer_than_a_pause_and_a_lease(longest_ms: int) -> None:
    """Guards against a change of one constant that breaks the others."""
    times = lease_times(longest_ms)
    last_expiry_ms = MAX_PAUSE_MS + TICK_MS + times.lease_ms / MIN_CLOCK_RATE
    assert last_expiry_ms <= TAKEOVER_MS + times.unlisted_ms
    assert ownership_proof.WAIT_MS < TICK_MS

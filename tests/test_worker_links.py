"""Claims on the workers of an owned shard and their leases."""

from tests.request_simulation import RequestSimulation, run_in_simulation


def test_links_detect_restart_and_convert_lease_ends() -> None:
    """Guards against a lease that outlives its term after a restart or a long poll.

    The lease end is converted from the local clock to the clock of the worker.
    """

    async def scenario(simulation: RequestSimulation) -> None:
        links, worker = simulation.nodes["a"].links, simulation.workers[0]
        restarted: list[str] = []
        links.on_worker_restarted(lambda worker: restarted.append(worker.worker_id))
        old_fence = links.fence_of(worker.worker_id)
        await simulation.clock.sleep_ms(1_000)
        now_ms = simulation.clock.now_ms()
        lease_until_ms = links.lease_until_ms(worker.worker_id)
        assert lease_until_ms is not None
        assert now_ms + 14_990 <= lease_until_ms <= now_ms + 15_000
        assert links.lease_sent_until_ms(worker.worker_id) == now_ms + 15_000
        simulation.fleet.restart(worker.worker_id)
        await simulation.clock.sleep_ms(5_000)
        assert restarted == [worker.worker_id]
        assert links.fence_of(worker.worker_id) != old_fence
        simulation.listing.listings = simulation.listing.listings[1:]
        await simulation.clock.sleep_ms(2_000)
        assert links.fence_of(worker.worker_id) is None
        assert links.held_since_ms("kista/r0") is not None

    run_in_simulation(scenario)

"""Links to the workers of an owned shard."""

from tests.request_simulation import RequestSimulation, run_in_simulation


def test_links_follow_restart_and_convert_leases() -> None:
    """Guards against a lease that outlives its term after a restart or a long poll."""

    async def story(world: RequestSimulation) -> None:
        links, worker = world.nodes["a"].links, world.workers[0]
        restarted: list[str] = []
        links.on_worker_restarted(lambda worker: restarted.append(worker.worker_id))
        before = links.fence_of(worker.worker_id)
        await world.clock.sleep_ms(1_000)
        now_ms = world.clock.now_ms()
        lease_until_ms = links.lease_until_ms(worker.worker_id)
        assert lease_until_ms is not None
        assert now_ms + 14_990 <= lease_until_ms <= now_ms + 15_000
        assert links.lease_sent_until_ms(worker.worker_id) == now_ms + 15_000
        world.fleet.restart(worker.worker_id)
        await world.clock.sleep_ms(5_000)
        assert restarted == [worker.worker_id]
        assert links.fence_of(worker.worker_id) != before
        world.listing.listings = world.listing.listings[1:]
        await world.clock.sleep_ms(2_000)
        assert links.fence_of(worker.worker_id) is None
        assert links.held_since_ms("kista/r0") is not None

    run_in_simulation(story)

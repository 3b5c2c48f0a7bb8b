"""Leaving, retired and gone workers in the local copy of the instance list."""

import pytest

from hyssopweir.clock import Millis
from hyssopweir.fleet_view import FleetView
from tests.builders import build_listings, build_log, build_workers
from tests.fakes import FakeInstanceList
from tests.virtual_time import VirtualClock, run_virtual

WORKERS = build_workers(2)
FIRST_ID, SECOND_ID = (worker.worker_id for worker in WORKERS)


@pytest.mark.parametrize(
    ("listed_at_start", "expected_ms"),
    [(True, 5_000), (False, 0)],
    ids=["left the list while it was read", "left before the first read"],
)
def test_unlisted_worker_is_gone(listed_at_start: bool, expected_ms: Millis) -> None:
    """Guards against tasks that wait forever for a worker that is no longer listed."""

    async def main() -> Millis:
        clock = VirtualClock()
        first = WORKERS if listed_at_start else WORKERS[1:]
        listing = FakeInstanceList(build_listings(first))
        view = FleetView(listing, clock, build_log(clock), 500)
        start_ms = clock.now_ms()
        await view.refresh()
        await clock.sleep_ms(5_000)
        listing.listings = build_listings(WORKERS[1:])
        await view.refresh()
        assert view.gone_since_ms(SECOND_ID) is None
        since_ms = view.gone_since_ms(FIRST_ID)
        assert since_ms is not None
        return since_ms - start_ms

    assert run_virtual(main()) == expected_ms


def test_unavailable_list_reports_no_worker_as_gone() -> None:
    """Guards against treating an outage of the list as the loss of all workers."""

    async def main() -> None:
        clock = VirtualClock()
        listing = FakeInstanceList(build_listings(WORKERS))
        listing.down = True
        view = FleetView(listing, clock, build_log(clock), 500)
        await view.refresh()
        assert view.gone_since_ms(FIRST_ID) is None

    run_virtual(main())


def test_retired_worker_is_leaving_until_restored() -> None:
    """Guards against new work for a worker that an operator has retired."""

    async def main() -> None:
        clock = VirtualClock()
        retired: list[str] = []
        listing = FakeInstanceList(build_listings(WORKERS))
        view = FleetView(listing, clock, build_log(clock), 500, lambda: retired)
        await view.refresh()
        assert view.leaving_since_ms(FIRST_ID) is None
        retired.append(FIRST_ID)
        await view.refresh()
        assert view.leaving_since_ms(FIRST_ID) == clock.now_ms()
        assert view.leaving_since_ms(SECOND_ID) is None
        retired.clear()
        await view.refresh()
        assert view.leaving_since_ms(FIRST_ID) is None

    run_virtual(main())

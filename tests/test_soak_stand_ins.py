"""Stand-ins of the soak: worker and proxy behave as the platform's pages say."""

import asyncio
import random
from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import asynccontextmanager
from typing import Any

import aiohttp
import pytest
from aiohttp import web

from soak.events import (
    EndAcknowledged,
    EndListed,
    EventRecord,
    RunEnded,
    RunStarted,
)
from soak.proxy import HOST, LinkState, Proxy
from soak.worker import Shape, Work, Worker, checkpoint
from tests.ports import free_ports

SHAPE = Shape("m-1", "service", "north", 4_000, 4_000, ("a", "r1"))
TASK = "00000000000000aa.0.0.0"
LEASE_MS = 300
# The client finds out within this time that its connection was reset.
SETTLE_S = 0.05


class Lab:
    """One worker behind a proxy."""

    def __init__(self, work: Work, session: aiohttp.ClientSession) -> None:
        self.record = EventRecord()
        self.worker = self.new_worker("w1", work)
        self.other = self.new_worker("w2", work)
        self.session = session
        self.proxy: Proxy
        self.other_address = (HOST, 0)

    def new_worker(self, worker_id: str, work: Work) -> Worker:
        return Worker(
            worker_id,
            SHAPE,
            self.record,
            lambda key: work,
            lambda req: ("edge-1", self.is_late(req)),
            random.Random(1),
        )

    def is_late(self, req: web.BaseRequest) -> bool:
        assert req.transport is not None
        return req.transport.get_extra_info("peername")[1] in self.proxy.late_ports

    def clock_ms(self) -> int:
        """Return the worker's clock without a call."""
        return int(self.worker.entry((HOST, 0))["clockMs"])

    async def post(
        self, path: str, timeout_s: float = 2.0, worker_id: str = "w1", **body: Any
    ) -> tuple[int, dict[str, Any]]:
        async with self.session.post(
            f"http://{HOST}:{self.proxy.port}{path}",
            json=body,
            headers={"Expected-Instance": worker_id},
            timeout=aiohttp.ClientTimeout(timeout_s),
        ) as response:
            return response.status, await response.json()

    async def start(self, number: int = 1, **fields: Any) -> tuple[int, dict[str, Any]]:
        deadline_ms = (await self.hold())["clockMs"] + fields.pop("lease_ms", LEASE_MS)
        body = {"task": TASK, "run": number, "deadlineMs": deadline_ms, **fields}
        return await self.post("/run-start", **body)

    async def hold(self, **fields: Any) -> dict[str, Any]:
        return (await self.post("/hold", **fields))[1]


@asynccontextmanager
async def open_lab(work: Work) -> AsyncIterator[Lab]:
    async with aiohttp.ClientSession() as session:
        lab = Lab(work, session)
        addresses, runners = [], []
        for worker in (lab.worker, lab.other):
            runner = web.ServerRunner(web.Server(worker.handle))
            await runner.setup()
            await web.TCPSite(runner, HOST, 0).start()
            runners.append(runner)
            addresses.append((HOST, runner.addresses[0][1]))
        lab.proxy = Proxy(free_ports(1)[0], addresses[0])
        lab.other_address = addresses[1]
        await lab.proxy.open()
        try:
            yield lab
        finally:
            await lab.proxy.close()
            for runner in runners:
                await runner.cleanup()


def play(case: Callable[[Lab], Awaitable[None]], work: Work = Work(100)) -> None:
    async def run() -> None:
        async with open_lab(work) as lab:
            await case(lab)

    asyncio.run(run())


def ends(lab: Lab) -> list[str]:
    return [event.how for event in lab.record.events if isinstance(event, RunEnded)]


def starts_late(lab: Lab) -> list[bool]:
    events = lab.record.events
    return [event.is_late for event in events if isinstance(event, RunStarted)]


def acknowledged(lab: Lab) -> int:
    return sum(isinstance(event, EndAcknowledged) for event in lab.record.events)


def listed(lab: Lab) -> int:
    return sum(isinstance(event, EndListed) for event in lab.record.events)


def test_end_is_listed_until_it_is_acknowledged() -> None:
    async def case(lab: Lab) -> None:
        assert (await lab.start(lease_ms=5_000))[0] == 200
        end = [1, TASK, 1, "done", ""]
        assert (await lab.hold(waitMs=1_000))["finished"] == [end]
        assert (await lab.hold())["finished"] == [end]
        assert acknowledged(lab) == 0
        assert (await lab.hold(acknowledged=1))["finished"] == []
        assert acknowledged(lab) == 1

    play(case)


def test_end_is_not_taken_note_of_after_the_lease_has_expired() -> None:
    async def case(lab: Lab) -> None:
        await lab.start()
        await asyncio.sleep(0.5)
        assert (await lab.hold(acknowledged=1))["finished"] == []
        assert ends(lab) == ["done"]
        assert acknowledged(lab) == 0

    play(case)


def test_end_counts_as_listed_unless_the_lease_expires_soon_after() -> None:
    async def case(lab: Lab) -> None:
        await lab.start(lease_ms=5_000)
        await lab.hold(waitMs=1_000)
        assert listed(lab) == 0
        await asyncio.sleep(0.15)
        assert listed(lab) == 1
        await lab.hold()
        await asyncio.sleep(0.15)
        assert listed(lab) == 1

    play(case)

    async def lapsed_case(lab: Lab) -> None:
        await lab.start(lease_ms=200)
        await lab.hold(waitMs=1_000)
        await asyncio.sleep(0.3)
        assert ends(lab) == ["done"]
        assert listed(lab) == 0

    play(lapsed_case, Work(150))


def test_starved_worker_ends_a_lapsed_run_when_it_goes_on() -> None:
    """Guards against a lease that ends in time although nothing handles its end."""

    async def case(lab: Lab) -> None:
        await lab.start()
        lab.worker.stand_still()
        await asyncio.sleep(0.6)
        assert ends(lab) == []
        lab.worker.resume(is_timer_first=True, keeps_replies=False)
        assert ends(lab) == ["lapsed"]
        [end] = [event for event in lab.record.events if isinstance(event, RunEnded)]
        assert lab.record.now_ms() - end.at_ms < 100

    play(case, Work(10_000))


def test_worker_with_a_late_timer_ends_a_lapsed_run_later() -> None:
    async def case(lab: Lab) -> None:
        lab.worker.timer_delay_ms = 300
        await lab.start()
        await asyncio.sleep(0.45)
        assert len((await lab.hold())["running"]) == 1
        await asyncio.sleep(0.3)
        assert ends(lab) == ["lapsed"]
        [begin] = [e for e in lab.record.events if isinstance(e, RunStarted)]
        [end] = [e for e in lab.record.events if isinstance(e, RunEnded)]
        assert end.at_ms - begin.at_ms >= 300 + LEASE_MS - SETTLE_S * 1_000

    play(case, Work(10_000))


def test_run_of_a_starved_worker_ends_at_its_time() -> None:
    async def case(lab: Lab) -> None:
        await lab.start()
        lab.worker.stand_still()
        await asyncio.sleep(0.6)
        assert ends(lab) == ["done"]

    play(case, Work(400))


def test_call_that_is_handled_first_extends_a_lease_that_has_expired() -> None:
    async def case(lab: Lab) -> None:
        await lab.start()
        lab.worker.stand_still()
        deadline_ms = lab.clock_ms() + 2_000
        call = asyncio.create_task(lab.hold(deadlineMs=deadline_ms))
        await asyncio.sleep(0.6)
        lab.worker.resume(is_timer_first=False, keeps_replies=False)
        assert len((await call)["running"]) == 1
        assert ends(lab) == []

    play(case, Work(10_000))


def test_replies_that_are_kept_are_sent_together() -> None:
    async def case(lab: Lab) -> None:
        await lab.hold()
        lab.worker.stand_still()
        calls = [asyncio.create_task(lab.hold()) for _ in range(3)]
        await asyncio.sleep(SETTLE_S)
        lab.worker.resume(is_timer_first=True, keeps_replies=True)
        await asyncio.sleep(SETTLE_S)
        assert not any(call.done() for call in calls)
        lab.worker.resume(is_timer_first=True, keeps_replies=False)
        clocks = [(await call)["clockMs"] for call in calls]
        assert lab.clock_ms() - max(clocks) >= 1_000 * SETTLE_S * 0.9

    play(case)


def test_start_that_a_starved_worker_carries_out_late_is_late() -> None:
    async def case(lab: Lab) -> None:
        body = {"task": TASK, "run": 1, "deadlineMs": lab.clock_ms() + 5_000}
        lab.worker.stand_still()
        with pytest.raises(TimeoutError):
            await lab.post("/run-start", 0.4, **body)
        lab.worker.resume(is_timer_first=True, keeps_replies=False)
        await asyncio.sleep(SETTLE_S)
        assert starts_late(lab) == [True]
        [run] = [e for e in lab.record.events if isinstance(e, RunStarted)]
        assert run.sender == "edge-1"

    play(case)


def test_run_ends_when_its_lease_expires_on_the_worker_clock() -> None:
    async def case(lab: Lab) -> None:
        await lab.start()
        await asyncio.sleep(0.2)
        await lab.hold(deadlineMs=(await lab.hold())["clockMs"] + LEASE_MS)
        await asyncio.sleep(0.2)
        assert ends(lab) == []
        await asyncio.sleep(0.2)
        assert ends(lab) == ["lapsed"]
        [end] = [event for event in lab.record.events if isinstance(event, RunEnded)]
        assert 0 <= lab.record.now_ms() - end.at_ms <= LEASE_MS

    play(case, Work(10_000))


def test_lower_token_is_rejected_and_a_stopped_run_does_not_start() -> None:
    async def case(lab: Lab) -> None:
        await lab.hold(fencingToken=3)
        assert (await lab.post("/hold", fencingToken=2))[1]["reason"] == "fence"
        assert (await lab.post("/run-stop", task=TASK, run=2, fencingToken=3))[0] == 200
        deadline_ms = (await lab.hold(fencingToken=3))["clockMs"] + LEASE_MS
        body = {"task": TASK, "deadlineMs": deadline_ms, "fencingToken": 3}
        assert (await lab.post("/run-start", run=2, **body))[1]["reason"] == "old"
        assert (await lab.post("/run-start", run=3, **body))[0] == 200
        late = {**body, "deadlineMs": 0}
        assert (await lab.post("/run-start", run=4, **late))[1]["reason"] == "late"

    play(case)


def test_saved_progress_shortens_the_next_run() -> None:
    async def case(lab: Lab) -> None:
        await lab.start(checkpointed=checkpoint(TASK, 9_900), lease_ms=5_000)
        await lab.hold(waitMs=1_500)
        assert ends(lab) == ["done"]

    play(case, Work(10_000, checkpoint_ms=1_000))


def test_other_worker_replies_that_it_is_not_meant() -> None:
    async def case(lab: Lab) -> None:
        with lab.proxy.misrouted(lab.other_address):
            status, data = await lab.post("/hold")
            assert status == 421
            assert data["born"] == lab.other.life.born_ms
        await asyncio.sleep(SETTLE_S)
        assert (await lab.post("/hold"))[0] == 200

    play(case)


def test_refusing_proxy_leaves_the_worker_at_work() -> None:
    async def case(lab: Lab) -> None:
        await lab.start(lease_ms=5_000)
        await lab.proxy.refuse()
        lab.proxy.reset()
        await asyncio.sleep(SETTLE_S)
        with pytest.raises(aiohttp.ClientConnectorError):
            await lab.post("/hold")
        await asyncio.sleep(0.15)
        assert ends(lab) == ["done"]
        await lab.proxy.admit()
        assert len((await lab.hold())["finished"]) == 1

    play(case)


def test_request_that_is_cut_arrives_when_the_cut_is_over() -> None:
    async def case(lab: Lab) -> None:
        deadline_ms = lab.clock_ms() + 5_000
        with lab.proxy.degraded(LinkState(cuts_requests=True)):
            with pytest.raises(TimeoutError):
                await lab.post("/hold", 0.2, deadlineMs=deadline_ms)
            assert lab.worker.lease_until_ms == 0
        await asyncio.sleep(0.2)
        assert lab.worker.lease_until_ms == deadline_ms

    play(case)


def test_request_is_carried_out_when_its_reply_is_cut() -> None:
    async def case(lab: Lab) -> None:
        deadline_ms = lab.clock_ms() + 5_000
        with (
            lab.proxy.degraded(LinkState(cuts_replies=True)),
            pytest.raises(TimeoutError),
        ):
            await lab.post("/hold", 0.2, deadlineMs=deadline_ms)
        assert lab.worker.lease_until_ms == deadline_ms

    play(case)


def test_start_that_was_held_up_is_late_although_its_sender_is_gone() -> None:
    """Guards against an order that counts as sent when it arrives."""

    async def case(lab: Lab) -> None:
        body = {"task": TASK, "run": 1, "deadlineMs": lab.clock_ms() + 5_000}
        with (
            lab.proxy.degraded(LinkState(cuts_requests=True)),
            pytest.raises(TimeoutError),
        ):
            await lab.post("/run-start", 0.4, **body)
        await asyncio.sleep(0.2)
        await lab.start(2, lease_ms=5_000)
        await lab.start(3, lease_ms=5_000)
        assert starts_late(lab) == [True, False, False]

    play(case)


def test_request_on_an_open_connection_is_held_up_beside_a_new_one() -> None:
    async def case(lab: Lab) -> None:
        await lab.hold()
        with lab.proxy.requests_held():
            with pytest.raises(TimeoutError):
                await lab.post("/hold", 0.4, deadlineMs=lab.clock_ms() + 4_000)
            await lab.hold()
            assert lab.worker.lease_until_ms == 0
        await asyncio.sleep(SETTLE_S)
        assert lab.worker.lease_until_ms > 0

    play(case)


def test_silenced_connection_stays_silent_and_a_new_one_works() -> None:
    async def case(lab: Lab) -> None:
        await lab.hold()
        lab.proxy.silence()
        with pytest.raises(TimeoutError):
            await lab.post("/hold", 0.2)
        assert (await lab.post("/hold"))[0] == 200

    play(case)

"""The path of a request through several instances, judged at the workers."""

import asyncio
import random
from collections.abc import Callable
from typing import Any

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from result import Err, Result

from hyssopweir.clock import Millis
from hyssopweir.codes import Code, Failure, Outcome, unknown
from hyssopweir.contracts import KeyState
from hyssopweir.events import Event
from hyssopweir.fleet import Listing
from hyssopweir.idempotency import INLINE_ANSWER_BYTES, row_name
from hyssopweir.peers import Params
from hyssopweir.request_messages import EXECUTE
from hyssopweir.retries import Backoff, RetryBudget
from tests.builders import (
    build_request,
)
from tests.request_simulation import (
    Reply,
    RequestSimulation,
    build_keyed_request,
    is_not_run,
    run_in_simulation,
)


@pytest.mark.parametrize("kill_ms", range(0, 90, 4))
@pytest.mark.parametrize("receiver", ["c", "b"])
def test_owner_killed_during_keyed_request(kill_ms: int, receiver: str) -> None:
    """Guards against a second run, or a false refusal, after a takeover."""

    async def story(world: RequestSimulation) -> None:
        if receiver == "b":
            world.give("huddinge/r0", "a")
            await world.clock.sleep_ms(50)
        world.later(kill_ms, lambda: world.kill_owner("a", "c"))
        first = await world.send(receiver, build_keyed_request(0), 15_000)
        again = await world.send(
            "c", build_keyed_request(0, request_id="again"), 15_000
        )
        world.judge("k0", first, again)
        assert again.is_ok(), again
        assert world.runs("k0") == 1

    run_in_simulation(story)


@pytest.mark.parametrize("claim_ms", [0, 600])
@pytest.mark.parametrize("is_keyed", [False, True])
def test_silent_owner_is_given_up_when_its_session_ends(
    is_keyed: bool, claim_ms: Millis
) -> None:
    """Guards against callers that wait for a paused owner although it is replaced."""

    async def story(world: RequestSimulation) -> None:
        async def never_answer(params: Params, expires_ms: Millis) -> Any:
            await world.clock.sleep_ms(60_000)

        world.give("huddinge/r0", "a")
        world.nodes["a"].peers.register(EXECUTE, never_answer)
        world.later(3_000, lambda: world.end_session("a"))
        world.later(3_000 + claim_ms, lambda: world.give_all("a", "c"))
        began_ms = world.clock.now_ms()
        req = build_keyed_request(0) if is_keyed else build_request(0)
        reply = await world.send("b", req, 15_000)
        assert reply.is_ok(), reply
        assert world.clock.now_ms() - began_ms < 4_500

    run_in_simulation(story)


@pytest.mark.parametrize("offset_ms", [0, 1, 3, 7, 20, 65, 80])
@pytest.mark.parametrize("pair", ["ab", "bc", "ac", "cc"])
def test_same_key_at_two_instances(offset_ms: int, pair: str) -> None:
    """Guards against two runs when a caller sends a request twice."""

    async def story(world: RequestSimulation) -> None:
        first = asyncio.create_task(world.send(pair[0], build_keyed_request(0), 5_000))
        await world.clock.sleep_ms(offset_ms)
        second = await world.send(
            pair[1], build_keyed_request(0, request_id="twin"), 5_000
        )
        replies = [await first, second]
        assert all(reply.is_ok() for reply in replies), replies
        assert replies[0].unwrap().body == replies[1].unwrap().body
        assert world.runs("k0") == 1

    run_in_simulation(story)


@pytest.mark.parametrize("body", [b"other", b"smorgasbord 0"])
def test_key_of_another_request_is_refused(body: bytes) -> None:
    """Guards against the answer to another body or another service."""

    async def story(world: RequestSimulation) -> None:
        first = await world.send("a", build_keyed_request(0), 5_000)
        service = "offer" if body == b"smorgasbord 0" else "slow-offer"
        other = build_keyed_request(0, service, request_id="other", body=body)
        second = await world.send("b", other, 5_000)
        assert first.is_ok()
        assert second.unwrap_err().code is Code.KEY_REUSED
        assert world.runs("k0") == 1

    run_in_simulation(story)


@pytest.mark.parametrize("share", [0.2, 0.6, 1.0])
def test_lost_table_replies(share: float) -> None:
    """Guards against a dispatch or a refusal that trusts a lost reply."""

    async def story(world: RequestSimulation) -> None:
        for node in world.nodes.values():
            node.table.lost_reply_share = share
        sends = [
            world.send("abc"[n % 3], build_keyed_request(n), 8_000) for n in range(24)
        ]
        replies = await asyncio.gather(*sends)
        for node in world.nodes.values():
            node.table.lost_reply_share = 0.0
        await world.clock.sleep_ms(5_000)
        for n, reply in enumerate(replies):
            world.judge(f"k{n}", reply)
            row = world.table.read(row_name("planner", f"k{n}"))
            assert row is None or row.value["state"] != KeyState.DISPATCHED
        again = [
            world.send("c", build_keyed_request(n, request_id=f"x{n}"), 8_000)
            for n in range(24)
        ]
        assert all(reply.is_ok() for reply in await asyncio.gather(*again))
        assert all(world.runs(f"k{n}") == 1 for n in range(24))

    run_in_simulation(story)


@pytest.mark.parametrize("is_applied", [False, True])
def test_unconfirmed_dispatch_is_settled(is_applied: bool) -> None:
    """Guards against a run, or a record left open, after an unconfirmed write."""

    async def story(world: RequestSimulation) -> None:
        node, key = world.nodes["a"], row_name("planner", "k0")
        commit = node.table.commit

        async def lose(*args: Any) -> Result[dict[str, int], Failure]:
            node.table.down = is_applied
            if is_applied and node.store.is_up:
                world.table.commit(*args)
            return Err(unknown(Code.STORE_OUTCOME_UNKNOWN, "no reply"))

        for worker in world.fleet.workers.values():
            worker.service_ms = {"slow-offer": 2_000}
        node.table.commit = lose  # type: ignore[method-assign]
        failure = (await world.send("a", build_keyed_request(0), 10_000)).unwrap_err()
        assert failure.code is Code.STORE_OUTCOME_UNKNOWN
        assert failure.extra["attempt"] == "not_run"
        assert node.keys.unconfirmed == 1
        node.table.commit, node.table.down = commit, False  # type: ignore[method-assign]
        assert (world.table.read(key) is not None) == is_applied
        again = build_keyed_request(0, request_id="again")
        assert (await world.send("a", again, 9_000)).is_ok()
        assert node.keys.unconfirmed == 0
        row = world.table.read(key)
        assert row is not None
        assert row.value["state"] == KeyState.DONE
        assert world.runs("k0") == 1

    run_in_simulation(story)


def test_table_down() -> None:
    """Guards against idempotent work that stops, or keyed work that starts."""

    async def story(world: RequestSimulation) -> None:
        running = asyncio.create_task(world.send("a", build_keyed_request(0), 5_000))
        await world.clock.sleep_ms(30)
        for node in world.nodes.values():
            node.table.down = True
        served = await world.send("c", build_request(1), 1_000)
        refused = await world.send("c", build_keyed_request(2), 1_000)
        assert served.is_ok()
        assert refused.unwrap_err().code is Code.STORE_UNAVAILABLE
        assert refused.unwrap_err().extra["attempt"] == "not_run"
        assert (await running).is_ok()
        assert world.runs("k2") == 0
        for node in world.nodes.values():
            node.table.down = False
        await world.clock.sleep_ms(3_000)
        again = await world.send("b", build_keyed_request(0, request_id="again"), 1_000)
        assert again.is_ok()
        assert world.runs("k0") == 1

    run_in_simulation(story)


@pytest.mark.parametrize("size", [10, INLINE_ANSWER_BYTES + 1])
@pytest.mark.parametrize("down", [False, True])
def test_recorded_answer_is_whole(size: int, down: bool) -> None:
    """Guards against a repeated answer that is cut off or lost."""

    async def story(world: RequestSimulation) -> None:
        world.objects.down = down
        body = random.Random(size).randbytes(size)
        first = await world.send("a", build_keyed_request(0, body=body), 2_000)
        world.objects.down = False
        await world.clock.sleep_ms(3_000)
        again = await world.send(
            "b", build_keyed_request(0, body=body, request_id="x"), 2_000
        )
        assert first.unwrap().body == again.unwrap().body
        assert world.runs("k0") == 1

    run_in_simulation(story)


@pytest.mark.parametrize("fault", ["kill", "restart"])
@pytest.mark.parametrize("at_ms", [0, 3, 10, 40, 70])
@pytest.mark.parametrize("is_keyed", [False, True])
def test_worker_fails_during_request(fault: str, at_ms: int, is_keyed: bool) -> None:
    """Guards against a second run of an offer and against a lost price check."""

    async def story(world: RequestSimulation) -> None:
        req = build_keyed_request(0) if is_keyed else build_request(0)

        def fail_busy_workers() -> None:
            for worker_id, worker in world.fleet.workers.items():
                if worker.used_slots():
                    getattr(world.fleet, fault)(worker_id)

        world.later(at_ms, fail_busy_workers)
        reply = await world.send("c", req, 6_000)
        if is_keyed:
            await world.clock.sleep_ms(8_000)
            again = await world.send("b", req._replace(request_id="x"), 4_000)
            world.judge("k0", reply, again)
        else:
            assert reply.is_ok(), reply

    run_in_simulation(story, workers=3)


def test_frozen_worker_answers_after_the_deadline() -> None:
    """Guards against a slot that is given twice and a second run of a late delivery."""

    async def story(world: RequestSimulation) -> None:
        worker_id = world.workers[0].worker_id
        world.fleet.kill(world.workers[1].worker_id)
        await world.clock.sleep_ms(4_000)
        world.fleet.freeze(worker_id)
        late = await world.send("a", build_keyed_request(0), 300)
        assert late.unwrap_err().outcome is Outcome.UNKNOWN
        assert world.nodes["a"].ledger.in_flight(worker_id) == 1
        world.later(2_000, lambda: world.fleet.resume(worker_id))
        again = await world.send(
            "a", build_keyed_request(0, request_id="again"), 10_000
        )
        assert again.is_ok()
        assert world.runs("k0") == 1
        await world.clock.sleep_ms(3_000)
        assert world.nodes["a"].ledger.in_flight(worker_id) == 0
        assert world.nodes["a"].ledger.free(worker_id, is_task=False) == 8

    run_in_simulation(story)


@pytest.mark.parametrize("count", [150, 400])
def test_overload_is_refused_truthfully(count: int) -> None:
    """Guards against work beyond the slots and refusals of requests that run."""

    async def story(world: RequestSimulation) -> None:
        sends = [
            world.send("abc"[n % 3], build_keyed_request(n), 400) for n in range(count)
        ]
        replies = await asyncio.gather(*sends)
        await world.clock.sleep_ms(2_000)
        for n, reply in enumerate(replies):
            world.judge(f"k{n}", reply)
        refused = [reply for reply in replies if is_not_run(reply)]
        assert sum(reply.is_ok() for reply in replies) > 60
        assert len(refused) > count // 10
        load = world.nodes["a"].dispatcher.load()["shards"]["kista/r0"]
        assert load == {"free": 16, "queued": 0, "wait_ms": 0}

    run_in_simulation(story, queue_per_shard=30)


def test_queue_serves_urgent_requests_first() -> None:
    """Guards against an urgent request that waits behind ordinary ones."""

    async def story(world: RequestSimulation) -> None:
        ends: list[str] = []

        async def send(name: str, urgent: bool, within_ms: int) -> None:
            req = build_request(0, request_id=name, urgent=urgent)
            assert (await world.send("a", req, within_ms)).is_ok()
            ends.append(name)

        first = [send(f"first-{n}", False, 1_000) for n in range(8)]
        rest = [
            send("late", False, 9_000),
            send("soon", False, 5_000),
            send("urgent", True, 9_000),
        ]
        filler = [send(f"filler-{n}", False, 7_000) for n in range(7)]
        await asyncio.gather(*first, *rest, *filler)
        order = [ends.index(name) for name in ("urgent", "soon", "late")]
        assert order == sorted(order)
        assert ends.index("late") >= 16

    run_in_simulation(story, workers=1)


@pytest.mark.parametrize(
    ("is_told", "listed_after_ms"), [(True, 0), (True, 2_000), (False, 0)]
)
def test_leaving_worker_gets_no_new_work(is_told: bool, listed_after_ms: int) -> None:
    """Guards against work for a worker that leaves, if only it or the list says so."""

    async def story(world: RequestSimulation) -> None:
        leaving = world.workers[0]

        def show() -> None:
            world.listing.listings[0] = Listing(leaving, leaving=True)

        for n in range(100):
            if n == 20 and is_told:
                world.fleet.workers[leaving.worker_id].leave()
            if n == 20:
                world.later(listed_after_ms, show)
            reply = await world.send("c", build_request(n), 1_000)
            assert reply.is_ok()
            await world.clock.sleep_ms(50)
        given = [
            record
            for record in world.nodes["a"].log
            if record.event is Event.REQUEST_DISPATCHED
            and record.fields["worker"] == leaving.worker_id
            and int(record.fields["request_id"].removeprefix("req-")) >= 30
        ]
        assert given == []

    run_in_simulation(story)


def test_refusal_after_a_lost_try_is_not_called_not_run() -> None:
    """Guards against "not run" for a price check whose first try did run."""

    async def story(world: RequestSimulation) -> None:
        world.network.cut.update({("a", "c"), ("b", "c")})
        world.later(10, lambda: world.network.cut.update({("c", "a"), ("c", "b")}))
        reply = await world.send("c", build_request(0), 5_000)
        assert reply.unwrap_err().outcome is Outcome.UNKNOWN
        assert sum(world.fleet.account.request_runs.values()) == 1

    run_in_simulation(story)


def test_answers_out_of_order_reach_their_callers() -> None:
    """Guards against answers that are matched by order."""

    async def story(world: RequestSimulation) -> None:
        rng = random.Random(5)
        for worker in world.fleet.workers.values():
            worker.service_ms = {"price-check": rng.randrange(5, 200)}
        sends = [world.send("abc"[n % 3], build_request(n), 9_000) for n in range(90)]
        assert all(reply.is_ok() for reply in await asyncio.gather(*sends))

    run_in_simulation(story)


@pytest.mark.parametrize(
    ("fields", "code"),
    [
        ({"service": "nowhere"}, Code.UNKNOWN_SERVICE),
        ({"service": "offer", "key": None}, Code.KEY_REQUIRED),
    ],
)
def test_bad_requests_are_refused(fields: dict[str, Any], code: Code) -> None:
    """Guards against a request without its preconditions that reaches a worker."""

    async def story(world: RequestSimulation) -> None:
        reply = await world.send("c", build_request(0, **fields), 1_000)
        assert reply.unwrap_err().code is code
        assert is_not_run(reply)
        assert not world.fleet.account.request_runs

    run_in_simulation(story)


@pytest.mark.parametrize("params", [{}, {"shard": 1}, {"request": {}, "shard": "x"}])
@pytest.mark.parametrize("method", ["execute", "resolve"])
def test_bad_calls_of_peers_are_refused(method: str, params: dict[str, Any]) -> None:
    """Guards against an exception in the handler of a malformed call."""

    async def story(world: RequestSimulation) -> None:
        reply = await world.nodes["b"].peers.call("a", method, params, 10**9)
        assert reply.unwrap_err().code is Code.PEER_JUNK
        world.nodes["a"].router.record_load("b", {"shards": {"x/r0": params, "y": 3}})

    run_in_simulation(story)


def test_worker_that_fails_everything_is_ejected_and_probed() -> None:
    """Guards against a broken worker that attracts requests by being idle."""

    async def story(world: RequestSimulation) -> None:
        broken = world.fleet.workers[world.workers[0].worker_id]
        broken.fails_everything = True
        replies = [await world.send("a", build_request(n), 2_000) for n in range(60)]
        assert all(reply.is_ok() for reply in replies)
        broken.fails_everything = False
        health = world.nodes["a"].dispatcher.health
        assert health.is_ejected(broken.worker.worker_id)
        await world.clock.sleep_ms(60_000)
        sends = [world.send("a", build_request(n), 2_000) for n in range(100, 130)]
        assert all(reply.is_ok() for reply in await asyncio.gather(*sends))
        assert not health.is_ejected(broken.worker.worker_id)

    run_in_simulation(story)


def test_retry_budget_and_backoff_are_bounded() -> None:
    """Guards against retries that multiply the load of an overload."""
    budget = RetryBudget(10)
    spent = sum(budget.try_retry() for _ in range(100))
    for _ in range(1_000):
        budget.note_first_attempt()
        spent += budget.try_retry()
    assert 100 <= spent <= 111
    assert not RetryBudget(0).try_retry()
    backoff = Backoff(10, 100, random.Random(2))
    delays = [backoff.next_ms() for _ in range(200)]
    assert max(delays[1:]) <= 100
    assert delays[0] <= 10


WORKER_FAULTS = ["kill", "restart", "freeze"]
OTHER_FAULTS = ["kill_owner", "down", "lose", "cut", "deaf", "hand_over"]
FAULTS = st.tuples(
    st.sampled_from(WORKER_FAULTS + OTHER_FAULTS),
    st.integers(0, 300),
    st.integers(0, 3),
    st.integers(1, 3_000),
)


def _inject(
    world: RequestSimulation, name: str, at_ms: int, which: int, for_ms: int
) -> None:
    worker_id = world.workers[which].worker_id
    fleet, nodes = world.fleet, list(world.nodes.values())
    session = "abc"[which % 3]

    def freeze() -> None:
        if worker_id not in fleet.frozen:
            fleet.freeze(worker_id)
            world.later(for_ms, lambda: fleet.resume(worker_id))

    def tables(field: str, value: object) -> None:
        for node in nodes:
            if node.session not in world.gone and node.session in world.network.nodes:
                setattr(node.table, field, value)

    def hand_over() -> None:
        heir = next(s for s in ("c", "b") if s in world.network.nodes)
        if world.owners["kista/r0"][0] in world.network.nodes:
            world.give("kista/r0", heir)

    acts: dict[str, list[tuple[int, Callable[[], Any]]]] = {
        "kill_owner": [(0, lambda: world.kill_owner("a", "c"))],
        "kill": [(0, lambda: fleet.kill(worker_id))],
        "restart": [(0, lambda: fleet.restart(worker_id))],
        "freeze": [(0, freeze)],
        "down": [
            (0, lambda: tables("down", True)),
            (for_ms, lambda: tables("down", 0)),
        ],
        "lose": [
            (0, lambda: tables("lost_reply_share", 0.7)),
            (for_ms, lambda: tables("lost_reply_share", 0.0)),
        ],
        "cut": [
            (0, lambda: world.network.cut.add(("c", session))),
            (for_ms, lambda: world.network.cut.discard(("c", session))),
        ],
        "deaf": [
            (0, lambda: world.network.cut.add((session, "c"))),
            (for_ms, lambda: world.network.cut.discard((session, "c"))),
        ],
        "hand_over": [(0, hand_over)],
    }
    for delay_ms, act in acts[name]:
        world.later(at_ms + delay_ms, act)


@settings(derandomize=True, max_examples=60, deadline=None)
@given(st.lists(FAULTS, max_size=4, unique_by=lambda fault: fault[0]))
def test_promises_hold_under_random_faults(
    faults: list[tuple[str, int, int, int]],
) -> None:
    """Guards against faults in combination that break P1, P4, P5 or P6."""

    async def story(world: RequestSimulation) -> None:
        for fault in faults:
            _inject(world, *fault)
        replies: dict[int, list[Reply]] = {n: [] for n in range(30)}

        async def call(n: int) -> None:
            await world.clock.sleep_ms(n * 10)
            for attempt, session in enumerate("cbc"):
                req = build_keyed_request(n, request_id=f"r{n}-{attempt}")
                reply = await world.send(session, req, 700 + 2_500 * attempt)
                replies[n].append(reply)
                if reply.is_ok():
                    return

        plain = [world.send("c", build_request(n), 4_000) for n in range(100, 130)]
        await asyncio.gather(*(call(n) for n in range(30)), *plain)
        await world.clock.sleep_ms(20_000)
        for n, told in replies.items():
            world.judge(f"k{n}", *told)

    run_in_simulation(story, workers=2)

"""Requests that pass through several instances; runs are counted at the workers."""

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
from hyssopweir.fleet import ListedWorker
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
    """Guards against a second run, or a false "not run", after a takeover."""

    async def scenario(simulation: RequestSimulation) -> None:
        if receiver == "b":
            simulation.give("huddinge/r0", "a")
            await simulation.clock.sleep_ms(50)
        simulation.later(kill_ms, lambda: simulation.kill_owner("a", "c"))
        first = await simulation.send(receiver, build_keyed_request(0), 15_000)
        again = await simulation.send(
            "c", build_keyed_request(0, request_id="again"), 15_000
        )
        simulation.check_runs("k0", first, again)
        assert again.is_ok(), again
        assert simulation.runs("k0") == 1

    run_in_simulation(scenario)


@pytest.mark.parametrize("claim_ms", [0, 600])
@pytest.mark.parametrize("is_keyed", [False, True])
def test_silent_owner_is_given_up_when_its_session_ends(
    is_keyed: bool, claim_ms: Millis
) -> None:
    """Guards against waiting for a paused owner after its session has ended."""

    async def scenario(simulation: RequestSimulation) -> None:
        async def never_answer(params: Params, expires_ms: Millis) -> Any:
            await simulation.clock.sleep_ms(60_000)

        simulation.give("huddinge/r0", "a")
        simulation.nodes["a"].peers.register(EXECUTE, never_answer)
        simulation.later(3_000, lambda: simulation.end_session("a"))
        simulation.later(3_000 + claim_ms, lambda: simulation.reassign_shards("a", "c"))
        started_ms = simulation.clock.now_ms()
        req = build_keyed_request(0) if is_keyed else build_request(0)
        reply = await simulation.send("b", req, 15_000)
        assert reply.is_ok(), reply
        assert simulation.clock.now_ms() - started_ms < 4_500

    run_in_simulation(scenario)


@pytest.mark.parametrize("offset_ms", [0, 1, 3, 7, 20, 65, 80])
@pytest.mark.parametrize("receivers", ["ab", "bc", "ac", "cc"])
def test_same_key_at_two_instances(offset_ms: int, receivers: str) -> None:
    """Guards against two runs when a caller sends the same request twice."""

    async def scenario(simulation: RequestSimulation) -> None:
        first = asyncio.create_task(
            simulation.send(receivers[0], build_keyed_request(0), 5_000)
        )
        await simulation.clock.sleep_ms(offset_ms)
        second = await simulation.send(
            receivers[1], build_keyed_request(0, request_id="twin"), 5_000
        )
        replies = [await first, second]
        assert all(reply.is_ok() for reply in replies), replies
        assert replies[0].unwrap().body == replies[1].unwrap().body
        assert simulation.runs("k0") == 1

    run_in_simulation(scenario)


@pytest.mark.parametrize("body", [b"other", b"smorgasbord 0"])
def test_key_of_another_request_is_refused(body: bytes) -> None:
    """Guards against returning the answer to another body or another service."""

    async def scenario(simulation: RequestSimulation) -> None:
        first = await simulation.send("a", build_keyed_request(0), 5_000)
        service = "offer" if body == b"smorgasbord 0" else "slow-offer"
        other = build_keyed_request(0, service, request_id="other", body=body)
        second = await simulation.send("b", other, 5_000)
        assert first.is_ok()
        assert second.unwrap_err().code is Code.KEY_REUSED
        assert simulation.runs("k0") == 1

    run_in_simulation(scenario)


@pytest.mark.parametrize("share", [0.2, 0.6, 1.0])
def test_lost_table_replies(share: float) -> None:
    """Guards against a dispatch or refusal based on a write whose reply was lost."""

    async def scenario(simulation: RequestSimulation) -> None:
        for node in simulation.nodes.values():
            node.table.lost_reply_share = share
        sends = [
            simulation.send("abc"[n % 3], build_keyed_request(n), 8_000)
            for n in range(24)
        ]
        replies = await asyncio.gather(*sends)
        for node in simulation.nodes.values():
            node.table.lost_reply_share = 0.0
        await simulation.clock.sleep_ms(5_000)
        for n, reply in enumerate(replies):
            simulation.check_runs(f"k{n}", reply)
            row = simulation.table.read(row_name("planner", f"k{n}"))
            assert row is None or row.value["state"] != KeyState.DISPATCHED
        again = [
            simulation.send("c", build_keyed_request(n, request_id=f"x{n}"), 8_000)
            for n in range(24)
        ]
        assert all(reply.is_ok() for reply in await asyncio.gather(*again))
        assert all(simulation.runs(f"k{n}") == 1 for n in range(24))

    run_in_simulation(scenario)


@pytest.mark.parametrize("is_applied", [False, True])
def test_unconfirmed_dispatch_is_settled(is_applied: bool) -> None:
    """Guards against a run, or an unsettled record, after an unconfirmed write."""

    async def scenario(simulation: RequestSimulation) -> None:
        node, key = simulation.nodes["a"], row_name("planner", "k0")
        commit = node.table.commit

        async def commit_unconfirmed(*args: Any) -> Result[dict[str, int], Failure]:
            node.table.down = is_applied
            if is_applied and node.store.is_up:
                simulation.table.commit(*args)
            return Err(unknown(Code.STORE_OUTCOME_UNKNOWN, "no reply"))

        for worker in simulation.fleet.workers.values():
            worker.service_ms = {"slow-offer": 2_000}
        node.table.commit = commit_unconfirmed  # type: ignore[method-assign]
        failure = (
            await simulation.send("a", build_keyed_request(0), 10_000)
        ).unwrap_err()
        assert failure.code is Code.STORE_OUTCOME_UNKNOWN
        assert failure.extra["attempt"] == "not_run"
        assert node.keys.unconfirmed == 1
        node.table.commit, node.table.down = commit, False  # type: ignore[method-assign]
        assert (simulation.table.read(key) is not None) == is_applied
        again = build_keyed_request(0, request_id="again")
        assert (await simulation.send("a", again, 9_000)).is_ok()
        assert node.keys.unconfirmed == 0
        row = simulation.table.read(key)
        assert row is not None
        assert row.value["state"] == KeyState.DONE
        assert simulation.runs("k0") == 1

    run_in_simulation(scenario)


def test_table_down() -> None:
    """Guards against refusing idempotent requests or running keyed ones unrecorded."""

    async def scenario(simulation: RequestSimulation) -> None:
        running = asyncio.create_task(
            simulation.send("a", build_keyed_request(0), 5_000)
        )
        await simulation.clock.sleep_ms(30)
        for node in simulation.nodes.values():
            node.table.down = True
        served = await simulation.send("c", build_request(1), 1_000)
        refused = await simulation.send("c", build_keyed_request(2), 1_000)
        assert served.is_ok()
        assert refused.unwrap_err().code is Code.STORE_UNAVAILABLE
        assert refused.unwrap_err().extra["attempt"] == "not_run"
        assert (await running).is_ok()
        assert simulation.runs("k2") == 0
        for node in simulation.nodes.values():
            node.table.down = False
        await simulation.clock.sleep_ms(3_000)
        again = await simulation.send(
            "b", build_keyed_request(0, request_id="again"), 1_000
        )
        assert again.is_ok()
        assert simulation.runs("k0") == 1

    run_in_simulation(scenario)


@pytest.mark.parametrize("size", [10, INLINE_ANSWER_BYTES + 1])
@pytest.mark.parametrize("down", [False, True])
def test_recorded_answer_is_whole(size: int, down: bool) -> None:
    """Guards against a recorded answer that is truncated or lost."""

    async def scenario(simulation: RequestSimulation) -> None:
        simulation.objects.down = down
        body = random.Random(size).randbytes(size)
        first = await simulation.send("a", build_keyed_request(0, body=body), 2_000)
        simulation.objects.down = False
        await simulation.clock.sleep_ms(3_000)
        again = await simulation.send(
            "b", build_keyed_request(0, body=body, request_id="x"), 2_000
        )
        assert first.unwrap().body == again.unwrap().body
        assert simulation.runs("k0") == 1

    run_in_simulation(scenario)


@pytest.mark.parametrize("fault", ["kill", "restart"])
@pytest.mark.parametrize("at_ms", [0, 3, 10, 40, 70])
@pytest.mark.parametrize("is_keyed", [False, True])
def test_worker_fails_during_request(fault: str, at_ms: int, is_keyed: bool) -> None:
    """Guards against a second keyed run and against a lost idempotent request."""

    async def scenario(simulation: RequestSimulation) -> None:
        req = build_keyed_request(0) if is_keyed else build_request(0)

        def fail_busy_workers() -> None:
            for worker_id, worker in simulation.fleet.workers.items():
                if worker.used_slots():
                    getattr(simulation.fleet, fault)(worker_id)

        simulation.later(at_ms, fail_busy_workers)
        reply = await simulation.send("c", req, 6_000)
        if is_keyed:
            await simulation.clock.sleep_ms(8_000)
            again = await simulation.send("b", req._replace(request_id="x"), 4_000)
            simulation.check_runs("k0", reply, again)
        else:
            assert reply.is_ok(), reply

    run_in_simulation(scenario, workers=3)


def test_frozen_worker_answers_after_the_deadline() -> None:
    """Guards against freeing the slot of a live run and against a second, late run."""

    async def scenario(simulation: RequestSimulation) -> None:
        worker_id = simulation.workers[0].worker_id
        simulation.fleet.kill(simulation.workers[1].worker_id)
        await simulation.clock.sleep_ms(4_000)
        simulation.fleet.freeze(worker_id)
        late = await simulation.send("a", build_keyed_request(0), 300)
        assert late.unwrap_err().outcome is Outcome.UNKNOWN
        assert simulation.nodes["a"].ledger.in_flight(worker_id) == 1
        simulation.later(2_000, lambda: simulation.fleet.resume(worker_id))
        again = await simulation.send(
            "a", build_keyed_request(0, request_id="again"), 10_000
        )
        assert again.is_ok()
        assert simulation.runs("k0") == 1
        await simulation.clock.sleep_ms(3_000)
        assert simulation.nodes["a"].ledger.in_flight(worker_id) == 0
        assert simulation.nodes["a"].ledger.free(worker_id, is_task=False) == 8

    run_in_simulation(scenario)


@pytest.mark.parametrize("count", [150, 400])
def test_overload_is_refused_truthfully(count: int) -> None:
    """Guards against use of more slots than exist and refusals of requests that ran."""

    async def scenario(simulation: RequestSimulation) -> None:
        sends = [
            simulation.send("abc"[n % 3], build_keyed_request(n), 400)
            for n in range(count)
        ]
        replies = await asyncio.gather(*sends)
        await simulation.clock.sleep_ms(2_000)
        for n, reply in enumerate(replies):
            simulation.check_runs(f"k{n}", reply)
        refused = [reply for reply in replies if is_not_run(reply)]
        assert sum(reply.is_ok() for reply in replies) > 60
        assert len(refused) > count // 10
        load = simulation.nodes["a"].dispatcher.load()["shards"]["kista/r0"]
        assert load == {"free": 16, "queued": 0, "wait_ms": 0}

    run_in_simulation(scenario, queue_per_shard=30)


def test_queue_serves_urgent_requests_first() -> None:
    """Guards against a queue that ignores urgency or deadlines."""

    async def scenario(simulation: RequestSimulation) -> None:
        finished: list[str] = []

        async def send(name: str, urgent: bool, within_ms: int) -> None:
            req = build_request(0, request_id=name, urgent=urgent)
            assert (await simulation.send("a", req, within_ms)).is_ok()
            finished.append(name)

        first = [send(f"first-{n}", False, 1_000) for n in range(8)]
        rest = [
            send("late", False, 9_000),
            send("soon", False, 5_000),
            send("urgent", True, 9_000),
        ]
        filler = [send(f"filler-{n}", False, 7_000) for n in range(7)]
        await asyncio.gather(*first, *rest, *filler)
        order = [finished.index(name) for name in ("urgent", "soon", "late")]
        assert order == sorted(order)
        assert finished.index("late") >= 16

    run_in_simulation(scenario, workers=1)


@pytest.mark.parametrize(
    ("is_announced", "listed_after_ms"), [(True, 0), (True, 2_000), (False, 0)]
)
def test_leaving_worker_gets_no_new_work(
    is_announced: bool, listed_after_ms: int
) -> None:
    """Guards against work for a leaving worker if only it or only the list says so."""

    async def scenario(simulation: RequestSimulation) -> None:
        leaving = simulation.workers[0]

        def list_as_leaving() -> None:
            simulation.listing.listings[0] = ListedWorker(leaving, leaving=True)

        for n in range(100):
            if n == 20 and is_announced:
                simulation.fleet.workers[leaving.worker_id].leave()
            if n == 20:
                simulation.later(listed_after_ms, list_as_leaving)
            reply = await simulation.send("c", build_request(n), 1_000)
            assert reply.is_ok()
            await simulation.clock.sleep_ms(50)
        dispatched = [
            record
            for record in simulation.nodes["a"].log
            if record.event is Event.REQUEST_DISPATCHED
            and record.fields["worker"] == leaving.worker_id
            and int(record.fields["request_id"].removeprefix("req-")) >= 30
        ]
        assert dispatched == []

    run_in_simulation(scenario)


def test_refusal_after_a_lost_try_is_not_called_not_run() -> None:
    """Guards against "not run" for an idempotent request whose first try has run."""

    async def scenario(simulation: RequestSimulation) -> None:
        simulation.network.cut.update({("a", "c"), ("b", "c")})
        simulation.later(
            10, lambda: simulation.network.cut.update({("c", "a"), ("c", "b")})
        )
        reply = await simulation.send("c", build_request(0), 5_000)
        assert reply.unwrap_err().outcome is Outcome.UNKNOWN
        assert sum(simulation.fleet.audit.request_runs.values()) == 1

    run_in_simulation(scenario)


def test_answers_out_of_order_reach_their_callers() -> None:
    """Guards against matching answers to requests by their order."""

    async def scenario(simulation: RequestSimulation) -> None:
        rng = random.Random(5)
        for worker in simulation.fleet.workers.values():
            worker.service_ms = {"price-check": rng.randrange(5, 200)}
        sends = [
            simulation.send("abc"[n % 3], build_request(n), 9_000) for n in range(90)
        ]
        assert all(reply.is_ok() for reply in await asyncio.gather(*sends))

    run_in_simulation(scenario)


@pytest.mark.parametrize(
    ("fields", "code"),
    [
        ({"service": "nowhere"}, Code.UNKNOWN_SERVICE),
        ({"service": "offer", "key": None}, Code.KEY_REQUIRED),
    ],
)
def test_bad_requests_are_refused(fields: dict[str, Any], code: Code) -> None:
    """Guards against dispatching a request that fails its preconditions."""

    async def scenario(simulation: RequestSimulation) -> None:
        reply = await simulation.send("c", build_request(0, **fields), 1_000)
        assert reply.unwrap_err().code is code
        assert is_not_run(reply)
        assert not simulation.fleet.audit.request_runs

    run_in_simulation(scenario)


@pytest.mark.parametrize("params", [{}, {"shard": 1}, {"request": {}, "shard": "x"}])
@pytest.mark.parametrize("method", ["execute", "resolve"])
def test_bad_calls_of_peers_are_refused(method: str, params: dict[str, Any]) -> None:
    """Guards against an uncaught exception on malformed parameters."""

    async def scenario(simulation: RequestSimulation) -> None:
        reply = await simulation.nodes["b"].peers.call("a", method, params, 10**9)
        assert reply.unwrap_err().code is Code.PEER_JUNK
        simulation.nodes["a"].router.record_load(
            "b", {"shards": {"x/r0": params, "y": 3}}
        )

    run_in_simulation(scenario)


def test_worker_that_fails_everything_is_ejected_and_probed() -> None:
    """Guards against a failing worker that gets most requests because it is idle."""

    async def scenario(simulation: RequestSimulation) -> None:
        broken = simulation.fleet.workers[simulation.workers[0].worker_id]
        broken.fails_everything = True
        replies = [
            await simulation.send("a", build_request(n), 2_000) for n in range(60)
        ]
        assert all(reply.is_ok() for reply in replies)
        broken.fails_everything = False
        health = simulation.nodes["a"].dispatcher.health
        assert health.is_ejected(broken.worker.worker_id)
        await simulation.clock.sleep_ms(60_000)
        sends = [simulation.send("a", build_request(n), 2_000) for n in range(100, 130)]
        assert all(reply.is_ok() for reply in await asyncio.gather(*sends))
        assert not health.is_ejected(broken.worker.worker_id)

    run_in_simulation(scenario)


def test_retry_budget_and_backoff_are_bounded() -> None:
    """Guards against retries that amplify an overload."""
    budget = RetryBudget(10)
    spent = sum(budget.try_retry() for _ in range(100))
    for _ in range(1_000):
        budget.record_first_attempt()
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
    simulation: RequestSimulation, name: str, at_ms: int, index: int, duration_ms: int
) -> None:
    worker_id = simulation.workers[index].worker_id
    fleet, nodes = simulation.fleet, list(simulation.nodes.values())
    session = "abc"[index % 3]

    def freeze() -> None:
        if worker_id not in fleet.frozen:
            fleet.freeze(worker_id)
            simulation.later(duration_ms, lambda: fleet.resume(worker_id))

    def set_on_tables(field: str, value: object) -> None:
        for node in nodes:
            if (
                node.session not in simulation.gone
                and node.session in simulation.network.nodes
            ):
                setattr(node.table, field, value)

    def hand_over() -> None:
        successor = next(s for s in ("c", "b") if s in simulation.network.nodes)
        if simulation.owners["kista/r0"][0] in simulation.network.nodes:
            simulation.give("kista/r0", successor)

    actions: dict[str, list[tuple[int, Callable[[], Any]]]] = {
        "kill_owner": [(0, lambda: simulation.kill_owner("a", "c"))],
        "kill": [(0, lambda: fleet.kill(worker_id))],
        "restart": [(0, lambda: fleet.restart(worker_id))],
        "freeze": [(0, freeze)],
        "down": [
            (0, lambda: set_on_tables("down", True)),
            (duration_ms, lambda: set_on_tables("down", 0)),
        ],
        "lose": [
            (0, lambda: set_on_tables("lost_reply_share", 0.7)),
            (duration_ms, lambda: set_on_tables("lost_reply_share", 0.0)),
        ],
        "cut": [
            (0, lambda: simulation.network.cut.add(("c", session))),
            (duration_ms, lambda: simulation.network.cut.discard(("c", session))),
        ],
        "deaf": [
            (0, lambda: simulation.network.cut.add((session, "c"))),
            (duration_ms, lambda: simulation.network.cut.discard((session, "c"))),
        ],
        "hand_over": [(0, hand_over)],
    }
    for delay_ms, action in actions[name]:
        simulation.later(at_ms + delay_ms, action)


@settings(derandomize=True, max_examples=60, deadline=None)
@given(st.lists(FAULTS, max_size=4, unique_by=lambda fault: fault[0]))
def test_promises_hold_under_random_faults(
    faults: list[tuple[str, int, int, int]],
) -> None:
    """Guards against combined faults that break the guarantees P1, P4, P5 or P6."""

    async def scenario(simulation: RequestSimulation) -> None:
        for fault in faults:
            _inject(simulation, *fault)
        replies: dict[int, list[Reply]] = {n: [] for n in range(30)}

        async def call(n: int) -> None:
            await simulation.clock.sleep_ms(n * 10)
            for attempt, session in enumerate("cbc"):
                req = build_keyed_request(n, request_id=f"r{n}-{attempt}")
                reply = await simulation.send(session, req, 700 + 2_500 * attempt)
                replies[n].append(reply)
                if reply.is_ok():
                    return

        plain = [simulation.send("c", build_request(n), 4_000) for n in range(100, 130)]
        await asyncio.gather(*(call(n) for n in range(30)), *plain)
        await simulation.clock.sleep_ms(20_000)
        for n, key_replies in replies.items():
            simulation.check_runs(f"k{n}", *key_replies)

    run_in_simulation(scenario, workers=2)

"""Plans: intents, questions and confirmation under conflicts and lost replies."""

import asyncio
import json
from collections.abc import Awaitable, Callable
from typing import Any

import pytest
from result import Err, Ok, Result

from hyssopweir.codes import Code, Failure, Outcome, unknown
from hyssopweir.configuration import CONFIGURATION_ROW_KEY
from hyssopweir.intents import FleetLimits
from hyssopweir.plan_accounts import ENFORCED_FIELDS, build_plan_account
from hyssopweir.plans import QUESTION_FORMS, PlanApi
from hyssopweir.standin_table import StandinTable
from hyssopweir.table import ABSENT, Operation, Put, TableStore
from tests.builders import build_log
from tests.fakes import FakeTableService
from tests.virtual_time import VirtualClock, run_virtual

BASE = {
    "services": {"price-check": {"idempotent": True, "latency_target_ms": 800}},
    "batch": {"price-watch": {"paused": False}},
    "teams": {"buyers": {"quota_slots": 40}},
}
INTENT = {"services": {"price-check": {"latency_target_ms": 500, "percentile": 99}}}
FACTS = FleetLimits(
    slots=192, reserved_slots=48, request_floor_ms=7.0, write_floor_ms=3.0
)


class Site:
    """Hold a table and the desks of two instances."""

    def __init__(self) -> None:
        clock = VirtualClock()
        self.table = StandinTable()
        self.table.commit(
            [Put(CONFIGURATION_ROW_KEY, {"version": 1, "body": BASE}, ABSENT)], "t"
        )
        self.services = [FakeTableService(self.table, clock) for _ in range(2)]
        self.told: list[int] = []
        self.desks = [
            PlanApi(
                TableStore(service, clock, build_log(clock)),
                build_log(clock),
                self._changed,
                lambda: FACTS,
            )
            for service in self.services
        ]

    async def _changed(self, version: int, body: Any) -> None:
        self.told.append(version)

    async def make(self, intent: Any = INTENT) -> str:
        plan = (await self.desks[0].make(intent)).unwrap()
        return str(plan["id"])

    def version(self) -> int:
        row = self.table.read(CONFIGURATION_ROW_KEY)
        assert row is not None
        return int(row.value["version"])


def run_site(act: Callable[[Site], Awaitable[Any]]) -> Any:
    async def main() -> Any:
        return await act(Site())

    return run_virtual(main())


HOURS = (
    '{"days": ["mon"], "from": "05:00", "to": "05:00", '
    '"time_zone": "Europe/Atlantis"}'
)
IMPOSSIBLE = [
    ("[]", "$"),
    ("{}", "$"),
    ('{"services": {"x y": {}}, "weights": 3}', "$.services $.weights"),
    ('{"weights": {"evictions": NaN}}', "$.weights.evictions"),
    (
        '{"weights": {"tail_latency": 0, "batch_throughput": 0, "evictions": 0}}',
        "$.weights",
    ),
    ('{"services": {"offer": {"urgent": true}}}', "$.services.offer"),
    ('{"services": {"offer": null}}', "$.services.offer"),
    (
        '{"services": {"price-check": {"latency_target_ms": 6}}}',
        "$.services.price-check.latency_target_ms",
    ),
    (
        '{"services": {"offer": {"idempotent": false, "latency_target_ms": 12}}}',
        "$.services.offer.latency_target_ms",
    ),
    (
        '{"services": {"price-check": {"hours": ' + HOURS + "}}}",
        "$.services.price-check.hours $.services.price-check.hours.time_zone",
    ),
    (
        '{"batch": {"price-watch": {"paused": true, "finish_by": "06:00"}}}',
        "$.batch.price-watch",
    ),
    ('{"teams": {"buyers": {"quota_slots": 145}}}', "$.teams.buyers.quota_slots"),
]


@pytest.mark.parametrize(("intent", "paths"), IMPOSSIBLE)
def test_impossible_intent_names_every_path(intent: str, paths: str) -> None:
    """Guards against a wish that is found impossible only after its confirmation."""

    async def act(site: Site) -> Result[Any, Failure]:
        return await site.desks[0].make(json.loads(intent))

    failure = run_site(act).unwrap_err()
    assert failure.code is Code.PLAN_IMPOSSIBLE
    assert [fault["path"] for fault in failure.extra["faults"]] == paths.split()


def test_plan_changes_nothing_until_it_is_confirmed() -> None:
    """Guards against a plan in force without confirmation, and against lost fields."""

    async def act(site: Site) -> None:
        plan_id = await site.make()
        assert (site.version(), site.told) == (1, [])
        plan = (await site.desks[1].confirm(plan_id)).unwrap()
        row = site.table.read(CONFIGURATION_ROW_KEY)
        assert row is not None
        service = {"idempotent": True, "latency_target_ms": 500}
        assert row.value["body"]["services"] == {"price-check": service}
        assert row.value["body"]["teams"] == BASE["teams"]
        assert (plan["result"], site.told) == ({"version": 2}, [2])
        assert "800 ms -> 500 ms" in plan["text"]

    run_site(act)


def test_stale_plan_is_refused_with_the_difference() -> None:
    """Guards against a plan that silently reverts another operator's change."""

    async def act(site: Site) -> Failure:
        first, second = await site.make(), await site.make(
            {"weights": {"evictions": 2}}
        )
        (await site.desks[0].confirm(second)).unwrap()
        failure = (await site.desks[0].confirm(first)).unwrap_err()
        assert site.version() == 2
        return failure

    failure = run_site(act)
    assert (failure.code, failure.outcome) == (Code.PLAN_STALE, Outcome.NOT_RUN)
    assert failure.extra["difference"] == [
        {"path": "weights.evictions", "before": 1, "after": 2}
    ]


@pytest.mark.parametrize("same_plan", [True, False])
def test_two_confirms_at_the_same_moment(same_plan: bool) -> None:
    """Guards against two plans in force, and one plan confirmed twice."""

    async def act(site: Site) -> list[Result[Any, Failure]]:
        first = await site.make()
        second = first if same_plan else await site.make()
        replies = await asyncio.gather(
            site.desks[0].confirm(first), site.desks[1].confirm(second)
        )
        assert site.version() == 2
        return list(replies)

    replies = run_site(act)
    done = [reply.ok_value["result"] for reply in replies if isinstance(reply, Ok)]
    refused = [reply.err_value.code for reply in replies if isinstance(reply, Err)]
    assert done == [{"version": 2}] * (2 if same_plan else 1)
    assert refused == ([] if same_plan else [Code.PLAN_STALE])


def test_repeated_confirm_after_a_lost_reply_returns_the_recorded_result() -> None:
    """Guards against a second version for one plan, and a false refusal."""

    async def act(site: Site) -> None:
        plan_id = await site.make()
        service = site.services[0]
        service.lost_reply_share = 1.0
        confirming = asyncio.create_task(site.desks[0].confirm(plan_id))
        # Two reads and the way to the table take 6 ms, the lost reply 2 ms more.
        await asyncio.sleep(0.007)
        assert site.version() == 2
        service.down = True
        failure = (await confirming).unwrap_err()
        assert failure.code is Code.STORE_OUTCOME_UNKNOWN
        assert failure.outcome is Outcome.UNKNOWN
        repeated = (await site.desks[1].confirm(plan_id)).unwrap()
        assert repeated["result"] == {"version": 2}
        assert site.version() == 2

    run_site(act)


def test_lost_reply_followed_by_another_change_is_still_confirmed() -> None:
    """Guards against PLAN_STALE for a plan that took effect and was replaced."""

    async def act(site: Site) -> None:
        plan_id = await site.make()
        service = site.services[0]
        apply = service.commit

        async def commit(
            operations: list[Operation], transaction: str
        ) -> Result[dict[str, int], Failure]:
            await apply(operations, transaction)
            row = site.table.read(CONFIGURATION_ROW_KEY)
            assert row is not None
            if row.value["version"] == 2:
                value = {"version": 3, "body": BASE}
                site.table.commit(
                    [Put(CONFIGURATION_ROW_KEY, value, row.version)], "other"
                )
            return Err(unknown(Code.STORE_OUTCOME_UNKNOWN, "the reply was lost"))

        service.commit = commit  # type: ignore[method-assign, assignment]
        plan = (await site.desks[0].confirm(plan_id)).unwrap()
        assert (plan["result"], site.version()) == ({"version": 2}, 3)

    run_site(act)


@pytest.mark.parametrize(
    ("question", "expected"),
    [
        ("what changes", "800 ms -> 500 ms"),
        ("What is expected?", "within 4 s"),
        ("what is not promised", "recorded in the plan only"),
        ("why service price-check", "only that changes it"),
        ("why service offer?", "it knows: price-check"),
        ("why batch price-watch", "does not change batch kind price-watch"),
        ("why team buyers", "does not change team buyers"),
        ("why version 9", "Version 9 does not exist yet"),
    ],
)
def test_question_is_answered(question: str, expected: str) -> None:
    """Guards against a documented question without an answer."""

    async def act(site: Site) -> str:
        reply = await site.desks[0].ask(await site.make(), question)
        return str(reply.unwrap()["text"])

    assert expected in run_site(act)


def test_account_says_what_weights_act_on() -> None:
    """Guards against a weight that is said to act and does not, or the reverse."""
    weights = {"tail_latency": 3, "batch_throughput": 1, "evictions": 2}
    body = {**BASE, "weights": weights}
    account = build_plan_account({"weights": weights}, BASE, body, FACTS)
    assert "slowdown of services 3 times against" in account["expected"][-1]
    said = any("weight of evictions" in line for line in account["not_promised"])
    assert said == ("weights.evictions" not in ENFORCED_FIELDS)


@pytest.mark.parametrize("question", ["", "why", "why not", "why version new"])
def test_unknown_question_lists_what_can_be_asked(question: str) -> None:
    """Guards against a guess in place of an answer."""

    async def act(site: Site) -> Failure:
        return (await site.desks[0].ask(await site.make(), question)).unwrap_err()

    failure = run_site(act)
    assert failure.code is Code.QUESTION_UNKNOWN
    assert failure.extra["questions"] == list(QUESTION_FORMS)


@pytest.mark.parametrize("plan_id", ["0123456789ab", "../config/current", ""])
def test_unknown_plan_is_not_found(plan_id: str) -> None:
    """Guards against reading another row through a plan id."""

    async def act(site: Site) -> Failure:
        return (await site.desks[0].confirm(plan_id)).unwrap_err()

    assert run_site(act).code is Code.NOT_FOUND

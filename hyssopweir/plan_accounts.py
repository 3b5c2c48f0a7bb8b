"""Readable accounts of plans: what changes, what is expected, what is not promised."""

from collections.abc import Iterator
from typing import Any

from hyssopweir.clock import SECOND_MS, Millis
from hyssopweir.intents import (
    NOTED_FIELDS,
    NOUNS,
    Body,
    FleetLimits,
    changes_between,
)
from hyssopweir.interference_forecast import interference_weight
from hyssopweir.pressure import parse_pressure_policy

TITLES = {
    "changes": "What changes",
    "expected": "What is expected",
    "not_promised": "What is not promised",
}
# Fields that some module acts on; the others are recorded only, and plans say so.
# docs/configuration.md shows the same, checked by a test.
ENFORCED_FIELDS = frozenset(
    {
        "services.idempotent",
        "services.latency_target_ms",
        "services.urgent",
        "teams.quota_slots",
        "weights.batch_throughput",
        "weights.evictions",
        "weights.tail_latency",
        "retired_workers",
    }
)
# Fields whose ratio weighs harm to services in the placement of tasks.
HARM_WEIGHTS = frozenset({"tail_latency", "batch_throughput"})


def build_plan_account(
    intent: Body,
    base: Body,
    body: Body,
    facts: FleetLimits,
) -> dict[str, list[str]]:
    """Return the account of a plan as lists of sentences."""
    changes = [str(change) for change in changes_between(base, body)]
    return {
        "changes": changes or ["Nothing: the configuration already says this."],
        "expected": list(_expected(intent, body)),
        "not_promised": [
            *_recorded_only(intent),
            *_not_promised(intent, body, facts),
        ],
    }


def account_text(plan: dict[str, Any]) -> str:
    """Return the account of a plan as text for people."""
    lines = [f"Plan {plan['id']} ({plan['state']}), based on {plan['based_on']}"]
    for part, title in TITLES.items():
        sentences = plan["account"][part]
        if sentences:
            lines += ["", f"{title}:", *(f"  {sentence}" for sentence in sentences)]
    return "\n".join(lines)


def section_text(plan: dict[str, Any], section: str, name: str) -> str:
    """Return what a plan does to one service, batch kind or team, and why."""
    before, after = (
        {section: {name: plan[body].get(section, {}).get(name, {})}}
        for body in ("base", "configuration")
    )
    changes = [str(change) for change in changes_between(before, after)]
    noun = NOUNS[section]
    if not changes:
        return f"The plan does not change {noun} {name}."
    lines = [*changes, f"The intent names {noun} {name}, and only that changes it."]
    for part in ("expected", "not_promised"):
        lines += [line for line in plan["account"][part] if f"{noun} {name} " in line]
    return "\n".join(lines)


def _expected(intent: Body, body: Body) -> Iterator[str]:
    yield (
        "All entry instances that can read the table service or reach a peer follow "
        "within 4 s of the confirmation."
    )
    for name, wish in intent.get("services", {}).items():
        if wish is None:
            yield f"Requests to service {name} are refused with UNKNOWN_SERVICE."
        elif body["services"][name].get("urgent"):
            yield (
                f"Requests to service {name} go before others in the queue; others "
                "wait longer when slots are short, by how much is not known."
            )
        if (wish or {}).get("latency_target_ms") is not None:
            target_ms = wish["latency_target_ms"]
            yield (
                f"Where service {name} takes more than {target_ms} ms on a worker for "
                "some seconds, batch tasks there are throttled, then saved, then "
                "evicted."
            )
    if not {"tail_latency", "evictions"}.isdisjoint(intent.get("weights", {})):
        yield _eviction_delay(parse_pressure_policy(body).eviction_delay_ms)
    for name, wish in intent.get("batch", {}).items():
        paused = wish is not None and body["batch"][name].get("paused")
        if paused and "batch.paused" in ENFORCED_FIELDS:
            yield f"No task of batch kind {name} starts; running ones go on."
    for name, wish in intent.get("teams", {}).items():
        quota = None if wish is None else body["teams"][name].get("quota_slots")
        if quota is not None:
            yield f"Starts of team {name} stop at {quota} slots; none is evicted."
    if HARM_WEIGHTS & intent.get("weights", {}).keys():
        yield (
            "Placement counts the predicted slowdown of services "
            f"{interference_weight(body['weights']):g} times "
            "against the fit of the task."
        )


def _eviction_delay(delay_ms: Millis | None) -> str:
    if delay_ms is None:
        return "No task is evicted because a service is slow, as tail_latency is 0."
    return (
        "A task that makes a service slow is evicted after "
        f"{delay_ms / SECOND_MS:g} s of pressure since its work was saved, at most 2 "
        "in a minute and rack."
    )


def _recorded_only(intent: Body) -> Iterator[str]:
    for section, noun in NOUNS.items():
        for name, wish in intent.get(section, {}).items():
            fields = [
                field
                for field in wish or {}
                if f"{section}.{field}" not in ENFORCED_FIELDS
                and field not in NOTED_FIELDS
            ]
            if fields:
                yield (
                    f"That {noun} {name} is treated differently for "
                    f"{', '.join(fields)}: recorded, but this version does not act on "
                    "it."
                )
    for name in intent.get("weights", {}):
        if f"weights.{name}" not in ENFORCED_FIELDS:
            yield (
                f"That the weight of {name} changes anything: recorded, but this "
                "version does not act on it."
            )


def _not_promised(intent: Body, body: Body, facts: FleetLimits) -> Iterator[str]:
    for name, wish in intent.get("services", {}).items():
        if wish is not None:
            yield from _service_limits(name, wish, body["services"][name])
    for name, wish in intent.get("batch", {}).items():
        finish_by = None if wish is None else body["batch"][name].get("finish_by")
        if finish_by is not None:
            yield (
                f"That batch kind {name} is done by {finish_by}: its run times are "
                "declared by its callers and are often wrong."
            )
    for name, wish in intent.get("teams", {}).items():
        if wish is not None and "quota_slots" in body["teams"][name]:
            yield (
                f"That team {name} is within its quota at once: tasks that run already "
                "go on, and an instance that has not read the change may start more."
            )
    quotas = [team.get("quota_slots") or 0 for team in body.get("teams", {}).values()]
    if intent.get("teams") and facts.slots and sum(quotas) > facts.slots:
        yield (
            f"That all teams reach their quotas at once: they sum up to {sum(quotas)} "
            f"slots, and the listed workers have {facts.slots}."
        )
    if intent.get("teams") and not facts.slots:
        yield "That the quotas fit the fleet: no worker is listed at the moment."


def _service_limits(name: str, wish: Body, service: Body) -> Iterator[str]:
    target_ms = service.get("latency_target_ms")
    if target_ms is not None:
        percentile = wish.get("percentile")
        share = f" for {percentile:g}% of requests" if percentile else ""
        yield (
            f"That service {name} answers in {target_ms} ms{share}: interference "
            "between tasks is known only from measurements that arrive late."
        )
    if "percentile" in wish:
        yield (
            f"That the percentile of service {name} steers anything: it is recorded "
            "in the plan only."
        )
    if "hours" in wish:
        hours = wish["hours"]
        days = ", ".join(hours["days"])
        yield (
            f"That the hours of service {name} ({days} {hours['from']} to "
            f"{hours['to']}, {hours['time_zone']}) steer anything: they are recorded "
            "in the plan only, and the target holds all day."
        )

"""Intents of operators: faults, conflicts, and the configuration that they lead to."""

import json
import math
from collections.abc import Iterator
from typing import Any, NamedTuple
from zoneinfo import ZoneInfo

from hyssopweir.codes import Code
from hyssopweir.schemas import Fault, load_schema, schema_faults

Body = dict[str, Any]

SECTIONS = ("services", "batch", "teams")
NOUNS = {"services": "service", "batch": "batch kind", "teams": "team"}
# Kept in the plan only: the configuration in force has no field for them.
NOTED_FIELDS = ("percentile", "hours")
UNITS = {"latency_target_ms": " ms", "quota_slots": " slots"}


class FleetLimits(NamedTuple):
    """Hold what bounds a wish; 0 means that the figure is not known.

    ``request_floor_ms`` is the least time to a worker and back, ``write_floor_ms`` the
    least time of one write to the table service.
    """

    slots: int = 0
    reserved_slots: int = 0
    request_floor_ms: float = 0.0
    write_floor_ms: float = 0.0


class ConfigurationChange(NamedTuple):
    """Hold one difference between two configurations; None stands for no value."""

    path: str
    before: Any
    after: Any

    def __str__(self) -> str:
        section, _, rest = self.path.partition(".")
        name, _, field = rest.rpartition(".")
        noun = NOUNS.get(section)
        subject = f"{noun} {name}, {field}" if noun and name else self.path
        unit = UNITS.get(field, "")
        return f"{subject}: {_show(self.before, unit)} -> {_show(self.after, unit)}"


def intent_schema() -> dict[str, Any]:
    """Return the JSON schema of an intent."""
    return load_schema("intent")


def intent_faults(intent: Any) -> list[Fault]:
    """Return every fault of the form of an intent, with its JSON path."""
    faults = schema_faults(intent_schema(), intent, Code.PLAN_IMPOSSIBLE)
    return faults + [
        Fault(Code.PLAN_IMPOSSIBLE, path, "must be a finite number")
        for path, value in _leaves(intent, "$")
        if isinstance(value, float) and not math.isfinite(value)
    ]


def resulting_body(base: Body, intent: Body) -> Body:
    """Return the configuration body that an intent leads to."""
    body: Body = json.loads(json.dumps(base))
    for section in SECTIONS:
        entries = body.setdefault(section, {})
        for name, wish in intent.get(section, {}).items():
            if wish is None:
                entries.pop(name, None)
                continue
            fields = {k: v for k, v in wish.items() if k not in NOTED_FIELDS}
            entries[name] = {**entries.get(name, {}), **fields}
    if "weights" in intent:
        body["weights"] = {**body.get("weights", {}), **intent["weights"]}
    return body


def impossible_wishes(
    intent: Body,
    base: Body,
    body: Body,
    facts: FleetLimits,
) -> list[Fault]:
    """Return conflicts, and wishes that can't be met, in plain words."""
    return [
        Fault(Code.PLAN_IMPOSSIBLE, path, detail)
        for path, detail in (
            *_removal_wishes(intent, base),
            *_service_wishes(intent, body, facts),
            *_batch_wishes(intent, body),
            *_team_wishes(intent, body, facts),
            *_weight_wishes(intent, body),
        )
    ]


def changes_between(before: Body, after: Body) -> list[ConfigurationChange]:
    """Return the differences, one for each field, in the order of their paths."""
    old, new = dict(_leaves(before, "")), dict(_leaves(after, ""))
    return [
        ConfigurationChange(path, old.get(path), new.get(path))
        for path in sorted({*old, *new})
        if old.get(path) != new.get(path)
    ]


def _leaves(value: Any, path: str) -> Iterator[tuple[str, Any]]:
    if not isinstance(value, dict):
        yield path, value
        return
    for name, part in value.items():
        yield from _leaves(part, f"{path}.{name}" if path else name)


def _removal_wishes(intent: Body, base: Body) -> Iterator[tuple[str, str]]:
    for section in SECTIONS:
        for name, wish in intent.get(section, {}).items():
            if wish is None and name not in base.get(section, {}):
                detail = f"there is no {NOUNS[section]} of this name to remove"
                yield f"$.{section}.{name}", detail


def _service_wishes(
    intent: Body,
    body: Body,
    facts: FleetLimits,
) -> Iterator[tuple[str, str]]:
    for name, wish in intent.get("services", {}).items():
        if wish is None:
            continue
        path, service = f"$.services.{name}", body["services"][name]
        if "idempotent" not in service:
            yield path, "a new service must say whether it is idempotent"
            continue
        yield from _target_wishes(path, service, facts)
        if "percentile" in wish and "latency_target_ms" not in service:
            detail = "a percentile means nothing without latency_target_ms"
            yield f"{path}.percentile", detail
        yield from _hours_wishes(f"{path}.hours", wish.get("hours"))


def _target_wishes(
    path: str,
    service: Body,
    facts: FleetLimits,
) -> Iterator[tuple[str, str]]:
    target_ms = service.get("latency_target_ms")
    floor_ms = facts.request_floor_ms
    why = f"the way to a worker and back takes {facts.request_floor_ms:g} ms"
    if not service["idempotent"]:
        floor_ms += 2 * facts.write_floor_ms
        why += f", and two records of {facts.write_floor_ms:g} ms are written"
    if target_ms is not None and target_ms < floor_ms:
        detail = f"{target_ms} ms can't be met: {why}, {floor_ms:g} ms in all"
        yield f"{path}.latency_target_ms", detail


def _hours_wishes(path: str, hours: Body | None) -> Iterator[tuple[str, str]]:
    if hours is None:
        return
    if hours["from"] == hours["to"]:
        yield path, f"the hours begin and end at {hours['from']}, so they are empty"
    if not _is_time_zone(hours["time_zone"]):
        detail = f"{hours['time_zone']!r} is not an IANA time zone"
        yield f"{path}.time_zone", detail


def _is_time_zone(name: str) -> bool:
    try:
        ZoneInfo(name)
    except (LookupError, ValueError, OSError):
        return False
    return True


def _batch_wishes(intent: Body, body: Body) -> Iterator[tuple[str, str]]:
    for name, wish in intent.get("batch", {}).items():
        kind = body["batch"].get(name, {})
        if wish is not None and kind.get("paused") and kind.get("finish_by"):
            detail = (
                f"work that is paused can't be done by {kind['finish_by']}; "
                "give finish_by or paused, not both"
            )
            yield f"$.batch.{name}", detail


def _team_wishes(
    intent: Body,
    body: Body,
    facts: FleetLimits,
) -> Iterator[tuple[str, str]]:
    most = facts.slots - facts.reserved_slots
    for name, wish in intent.get("teams", {}).items():
        quota = body["teams"].get(name, {}).get("quota_slots")
        if wish is None or not facts.slots or quota is None or quota <= most:
            continue
        detail = (
            f"{quota} slots can't be used: the listed workers have {facts.slots}, "
            f"of which {facts.reserved_slots} are kept free for requests"
        )
        yield f"$.teams.{name}.quota_slots", detail


def _weight_wishes(intent: Body, body: Body) -> Iterator[tuple[str, str]]:
    if "weights" in intent and not any(body["weights"].values()):
        yield "$.weights", "all weights are 0, so no measure would count"


def _show(value: Any, unit: str) -> str:
    if value is None:
        return "not set"
    if isinstance(value, str):
        return value
    return f"{json.dumps(value)}{unit}"

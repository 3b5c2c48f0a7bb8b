"""Operator intents: validation, feasibility and the resulting configuration."""

import json
import math
from collections.abc import Iterator
from typing import Any, NamedTuple
from zoneinfo import ZoneInfo

from hyssopweir.codes import Code
from hyssopweir.schemas import Fault, load_schema, schema_faults

Body = dict[str, Any]

SECTIONS = ("services", "batch", "teams")
SECTION_NOUNS = {"services": "service", "batch": "batch kind", "teams": "team"}
# Recorded in the plan only; the configuration in force has no fields for them.
PLAN_ONLY_FIELDS = ("percentile", "hours")
FIELD_UNITS = {"latency_target_ms": " ms", "quota_slots": " slots"}


class FleetLimits(NamedTuple):
    """Limits of the fleet that intents are checked against; 0 means unknown.

    ``min_round_trip_ms`` is the minimum round-trip time to a worker, ``min_write_ms``
    the minimum time of one write to the table service.
    """

    slots: int = 0
    reserved_slots: int = 0
    min_round_trip_ms: float = 0.0
    min_write_ms: float = 0.0


class ConfigurationChange(NamedTuple):
    """Difference in one field between two configurations; None means no value."""

    path: str
    before: Any
    after: Any

    def __str__(self) -> str:
        section, _, rest = self.path.partition(".")
        name, _, field = rest.rpartition(".")
        noun = SECTION_NOUNS.get(section)
        subject = f"{noun} {name}, {field}" if noun and name else self.path
        unit = FIELD_UNITS.get(field, "")
        return (
            f"{subject}: {_format_field(self.before, unit)} -> "
            f"{_format_field(self.after, unit)}"
        )


def intent_schema() -> dict[str, Any]:
    """Return the JSON schema of an intent."""
    return load_schema("intent")


def intent_faults(intent: Any) -> list[Fault]:
    """Return every schema fault and every non-finite number, with its JSON path."""
    faults = schema_faults(intent_schema(), intent, Code.PLAN_IMPOSSIBLE)
    return faults + [
        Fault(Code.PLAN_IMPOSSIBLE, path, "must be a finite number")
        for path, value in _flatten(intent, "$")
        if isinstance(value, float) and not math.isfinite(value)
    ]


def apply_intent(base: Body, intent: Body) -> Body:
    """Return a copy of the configuration body ``base`` with an intent applied."""
    body: Body = json.loads(json.dumps(base))
    for section in SECTIONS:
        entries = body.setdefault(section, {})
        for name, requested in intent.get(section, {}).items():
            if requested is None:
                entries.pop(name, None)
                continue
            fields = {
                field: value
                for field, value in requested.items()
                if field not in PLAN_ONLY_FIELDS
            }
            entries[name] = {**entries.get(name, {}), **fields}
    if "weights" in intent:
        body["weights"] = {**body.get("weights", {}), **intent["weights"]}
    return body


def feasibility_faults(
    intent: Body,
    base: Body,
    body: Body,
    limits: FleetLimits,
) -> list[Fault]:
    """Return a fault for every conflict and every request that can't be satisfied."""
    return [
        Fault(Code.PLAN_IMPOSSIBLE, path, detail)
        for path, detail in (
            *_removal_conflicts(intent, base),
            *_service_conflicts(intent, body, limits),
            *_batch_conflicts(intent, body),
            *_quota_conflicts(intent, body, limits),
            *_weight_conflicts(intent, body),
        )
    ]


def changes_between(before: Body, after: Body) -> list[ConfigurationChange]:
    """Return one change for each field that differs, sorted by path."""
    old, new = dict(_flatten(before, "")), dict(_flatten(after, ""))
    return [
        ConfigurationChange(path, old.get(path), new.get(path))
        for path in sorted({*old, *new})
        if old.get(path) != new.get(path)
    ]


def _flatten(value: Any, path: str) -> Iterator[tuple[str, Any]]:
    if not isinstance(value, dict):
        yield path, value
        return
    for name, child in value.items():
        yield from _flatten(child, f"{path}.{name}" if path else name)


def _removal_conflicts(intent: Body, base: Body) -> Iterator[tuple[str, str]]:
    for section in SECTIONS:
        for name, requested in intent.get(section, {}).items():
            if requested is None and name not in base.get(section, {}):
                detail = f"there is no {SECTION_NOUNS[section]} of this name to remove"
                yield f"$.{section}.{name}", detail


def _service_conflicts(
    intent: Body,
    body: Body,
    limits: FleetLimits,
) -> Iterator[tuple[str, str]]:
    for name, requested in intent.get("services", {}).items():
        if requested is None:
            continue
        path, service = f"$.services.{name}", body["services"][name]
        if "idempotent" not in service:
            yield path, "a new service must say whether it is idempotent"
            continue
        yield from _latency_target_conflicts(path, service, limits)
        if "percentile" in requested and "latency_target_ms" not in service:
            detail = "a percentile means nothing without latency_target_ms"
            yield f"{path}.percentile", detail
        yield from _hours_conflicts(f"{path}.hours", requested.get("hours"))


def _latency_target_conflicts(
    path: str,
    service: Body,
    limits: FleetLimits,
) -> Iterator[tuple[str, str]]:
    target_ms = service.get("latency_target_ms")
    min_latency_ms = limits.min_round_trip_ms
    reason = f"the way to a worker and back takes {limits.min_round_trip_ms:g} ms"
    if not service["idempotent"]:
        min_latency_ms += 2 * limits.min_write_ms
        reason += f", and two records of {limits.min_write_ms:g} ms are written"
    if target_ms is not None and target_ms < min_latency_ms:
        detail = f"{target_ms} ms can't be met: {reason}, {min_latency_ms:g} ms in all"
        yield f"{path}.latency_target_ms", detail


def _hours_conflicts(path: str, hours: Body | None) -> Iterator[tuple[str, str]]:
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


def _batch_conflicts(intent: Body, body: Body) -> Iterator[tuple[str, str]]:
    for name, requested in intent.get("batch", {}).items():
        kind = body["batch"].get(name, {})
        if requested is not None and kind.get("paused") and kind.get("finish_by"):
            detail = (
                f"work that is paused can't be done by {kind['finish_by']}; "
                "give finish_by or paused, not both"
            )
            yield f"$.batch.{name}", detail


def _quota_conflicts(
    intent: Body,
    body: Body,
    limits: FleetLimits,
) -> Iterator[tuple[str, str]]:
    available_slots = limits.slots - limits.reserved_slots
    for name, requested in intent.get("teams", {}).items():
        quota = body["teams"].get(name, {}).get("quota_slots")
        if (
            requested is None
            or not limits.slots
            or quota is None
            or quota <= available_slots
        ):
            continue
        detail = (
            f"{quota} slots can't be used: the listed workers have {limits.slots}, "
            f"of which {limits.reserved_slots} are kept free for requests"
        )
        yield f"$.teams.{name}.quota_slots", detail


def _weight_conflicts(intent: Body, body: Body) -> Iterator[tuple[str, str]]:
    if "weights" in intent and not any(body["weights"].values()):
        yield "$.weights", "all weights are 0, so no measure would count"


def _format_field(value: Any, unit: str) -> str:
    if value is None:
        return "not set"
    if isinstance(value, str):
        return value
    return f"{json.dumps(value)}{unit}"

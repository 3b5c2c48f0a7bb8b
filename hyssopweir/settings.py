"""Settings of an entry instance: JSON loading, validation and defaults."""

from copy import deepcopy
from pathlib import Path
from typing import Any, NotRequired, TypedDict, cast

from result import Err, Ok, Result

from hyssopweir.clock import Millis
from hyssopweir.codes import Code
from hyssopweir.schemas import Fault, load_schema, read_json_file, schema_faults

MIN_HEARTBEATS_PER_TIMEOUT = 3
MIN_WATCHES_PER_LEASE = 3


class Address(TypedDict):
    """IP address and port."""

    host: str
    port: int


class Timing(TypedDict):
    """Intervals and time limits, all in ms."""

    heartbeat_ms: Millis
    session_timeout_ms: Millis
    scan_ms: Millis
    drain_ms: Millis
    stop_limit_ms: Millis
    lease_ms: Millis
    watch_ms: Millis
    store_timeout_ms: Millis
    commit_ms: Millis
    load_note_ms: Millis


class Limits(TypedDict):
    """Limits on sizes, counts and retries, and the default deadline."""

    body_bytes: int
    queue_per_shard: int
    latency_reserve_slots: int
    connections_per_worker: int
    retry_percent: int
    default_deadline_ms: Millis
    memory_mb: int
    file_descriptors: int
    client_memory_percent: float
    head_bytes: int
    head_ms: Millis
    body_ms: Millis


class Settings(TypedDict):
    """Settings of an entry instance, with defaults filled in."""

    instance: str
    data_centre: str
    callers: Address
    peers: Address
    platform: Address
    statsd: NotRequired[Address]
    log_level: str
    links: dict[str, float]
    timing: Timing
    limits: Limits


def settings_schema() -> dict[str, Any]:
    """Return the JSON schema of the settings, which must not be changed."""
    return load_schema("settings")


def load_settings(path: Path) -> Result[Settings, list[Fault]]:
    """Load and validate a settings file; the error lists every fault."""
    return read_json_file(path).and_then(check_settings)


def check_settings(data: Any) -> Result[Settings, list[Fault]]:
    """Validate settings and fill in defaults; the error lists every fault."""
    schema = settings_schema()
    faults = schema_faults(schema, data, Code.SETTINGS_INVALID)
    if faults:
        return Err(faults)
    cfg = cast(Settings, _with_defaults(schema, data))
    faults = list(_timing_faults(cfg["timing"]))
    return Err(faults) if faults else Ok(cfg)


def _with_defaults(schema: dict[str, Any], data: dict[str, Any]) -> dict[str, Any]:
    filled = dict(data)
    for name, subschema in schema.get("properties", {}).items():
        if name not in filled and "default" in subschema:
            filled[name] = deepcopy(subschema["default"])
        if subschema.get("type") == "object" and name in filled:
            filled[name] = _with_defaults(subschema, filled[name])
    return filled


def _timing_faults(timing: Timing) -> list[Fault]:
    faults: list[Fault] = []
    min_ms = MIN_HEARTBEATS_PER_TIMEOUT * timing["heartbeat_ms"]
    if timing["session_timeout_ms"] < min_ms:
        faults.append(
            Fault(
                Code.SETTINGS_INVALID,
                "$.timing.session_timeout_ms",
                f"must be at least {min_ms} ms, three heartbeats",
            )
        )
    min_ms = MIN_WATCHES_PER_LEASE * timing["watch_ms"]
    if timing["lease_ms"] < min_ms:
        faults.append(
            Fault(
                Code.SETTINGS_INVALID,
                "$.timing.lease_ms",
                f"must be at least {min_ms} ms, three watches",
            )
        )
    return faults

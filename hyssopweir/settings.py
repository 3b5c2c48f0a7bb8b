"""Checked JSON settings of an entry instance."""

import json
from importlib import resources
from pathlib import Path
from typing import Any, NamedTuple, NotRequired, TypedDict, cast

from jsonschema import Draft202012Validator, FormatChecker
from jsonschema.exceptions import ValidationError
from result import Err, Ok, Result

from hyssopweir.clock import Millis
from hyssopweir.codes import Code

HEARTBEATS_PER_TIMEOUT = 3
WATCHES_PER_LEASE = 3


class Address(TypedDict):
    """Hold an IP number and a port."""

    host: str
    port: int


class Timing(TypedDict):
    """Hold intervals and bounds, all in ms."""

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
    """Hold bounds on sizes and counts."""

    body_bytes: int
    queue_per_shard: int
    latency_reserve_slots: int
    connections_per_worker: int
    retry_percent: int
    default_deadline_ms: Millis


class Settings(TypedDict):
    """Hold the settings of an entry instance, defaults filled in."""

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


class Fault(NamedTuple):
    """Name one fault of a settings file by its JSON path."""

    code: Code
    path: str
    detail: str

    def __str__(self) -> str:
        return f"{self.code.name} ({int(self.code)}) at {self.path}: {self.detail}"


def settings_schema() -> dict[str, Any]:
    """Return the JSON schema of the settings."""
    text = resources.files("hyssopweir").joinpath("settings_schema.json").read_text()
    return cast(dict[str, Any], json.loads(text))


def load_settings(path: Path) -> Result[Settings, list[Fault]]:
    """Read and check a settings file; the error lists every fault."""
    try:
        data = json.loads(path.read_text(encoding="utf-8"))
    except (OSError, UnicodeDecodeError) as exc:
        return Err([Fault(Code.SETTINGS_UNREADABLE, "$", str(exc))])
    except (ValueError, RecursionError) as exc:
        return Err([Fault(Code.SETTINGS_UNREADABLE, "$", f"not JSON: {exc}")])
    return check_settings(data)


def check_settings(data: Any) -> Result[Settings, list[Fault]]:
    """Check settings and fill in defaults; the error lists every fault."""
    schema = settings_schema()
    faults = schema_faults(schema, data, Code.SETTINGS_INVALID)
    if faults:
        return Err(faults)
    cfg = cast(Settings, _with_defaults(schema, data))
    faults = list(_timing_faults(cfg["timing"]))
    return Err(faults) if faults else Ok(cfg)


def schema_faults(schema: dict[str, Any], data: Any, code: Code) -> list[Fault]:
    """Return every fault of ``data``, in the order of their paths."""
    validator = Draft202012Validator(schema, format_checker=FormatChecker())
    errors = sorted(validator.iter_errors(data), key=lambda error: error.json_path)
    return [Fault(code, error.json_path, _describe(error)) for error in errors]


def _describe(error: ValidationError) -> str:
    if error.validator == "anyOf":
        return f"{error.instance!r} is not an IP number"
    return error.message


def _with_defaults(schema: dict[str, Any], data: dict[str, Any]) -> dict[str, Any]:
    filled = dict(data)
    for name, part in schema.get("properties", {}).items():
        if name not in filled and "default" in part:
            filled[name] = part["default"]
        if part.get("type") == "object" and name in filled:
            filled[name] = _with_defaults(part, filled[name])
    return filled


def _timing_faults(timing: Timing) -> list[Fault]:
    faults: list[Fault] = []
    least_ms = HEARTBEATS_PER_TIMEOUT * timing["heartbeat_ms"]
    if timing["session_timeout_ms"] < least_ms:
        faults.append(
            Fault(
                Code.SETTINGS_INVALID,
                "$.timing.session_timeout_ms",
                f"must be at least {least_ms} ms, three heartbeats",
            )
        )
    least_ms = WATCHES_PER_LEASE * timing["watch_ms"]
    if timing["lease_ms"] < least_ms:
        faults.append(
            Fault(
                Code.SETTINGS_INVALID,
                "$.timing.lease_ms",
                f"must be at least {least_ms} ms, three watches",
            )
        )
    return faults

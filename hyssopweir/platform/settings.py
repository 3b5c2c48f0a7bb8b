"""Settings file of an instance on the platform; example: ``deploy/settings.json``."""

import ipaddress
import os
from collections.abc import Iterator
from pathlib import Path
from typing import Any, NamedTuple

from result import Err, Ok, Result

from hyssopweir.agent_link import LONGEST_LEASE_MS
from hyssopweir.client_limits import (
    DEFAULT_BODY_MS,
    DEFAULT_HEAD_BYTES,
    DEFAULT_HEAD_MS,
    DEFAULT_MEMORY_PERCENT,
)
from hyssopweir.clock import Millis
from hyssopweir.codes import Code
from hyssopweir.input_bounds import MAX_PORT, InputError, input_errors, read_int
from hyssopweir.schemas import Fault, load_schema, read_json_file, schema_faults

PATH_VARIABLE = "HYSSOPWEIR_NODE_FILE"


class PlatformSettings(NamedTuple):
    """Validated settings; an address is an IP address and a port.

    Without ``evacuation_limit_ms``, no data centre is ever evacuated.
    """

    instance: str
    data_centre: str
    callers: tuple[str, int]
    readiness: tuple[str, int]
    metrics: tuple[str, int]
    store: tuple[str, int]
    keep_ms: Millis
    stop_limit_ms: Millis
    store_writes_per_second: float
    processors: float
    link_mbps: float
    longest_lease_ms: Millis
    evacuation_limit_ms: Millis | None
    memory_mb: int
    file_descriptors: int
    client_memory_percent: float
    head_bytes: int
    head_ms: Millis
    body_ms: Millis
    remote_factor: float
    lines_per_second: int
    log_level: str


def settings_path() -> Path:
    """Return the path from the environment, by default in the current directory."""
    return Path(os.environ.get(PATH_VARIABLE, "settings.json"))


def load_platform_settings(path: Path) -> Result[PlatformSettings, list[Fault]]:
    """Read and validate a settings file; the error lists every fault."""
    loaded = read_json_file(path)
    if isinstance(loaded, Err):
        return loaded
    data = loaded.ok_value
    schema = load_schema("platform_settings")
    faults = schema_faults(schema, data, Code.SETTINGS_INVALID)
    faults = faults or list(_address_faults(data))
    if faults:
        return Err(faults)
    return Ok(_build_settings(data))


def _address_faults(data: dict[str, Any]) -> Iterator[Fault]:
    """Yield a fault for each address that the pattern of the schema lets pass."""
    for name in ("callers", "readiness", "store"):
        try:
            parse_address(data[name])
        except InputError as exc:
            yield Fault(Code.SETTINGS_INVALID, f"$.{name}", str(exc))


def _build_settings(data: dict[str, Any]) -> PlatformSettings:
    return PlatformSettings(
        instance=data["instance"],
        data_centre=data["data_centre"],
        callers=parse_address(data["callers"]),
        readiness=parse_address(data["readiness"]),
        metrics=(parse_address(data["callers"])[0], data["metrics_port"]),
        store=parse_address(data["store"]),
        keep_ms=int(data["keep_s"] * 1_000),
        stop_limit_ms=int(data["stop_limit_s"] * 1_000),
        store_writes_per_second=data.get("store_writes_per_second", 500.0),
        processors=data.get("processor_share", 1.0) * data.get("processors", 1),
        link_mbps=data.get("link_mbps", 1_000.0),
        longest_lease_ms=data.get("longest_lease_ms", LONGEST_LEASE_MS),
        evacuation_limit_ms=data.get("evacuation_limit_ms"),
        memory_mb=data.get("memory_mb", 256),
        file_descriptors=data.get("file_descriptors", 4_096),
        client_memory_percent=data.get("client_memory_percent", DEFAULT_MEMORY_PERCENT),
        head_bytes=data.get("head_bytes", DEFAULT_HEAD_BYTES),
        head_ms=data.get("head_ms", DEFAULT_HEAD_MS),
        body_ms=data.get("body_ms", DEFAULT_BODY_MS),
        remote_factor=data.get("remote_factor", 1.0),
        lines_per_second=data.get("lines_per_second", 300),
        log_level=data.get("log_level", "INFO"),
    )


def parse_address(text: str) -> tuple[str, int]:
    """Split an IP address and a port; raise ``InputError`` if one is invalid."""
    with input_errors("address"):
        host, port = text.rsplit(":", 1)
        ip = ipaddress.ip_address(host)
        return str(ip), read_int(int(port), "port", 1, MAX_PORT)

"""Validation and defaults of the settings."""

from typing import Any

import pytest

from hyssopweir.codes import Code
from hyssopweir.settings import check_settings, load_settings
from tests.builders import build_settings, build_settings_data


@pytest.mark.parametrize(
    ("fields", "paths"),
    [
        ({"instance": "Kista 1"}, ["$.instance"]),
        ({"instance": 7, "data_centre": ""}, ["$.data_centre", "$.instance"]),
        ({"callers": {"host": "localhost", "port": 80}}, ["$.callers.host"]),
        ({"peers": {"host": "127.0.0.1", "port": 65_536}}, ["$.peers.port"]),
        ({"platform": {"host": "::1"}}, ["$.platform"]),
        ({"log_level": "LOUD"}, ["$.log_level"]),
        ({"links": {"arlanda": -1}}, ["$.links.arlanda"]),
        ({"speed": 1}, ["$"]),
        ({"timing": {"scan_ms": True}}, ["$.timing.scan_ms"]),
        ({"timing": {"heartbeat_ms": 2_000}}, ["$.timing.session_timeout_ms"]),
        ({"timing": {"watch_ms": 6_000}}, ["$.timing.lease_ms"]),
        ({"limits": {"retry_percent": 101}}, ["$.limits.retry_percent"]),
    ],
)
def test_every_fault_has_its_path(fields: dict[str, Any], paths: list[str]) -> None:
    """Guards against validation that stops at the first fault or reports no path."""
    faults = check_settings(build_settings_data(**fields)).unwrap_err()
    assert [fault.path for fault in faults] == paths
    assert {fault.code for fault in faults} == {Code.SETTINGS_INVALID}


def test_defaults_are_filled_in() -> None:
    """Guards against a section of the settings without its defaults."""
    cfg = build_settings(timing={"scan_ms": 100})
    assert cfg["timing"]["scan_ms"] == 100
    assert cfg["timing"]["lease_ms"] == 15_000
    assert cfg["limits"]["queue_per_shard"] == 200


@pytest.mark.parametrize("content", [None, b"", b"{", b"\xff\xfe", b"[" * 100_000])
def test_unreadable_file_is_a_fault(tmp_path: Any, content: bytes | None) -> None:
    """Guards against an uncaught exception for a missing or malformed file."""
    path = tmp_path / "settings.json"
    if content is not None:
        path.write_bytes(content)
    (fault,) = load_settings(path).unwrap_err()
    assert fault.code is Code.SETTINGS_UNREADABLE


def test_defaults_are_not_shared() -> None:
    """Guards against settings that share mutable defaults with the cached schema."""
    first = check_settings(build_settings_data()).unwrap()
    first["links"]["arlanda"] = 9.0
    assert check_settings(build_settings_data()).unwrap()["links"] == {}

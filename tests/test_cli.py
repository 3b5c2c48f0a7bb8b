"""Output, exit status and sent requests of the commands."""

import asyncio
import json
import threading
from collections.abc import Iterator
from pathlib import Path
from typing import Any

import pytest
from aiohttp import web
from click.testing import CliRunner, Result

from hyssopweir.cli import main
from hyssopweir.codes import Code, Failure, failure_to_dict, not_run
from hyssopweir.contracts import digest_of
from tests.builders import build_settings_data
from tests.test_timeline import build_record

STALE_PLAN = not_run(
    Code.PLAN_STALE,
    "version 2 is in force",
    difference=[{"path": "teams.buyers.quota_slots", "before": 4, "after": 8}],
)
VIEWS: dict[str, Any] = {
    "GET /v1/jobs/price-watch": {"job": "price-watch", "counts": {"done": 1}},
    "DELETE /v1/jobs/price-watch": {"job": "price-watch", "cancelled": True},
    "GET /v1/jobs/price-watch/explain": {"text": "queued in kista/r0"},
    "GET /v1/jobs/a%2Fb": not_run(Code.NOT_FOUND, "no job has the id a/b"),
    "POST /v1/jobs": {"job": "price-watch", "state": "queued"},
    "POST /v1/plans": {"id": "0123456789ab", "text": "Plan 0123456789ab (made)"},
    "POST /v1/plans/0123456789ab/ask": {"text": "Because."},
    "POST /v1/plans/0123456789ab/confirm": {"result": {"version": 2}},
    "POST /v1/plans/ba9876543210/confirm": STALE_PLAN,
    "GET /v1/workers": {"workers": [{"worker": "w1", "free_slots": 8, "lag_ms": 5}]},
    "GET /v1/instances": {"instances": []},
    "GET /v1/events": {"events": [build_record(2, instance="b"), "junk"]},
}


class InstanceStub:
    """Fake entry instance that responds from ``VIEWS`` and records every request."""

    def __init__(self) -> None:
        self.requests: list[tuple[str, dict[str, str], bytes]] = []
        self.address = ""

    async def respond(self, req: web.Request) -> web.Response:
        body = await req.read()
        name = f"{req.method} {req.raw_path}"
        self.requests.append((name, dict(req.headers), body))
        if req.path == "/v1/requests/torn":
            return web.Response(body=b"half", headers={"X-Digest": "sha-256=0"})
        if req.path.startswith("/v1/requests/"):
            headers = {"X-Digest": f"sha-256={digest_of(body)}"}
            return web.Response(body=body, headers=headers)
        view = VIEWS.get(name)
        if isinstance(view, Failure):
            return web.json_response(failure_to_dict(view), status=409)
        return web.json_response(view, status=200 if view else 500)


@pytest.fixture
def stub() -> Iterator[InstanceStub]:
    instance = InstanceStub()
    loop = asyncio.new_event_loop()
    thread = threading.Thread(target=loop.run_forever)
    thread.start()

    async def start() -> web.AppRunner:
        app = web.Application()
        app.router.add_route("*", "/{path:.*}", instance.respond)
        runner = web.AppRunner(app)
        await runner.setup()
        await web.TCPSite(runner, "127.0.0.1", 0).start()
        instance.address = f"127.0.0.1:{runner.addresses[0][1]}"
        return runner

    runner = asyncio.run_coroutine_threadsafe(start(), loop).result(5)
    yield instance
    asyncio.run_coroutine_threadsafe(runner.cleanup(), loop).result(5)
    loop.call_soon_threadsafe(loop.stop)
    thread.join(5)
    loop.close()


def run_command(stub: InstanceStub | None, *args: str) -> Result:
    address = stub.address if stub is not None else "127.0.0.1:1"
    env = {"HYSSOPWEIR_ADDRESS": address}
    return CliRunner().invoke(main, args, env=env)


@pytest.mark.parametrize(
    ("args", "code", "output"),
    [
        ("status price-watch", 0, 'counts: {"done": 1}'),
        ("cancel price-watch", 0, "cancelled: yes"),
        ("explain price-watch", 0, "queued in kista/r0"),
        ("status a/b", 25, "error: NOT_FOUND (25): no job has the id a/b"),
        ("status a/b", 25, "Nothing was run or changed."),
        ("status a/b", 25, "To do: Check the name or id."),
        ("status junk", 72, "error: PEER_JUNK (72)"),
        ("plan 0123456789ab --ask why", 0, "Because."),
        ("confirm 0123456789ab", 0, "configuration version 2"),
        ("confirm ba9876543210", 80, "team buyers, quota_slots: 4 slots -> 8 slots"),
        ("workers", 0, "worker  free slots  lag [ms]\nw1               8         5"),
        ("instances", 0, "no instances"),
        ("timeline", 0, "1 broken lines were left out"),
        ("request price-check fish --key k1 --deadline-ms 900", 0, "fish"),
        ("request torn fish", 43, "digest"),
        ("request price-check fish --deadline-ms 0", 2, "--deadline-ms"),
        ("request price-check @missing", 2, "USAGE (2)"),
        ("submit missing.json", 2, "missing.json can't be read"),
    ],
)
def test_command_output_and_exit_status(
    stub: InstanceStub, args: str, code: int, output: str
) -> None:
    """Guards against a wrong exit status and unreadable output."""
    result = run_command(stub, *args.split())
    assert result.exit_code == code, result.output
    assert output in result.output


def test_request_sends_key_and_deadline(stub: InstanceStub) -> None:
    """Guards against a key, deadline or caller that isn't sent to the instance."""
    run_command(
        stub,
        *[
            "request",
            "offer",
            "x",
            "--key",
            "k1",
            "--deadline-ms",
            "900",
            "--caller",
            "c",
        ],
    )
    ((name, headers, body),) = stub.requests
    assert (name, body) == ("POST /v1/requests/offer", b"x")
    names = ("Idempotency-Key", "X-Deadline-Ms", "X-Caller")
    assert [headers.get(name) for name in names] == ["k1", "900", "c"]


@pytest.mark.parametrize("command", ["submit", "plan"])
def test_json_file_is_sent_unchanged(
    stub: InstanceStub, tmp_path: Path, command: str
) -> None:
    """Guards against a file that is sent modified or not validated as JSON."""
    path = tmp_path / "input.json"
    path.write_text('{"weights": {}}')
    assert run_command(stub, command, str(path)).exit_code == 0
    assert json.loads(stub.requests[0][2]) == {"weights": {}}
    path.write_text("{")
    assert run_command(stub, command, str(path)).exit_code == Code.USAGE


@pytest.mark.parametrize("as_json", [True, False])
def test_unreachable_instance_is_not_run(as_json: bool) -> None:
    """Guards against a refused connection that is reported with an unknown outcome."""
    result = run_command(None, "status", "x", *(["--json"] if as_json else []))
    assert result.exit_code == Code.PEER_UNREACHABLE
    expected = '"outcome": "not_run"' if as_json else "Nothing was run or changed."
    assert expected in result.stderr
    assert result.stdout == ""


def test_timeline_skips_unreachable_instance(
    stub: InstanceStub, tmp_path: Path
) -> None:
    """Guards against an unreachable instance that hides the events of other sources."""
    log = tmp_path / "a.log"
    log.write_text(json.dumps(build_record(1)) + "\n{\n")
    addresses = ["--address", stub.address, "--address", "127.0.0.1:1"]
    result = run_command(stub, "timeline", str(log), *addresses, "--format", "trace")
    assert result.exit_code == Code.PEER_UNREACHABLE
    events = json.loads(result.stdout)["traceEvents"]
    assert [event["ts"] for event in events if event["ph"] == "i"] == [1_000, 2_000]
    assert "2 broken lines" in result.stderr


def test_check_knows_the_settings_of_the_platform(tmp_path: Path) -> None:
    """Guards against settings of the platform that only a start checks."""
    path = tmp_path / "settings.json"
    data = {
        "instance": "edge-1",
        "data_centre": "depot-north",
        "callers": "127.0.0.1:8080",
        "readiness": "127.0.0.1:8081",
        "metrics_port": 9_464,
        "store": "127.0.0.1:8169",
        "keep_s": 120,
        "stop_limit_s": 6,
        "longest_lease_ms": 6_000,
    }
    path.write_text(json.dumps(data))
    assert run_command(None, "check", "--platform", str(path)).exit_code == 0
    bad = {"longest_lease_ms": 0, "store": "127.0.0.1:0", "callers": "nowhere"}
    path.write_text(json.dumps({**data, **bad}))
    result = run_command(None, "check", "--platform", str(path))
    assert result.exit_code == int(Code.SETTINGS_INVALID)
    for name in ("longest_lease_ms", "callers"):
        assert f"$.{name}" in result.output
    path.write_text(json.dumps({**data, "store": "127.0.0.1:0"}))
    assert "$.store" in run_command(None, "check", "--platform", str(path)).output


def test_check_prints_every_fault(tmp_path: Path) -> None:
    """Guards against a check that doesn't report the faults of every file."""
    good, bad = tmp_path / "good.json", tmp_path / "bad.json"
    good.write_text(json.dumps(build_settings_data()))
    bad.write_text(json.dumps(build_settings_data(instance=1, speed=2)))
    result = run_command(None, "check", str(good), str(bad), str(tmp_path / "missing"))
    assert result.exit_code == Code.SETTINGS_INVALID
    assert f"{good}: ok" in result.output
    assert "at $.instance:" in result.output
    assert "SETTINGS_UNREADABLE (10) at $" in result.output
    assert run_command(None, "check", str(good)).exit_code == 0


def test_colour_only_on_a_terminal(stub: InstanceStub) -> None:
    """Guards against ANSI escape sequences when the output isn't a terminal."""
    assert "\x1b" not in run_command(stub, "workers").output


@pytest.mark.parametrize("name", sorted(main.commands))
def test_every_command_has_help(name: str) -> None:
    """Guards against a command without help text."""
    result = run_command(None, name, "--help")
    assert result.exit_code == 0
    assert len(result.output.splitlines()) > 3

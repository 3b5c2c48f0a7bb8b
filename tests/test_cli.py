"""The commands: output, exit status and what they send."""

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

STALE = not_run(
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
    "POST /v1/plans/ba9876543210/confirm": STALE,
    "GET /v1/workers": {"workers": [{"worker": "w1", "free_slots": 8, "lag_ms": 5}]},
    "GET /v1/instances": {"instances": []},
    "GET /v1/events": {"events": [build_record(2, instance="b"), "junk"]},
}


class Double:
    """Answer like an entry instance from ``VIEWS`` and keep what was sent."""

    def __init__(self) -> None:
        self.sent: list[tuple[str, dict[str, str], bytes]] = []
        self.address = ""

    async def answer(self, req: web.Request) -> web.Response:
        body = await req.read()
        name = f"{req.method} {req.raw_path}"
        self.sent.append((name, dict(req.headers), body))
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
def double() -> Iterator[Double]:
    served = Double()
    loop = asyncio.new_event_loop()
    thread = threading.Thread(target=loop.run_forever)
    thread.start()

    async def start() -> web.AppRunner:
        app = web.Application()
        app.router.add_route("*", "/{path:.*}", served.answer)
        runner = web.AppRunner(app)
        await runner.setup()
        await web.TCPSite(runner, "127.0.0.1", 0).start()
        served.address = f"127.0.0.1:{runner.addresses[0][1]}"
        return runner

    runner = asyncio.run_coroutine_threadsafe(start(), loop).result(5)
    yield served
    asyncio.run_coroutine_threadsafe(runner.cleanup(), loop).result(5)
    loop.call_soon_threadsafe(loop.stop)
    thread.join(5)
    loop.close()


def run(double: Double | None, *args: str) -> Result:
    address = double.address if double is not None else "127.0.0.1:1"
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
def test_command(double: Double, args: str, code: int, output: str) -> None:
    """Guards against a wrong exit status and against an unreadable answer."""
    result = run(double, *args.split())
    assert result.exit_code == code, result.output
    assert output in result.output


def test_request_sends_key_and_deadline(double: Double) -> None:
    """Guards against a key that never reaches the instance."""
    run(
        double,
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
    ((name, headers, body),) = double.sent
    assert (name, body) == ("POST /v1/requests/offer", b"x")
    names = ("Idempotency-Key", "X-Deadline-Ms", "X-Caller")
    assert [headers.get(name) for name in names] == ["k1", "900", "c"]


@pytest.mark.parametrize("command", ["submit", "plan"])
def test_file_is_sent(double: Double, tmp_path: Path, command: str) -> None:
    """Guards against a file that is changed on its way or not checked as JSON."""
    path = tmp_path / "input.json"
    path.write_text('{"weights": {}}')
    assert run(double, command, str(path)).exit_code == 0
    assert json.loads(double.sent[0][2]) == {"weights": {}}
    path.write_text("{")
    assert run(double, command, str(path)).exit_code == Code.USAGE


@pytest.mark.parametrize("as_json", [True, False])
def test_unreachable_instance_is_not_run(as_json: bool) -> None:
    """Guards against a refused connection that is reported as an unknown outcome."""
    result = run(None, "status", "x", *(["--json"] if as_json else []))
    assert result.exit_code == Code.PEER_UNREACHABLE
    expected = '"outcome": "not_run"' if as_json else "Nothing was run or changed."
    assert expected in result.stderr
    assert result.stdout == ""


def test_timeline_goes_on_without_a_source(double: Double, tmp_path: Path) -> None:
    """Guards against one dead instance that hides the events of the others."""
    log = tmp_path / "a.log"
    log.write_text(json.dumps(build_record(1)) + "\n{\n")
    addresses = ["--address", double.address, "--address", "127.0.0.1:1"]
    result = run(double, "timeline", str(log), *addresses, "--format", "trace")
    assert result.exit_code == Code.PEER_UNREACHABLE
    events = json.loads(result.stdout)["traceEvents"]
    assert [event["ts"] for event in events if event["ph"] == "i"] == [1_000, 2_000]
    assert "2 broken lines" in result.stderr


def test_check_prints_every_fault(tmp_path: Path) -> None:
    """Guards against a check that hides the faults of the second file."""
    good, bad = tmp_path / "good.json", tmp_path / "bad.json"
    good.write_text(json.dumps(build_settings_data()))
    bad.write_text(json.dumps(build_settings_data(instance=1, speed=2)))
    result = run(None, "check", str(good), str(bad), str(tmp_path / "missing"))
    assert result.exit_code == Code.SETTINGS_INVALID
    assert f"{good}: ok" in result.output
    assert "at $.instance:" in result.output
    assert "SETTINGS_UNREADABLE (10) at $" in result.output
    assert run(None, "check", str(good)).exit_code == 0


def test_colour_only_on_a_terminal(double: Double) -> None:
    """Guards against control characters in a pipe."""
    assert "\x1b" not in run(double, "workers").output


@pytest.mark.parametrize("name", sorted(main.commands))
def test_every_command_has_help(name: str) -> None:
    """Guards against a command that its help does not explain."""
    result = run(None, name, "--help")
    assert result.exit_code == 0
    assert len(result.output.splitlines()) > 3

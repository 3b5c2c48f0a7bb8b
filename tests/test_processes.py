"""End-to-end tests with processes that are killed, frozen and stopped."""

import json
import signal
import threading
import time
from collections.abc import Callable
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path

import pytest

from tests.processes import (
    DATA_CENTRES,
    ProcessSystem,
    ReceivedReply,
    http,
    running_system,
    wait_until,
)

INTENT = {
    "services": {
        "price-check": {"idempotent": True},
        "banquet-offer": {"idempotent": False},
    }
}


def confirm_intent(system: ProcessSystem) -> None:
    plan = http("POST", system.url("kista", "/v1/plans"), json.dumps(INTENT).encode())
    path = f"/v1/plans/{plan.json()['id']}/confirm"
    version = http("POST", system.url("arlanda", path)).json()["result"]["version"]
    for name in DATA_CENTRES:
        url = system.url(name, "/v1/configuration")
        wait_until(
            lambda url=url: http("GET", url).json()["version"] >= version,
            f"version {version} in force at {name}",
        )


def request_price(system: ProcessSystem, name: str, number: int) -> ReceivedReply:
    body = b"price of dish %d" % number
    reply = http("POST", system.url(name, "/v1/requests/price-check"), body)
    if reply.status == 200:
        assert reply.body == b"price-check answers " + body
    return reply


def request_banquet_offer(system: ProcessSystem, name: str, key: str) -> ReceivedReply:
    url = system.url(name, "/v1/requests/banquet-offer")
    headers = {"Idempotency-Key": key, "X-Caller": "planner", "X-Deadline-Ms": "12000"}
    return http("POST", url, b"offer " + key.encode(), headers)


def submit(system: ProcessSystem, job: str, tasks: int, run_ms: int) -> None:
    spec = {
        "job": job,
        "team": "buyers",
        "kind": "price-watch",
        "tasks": tasks,
        "run_ms": run_ms,
        "cores": 1,
        "memory_gb": 1,
    }
    reply = http("POST", system.url("huddinge", "/v1/jobs"), json.dumps(spec).encode())
    assert reply.status == 202, reply.body


def wait_done(system: ProcessSystem, name: str, job: str) -> None:
    url = system.url(name, f"/v1/jobs/{job}")
    wait_until(lambda: http("GET", url).json()["state"] == "done", f"{job} is done")


def kill_owner(system: ProcessSystem) -> None:
    system.kill("kista")


def freeze_past_session_timeout(system: ProcessSystem) -> None:
    """Freeze an instance until another has taken over its shards, then resume it."""
    system.signal("kista", signal.SIGSTOP)
    time.sleep(4.0)
    system.signal("kista", signal.SIGCONT)


def freeze_platform(system: ProcessSystem) -> None:
    """Freeze the platform temporarily, which keeps its state."""
    system.signal("platform", signal.SIGSTOP)
    time.sleep(3.0)
    system.signal("platform", signal.SIGCONT)


def stop_gracefully(system: ProcessSystem) -> None:
    assert system.terminate("kista") == 0


def kill_owner_during_outage(system: ProcessSystem) -> None:
    """Kill an owner during a platform outage, when no takeover is possible."""
    system.signal("platform", signal.SIGSTOP)
    time.sleep(0.5)
    system.kill("kista")
    time.sleep(2.5)
    system.signal("platform", signal.SIGCONT)


def freeze_workers_past_leases(system: ProcessSystem) -> None:
    """Freeze all workers for longer than the leases of their tasks."""
    system.signal("workers", signal.SIGSTOP)
    time.sleep(4.5)
    system.signal("workers", signal.SIGCONT)


def kill_busy_worker(system: ProcessSystem) -> None:
    """Kill a worker that runs tasks; the instance list reflects it with a lag."""
    for port in (system.worker_control, system.control):
        url = f"http://127.0.0.1:{port}/control/workers/kista-w0/kill"
        assert http("POST", url, b"").status == 200


FAULTS: list[Callable[[ProcessSystem], None]] = [
    kill_owner,
    freeze_past_session_timeout,
    freeze_platform,
    stop_gracefully,
    kill_owner_during_outage,
    freeze_workers_past_leases,
    kill_busy_worker,
]


# The start order decides which instance owns which shard, so the freeze is also tested
# with the frozen instance as the owner of all shards.
CASES = [
    *(pytest.param(fault, None, id=fault.__name__) for fault in FAULTS),
    pytest.param(freeze_past_session_timeout, "kista", id="freeze_owner_of_all_shards"),
]


@pytest.mark.parametrize(("fault", "owner_of_all"), CASES)
def test_work_survives_a_fault(
    tmp_path: Path, fault: Callable[[ProcessSystem], None], owner_of_all: str | None
) -> None:
    """Guards against lost, duplicate or wrong answers when a process fails."""
    with running_system(tmp_path, owner_of_all) as system:
        confirm_intent(system)
        assert request_price(system, "kista", 0).status == 200
        submit(system, "watch", tasks=9, run_ms=1_500)
        replies: list[ReceivedReply] = []
        stop = threading.Event()

        def send_requests(name: str) -> None:
            number = 0
            while not stop.is_set():
                number += 1
                replies.append(request_price(system, name, number))

        with ThreadPoolExecutor() as pool:
            callers = [pool.submit(send_requests, name) for name in DATA_CENTRES[1:]]
            offers = [
                pool.submit(request_banquet_offer, system, name, f"offer-{number}")
                for number in range(6)
                for name in DATA_CENTRES[1:]
            ]
            try:
                fault(system)
                wait_done(system, "arlanda", "watch")
            finally:
                # Otherwise the callers would continue forever after a failure.
                stop.set()
            for caller in callers:
                caller.result()
            offered = [offer.result() for offer in offers]
        account = system.audit()
        assert account["violations"] == []
        assert account["runs"]["tasks_done"] == {f"watch/{n}": 1 for n in range(9)}
        answered = [reply for reply in replies if reply.status == 200]
        assert len(answered) > 10
        refused = [r for r in replies + offered if r.status != 200]
        assert all(reply.json()["code"] > 0 for reply in refused)
        for number in range(6):
            again = request_banquet_offer(system, "arlanda", f"offer-{number}")
            if again.status == 200:
                assert again.body == b"banquet-offer answers offer offer-%d" % number
        starts = system.audit()["runs"]["request_runs"]
        for number in range(6):
            name = f"planner/offer-{number}#"
            assert sum(n for run, n in starts.items() if run.startswith(name)) <= 1


def test_graceful_stop_completes_all_requests(tmp_path: Path) -> None:
    """Guards against requests that a stopping instance drops or leaves unanswered."""
    with running_system(tmp_path) as system, ThreadPoolExecutor() as pool:
        confirm_intent(system)
        offers = [
            pool.submit(request_banquet_offer, system, "kista", f"last-{number}")
            for number in range(8)
        ]
        time.sleep(0.1)
        system.signal("kista", signal.SIGTERM)
        wait_until(
            lambda: http("GET", system.url("kista", "/v1/health/ready")).status == 503,
            "kista answers not ready",
        )
        late = request_price(system, "kista", 1)
        assert late.status == 200, late.body
        for number, offer in enumerate(offers):
            expected = b"banquet-offer answers offer last-%d" % number
            assert offer.result().body == expected
        assert system.processes.pop("kista").wait(30) == 0
        assert system.audit()["violations"] == []
        assert request_price(system, "arlanda", 2).status == 200

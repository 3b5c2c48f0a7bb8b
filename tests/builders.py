"""Builders of test data; keyword arguments override the default fields."""

from typing import Any

from hyssopweir.clock import Clock
from hyssopweir.contracts import JobSpec, Request
from hyssopweir.events import EventLog
from hyssopweir.fleet import ListedWorker, Worker
from hyssopweir.settings import Settings, check_settings


def build_worker(number: int = 0, data_centre: str = "kista", **fields: Any) -> Worker:
    defaults: dict[str, Any] = {
        "worker_id": f"{data_centre}-w{number}",
        "host": "127.0.0.1",
        "port": 9_100 + number,
        "data_centre": data_centre,
        "rack": f"r{number // 8}",
        "cores": 32.0,
        "memory_gb": 125.0,
    }
    return Worker(**{**defaults, **fields})


def build_workers(
    count: int, data_centre: str = "kista", **fields: Any
) -> list[Worker]:
    return [build_worker(number, data_centre, **fields) for number in range(count)]


def build_listings(workers: list[Worker]) -> list[ListedWorker]:
    return [ListedWorker(worker, leaving=False) for worker in workers]


def build_request(number: int = 0, **fields: Any) -> Request:
    defaults: dict[str, Any] = {
        "request_id": f"req-{number}",
        "caller": "planner",
        "service": "price-check",
        "body": b"smorgasbord %d" % number,
        "idempotent": True,
        "key": None,
        "urgent": False,
        "expires_ms": 10**12,
    }
    return Request(**{**defaults, **fields})


def build_job(name: str = "price-watch", **fields: Any) -> JobSpec:
    defaults: dict[str, Any] = {
        "job": name,
        "team": "buyers",
        "kind": "price-watch",
        "tasks": 1,
        "run_ms": 1_000,
        "cores": 1.0,
        "memory_gb": 1.0,
    }
    spec: JobSpec = {**defaults, **fields}  # type: ignore[typeddict-item]
    return spec


def build_settings_data(**fields: Any) -> dict[str, Any]:
    defaults: dict[str, Any] = {
        "instance": "kista-1",
        "data_centre": "kista",
        "callers": {"host": "127.0.0.1", "port": 0},
        "peers": {"host": "127.0.0.1", "port": 0},
        "platform": {"host": "127.0.0.1", "port": 9_000},
    }
    return {**defaults, **fields}


def build_settings(**fields: Any) -> Settings:
    return check_settings(build_settings_data(**fields)).unwrap()


def build_log(clock: Clock, instance: str = "kista-1") -> EventLog:
    return EventLog(instance, "kista", clock)

"""Request paths: direct worker calls, through the owner, and forwarded to the owner."""

import tempfile
from pathlib import Path
from statistics import median
from typing import NamedTuple

from benchmarks.processes import (
    LOCAL,
    OWNER_DATA_CENTRE,
    ProcessCluster,
    ProcessUsage,
    run_load,
    running_cluster,
)

WORKERS = 4
SLOTS = 8
SERVICES = {"instant": 0, "price-check": 15}
BODY_BYTES = 256
# Processes whose processor time counts, by path; the load generator is excluded.
PATHS = {
    "direct": ("direct",),
    "owner": ("owner", "workers"),
    "forwarded": ("receiver", "owner", "workers"),
}


class Scale(NamedTuple):
    """Size of the load: runs, requests for each load and its time limit in seconds."""

    runs: int = 3
    low_requests: int = 200
    full_requests: int = 1_500
    limit_s: float = 3.0


class Measurement(NamedTuple):
    """Results of one load on one path."""

    path: str
    service: str
    concurrency: int
    run: int
    requests: int
    failed: int
    per_s: float
    p50_ms: float
    p99_ms: float
    cpu_ms: dict[str, float]
    load_cpu_ms: float

    @property
    def path_cpu_ms(self) -> float:
        """Return the processor time of a request over all processes of its path."""
        return sum(self.cpu_ms.values())

    @property
    def per_core_s(self) -> float:
        """Return the requests/s that one core of processor time serves."""
        return 1_000 / self.path_cpu_ms if self.path_cpu_ms else 0.0


class EntryPathResult(NamedTuple):
    """All measurements, and the resident memory of the instances in bytes."""

    measurements: list[Measurement]
    idle_rss: dict[str, int]
    loaded_rss: dict[str, int]


def measure_entry_path(seed: int, scale: Scale) -> EntryPathResult:
    """Measure each load on all paths in turn, ``scale.runs`` times."""
    with (
        tempfile.TemporaryDirectory() as name,
        running_cluster(Path(name), WORKERS, SERVICES) as cluster,
    ):
        first_port = cluster.start_direct_workers(WORKERS)
        cluster.start_instance("receiver")
        cluster.configure()
        targets = {
            "direct": [f"http://{LOCAL}:{first_port + n}" for n in range(WORKERS)],
            "owner": [cluster.url("owner", "")],
            "forwarded": [cluster.url("receiver", "")],
        }
        _warm_up(cluster, targets, seed)
        idle = _instance_rss(cluster)
        measurements = [
            _measure(
                cluster, path, targets[path], service, concurrency, run, seed, scale
            )
            for run in range(scale.runs)
            for service in SERVICES
            for concurrency in (1, WORKERS * SLOTS)
            for path in PATHS
        ]
        return EntryPathResult(measurements, idle, _instance_rss(cluster))


def _warm_up(cluster: ProcessCluster, targets: dict[str, list[str]], seed: int) -> None:
    scale = Scale(low_requests=20, limit_s=5.0)
    for path in PATHS:
        for service in SERVICES:
            measurement = _measure(
                cluster, path, targets[path], service, 1, -1, seed, scale
            )
            if measurement.failed:
                raise RuntimeError(
                    f"{path}: {measurement.failed} warm-up requests failed"
                )


def _measure(
    cluster: ProcessCluster,
    path: str,
    targets: list[str],
    service: str,
    concurrency: int,
    run: int,
    seed: int,
    scale: Scale,
) -> Measurement:
    load_plan = {
        "kind": "worker" if path == "direct" else "instance",
        "targets": targets,
        "workers": [f"{OWNER_DATA_CENTRE}-w{n}" for n in range(WORKERS)],
        "service": service,
        "concurrency": concurrency,
        "requests": scale.low_requests if concurrency == 1 else scale.full_requests,
        "limit_s": scale.limit_s,
        "body_bytes": BODY_BYTES,
        # Run ids must differ between loads on the same workers.
        "seed": seed * 100_000 + run * 1_000 + SERVICES[service] * 40 + concurrency,
    }
    before = {name: cluster.usage(name) for name in PATHS[path]}
    result = run_load(cluster.folder, load_plan, scale.limit_s)
    after = {name: cluster.usage(name) for name in PATHS[path]}
    count = result["requests"]
    return Measurement(
        path,
        service,
        concurrency,
        run,
        count,
        result["failed"],
        count / result["seconds"],
        result["p50_ms"],
        result["p99_ms"],
        {
            name: _cpu_ms_per_request(before[name], after[name], count)
            for name in before
        },
        result["cpu_s"] * 1_000 / count,
    )


def _cpu_ms_per_request(before: ProcessUsage, after: ProcessUsage, count: int) -> float:
    return (after.cpu_s - before.cpu_s) * 1_000 / count


def _instance_rss(cluster: ProcessCluster) -> dict[str, int]:
    return {name: cluster.usage(name).rss_bytes for name in ("owner", "receiver")}


class Summary(NamedTuple):
    """Median and extremes of a value over the runs."""

    median: float
    minimum: float
    maximum: float


def summarize(values: list[float]) -> Summary:
    """Return the median, minimum and maximum; raise ``ValueError`` if empty."""
    return Summary(median(values), min(values), max(values))

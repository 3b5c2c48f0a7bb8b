"""Path of a request: a worker called directly, through its owner, and forwarded."""

import tempfile
from pathlib import Path
from statistics import median
from typing import NamedTuple

from benchmarks.processes import (
    LOCAL,
    OWNER_DATA_CENTRE,
    ProcessCluster,
    Usage,
    run_load,
    running_cluster,
)

WORKERS = 4
SLOTS = 8
SERVICES = {"instant": 0, "price-check": 15}
BODY_BYTES = 256
# The processes that take part, by path; the load tool is not counted.
PATHS = {
    "direct": ("direct",),
    "owner": ("owner", "workers"),
    "forwarded": ("receiver", "owner", "workers"),
}


class Scale(NamedTuple):
    """Bound the load; the times are limits, in seconds."""

    runs: int = 3
    low_requests: int = 200
    full_requests: int = 1_500
    limit_s: float = 3.0


class Measurement(NamedTuple):
    """Hold the figures of one load on one path."""

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
        """Return the processor time of all processes of the path for a request."""
        return sum(self.cpu_ms.values())

    @property
    def per_core_s(self) -> float:
        """Return requests/s per core used."""
        return 1_000 / self.path_cpu_ms if self.path_cpu_ms else 0.0


class EntryFigures(NamedTuple):
    """Hold all measurements, and the memory of the instances in bytes."""

    measurements: list[Measurement]
    idle_rss: dict[str, int]
    loaded_rss: dict[str, int]


def measure_entry_path(seed: int, scale: Scale) -> EntryFigures:
    """Measure all paths in turn, ``scale.runs`` times."""
    with (
        tempfile.TemporaryDirectory() as name,
        running_cluster(Path(name), WORKERS, SERVICES) as site,
    ):
        first = site.start_direct_workers(WORKERS)
        site.start_instance("receiver")
        site.configure()
        targets = {
            "direct": [f"http://{LOCAL}:{first + n}" for n in range(WORKERS)],
            "owner": [site.url("owner", "")],
            "forwarded": [site.url("receiver", "")],
        }
        _warm_up(site, targets, seed)
        idle = _instance_rss(site)
        measurements = [
            _measure(site, path, targets[path], service, concurrency, run, seed, scale)
            for run in range(scale.runs)
            for service in SERVICES
            for concurrency in (1, WORKERS * SLOTS)
            for path in PATHS
        ]
        return EntryFigures(measurements, idle, _instance_rss(site))


def _warm_up(site: ProcessCluster, targets: dict[str, list[str]], seed: int) -> None:
    scale = Scale(low_requests=20, limit_s=5.0)
    for path in PATHS:
        for service in SERVICES:
            figures = _measure(site, path, targets[path], service, 1, -1, seed, scale)
            if figures.failed:
                raise RuntimeError(f"{path}: {figures.failed} requests failed")


def _measure(
    site: ProcessCluster,
    path: str,
    targets: list[str],
    service: str,
    concurrency: int,
    run: int,
    seed: int,
    scale: Scale,
) -> Measurement:
    plan = {
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
    before = {name: site.usage(name) for name in PATHS[path]}
    load = run_load(site.folder, plan, scale.limit_s)
    after = {name: site.usage(name) for name in PATHS[path]}
    count = load["requests"]
    return Measurement(
        path,
        service,
        concurrency,
        run,
        count,
        load["failed"],
        count / load["seconds"],
        load["p50_ms"],
        load["p99_ms"],
        {name: _cpu_ms(before[name], after[name], count) for name in before},
        load["cpu_s"] * 1_000 / count,
    )


def _cpu_ms(before: Usage, after: Usage, count: int) -> float:
    return (after.cpu_s - before.cpu_s) * 1_000 / count


def _instance_rss(site: ProcessCluster) -> dict[str, int]:
    return {name: site.usage(name).rss_bytes for name in ("owner", "receiver")}


class Summary(NamedTuple):
    """Hold the median of a figure over the runs, and its extremes."""

    middle: float
    least: float
    most: float


def summarize(values: list[float]) -> Summary:
    """Return the median and the extremes."""
    return Summary(median(values), min(values), max(values))

"""Run the benchmarks, print their tables and write all results to a JSON file."""

import asyncio
import json
import os
import signal
import sys
import time
from collections.abc import Callable
from pathlib import Path
from typing import Any, NamedTuple

import click

from benchmarks import report
from benchmarks.decisions import measure_decisions
from benchmarks.entry_path import Scale, measure_entry_path
from benchmarks.flow import (
    measure_in_flight,
    measure_key_record,
    measure_requests,
    measure_starts,
    measure_table_calls,
)
from benchmarks.instances import measure_idle
from benchmarks.mesh import measure_mesh
from benchmarks.owner import OwnerLoad, measure_owner
from benchmarks.state import (
    measure_configuration,
    measure_notifications,
    measure_scans,
    measure_state,
)
from benchmarks.wire import measure_wire

FLEET_SIZES = (34, 340, 6_500)
SESSION_COUNTS = (9, 24, 72)
SHARD_COUNTS = (5, 43, 813)
MEMORY_BYTES = os.sysconf("SC_PAGE_SIZE") * os.sysconf("SC_PHYS_PAGES")

Lines = list[str]


class BenchmarkResult(NamedTuple):
    """Results of one benchmark as JSON data, and the lines of its tables."""

    values: Any
    lines: Lines


def run_entry(seed: int, runs: int) -> BenchmarkResult:
    """Measure throughput, latency and processor time of a request on each path."""
    results = measure_entry_path(seed, Scale(runs=runs))
    data = {
        **results._asdict(),
        "measurements": [m._asdict() for m in results.measurements],
    }
    return BenchmarkResult(data, report.entry_tables(results))


def run_idle(seed: int, runs: int) -> BenchmarkResult:
    """Measure processor time and memory of idle instances."""
    costs = measure_idle((34, 136, 340), watch_s=5.0)
    return BenchmarkResult([cost._asdict() for cost in costs], report.idle_table(costs))


def run_state(seed: int, runs: int) -> BenchmarkResult:
    """Measure the cost of each item of state and of the periodic scans."""
    mesh, notification_us = asyncio.run(measure_mesh((2, 4, 8), notifications=100))
    slopes = [
        *measure_state(FLEET_SIZES),
        *measure_scans((24, 240, 2_400)),
        *measure_configuration(20),
        *measure_notifications(SHARD_COUNTS),
        mesh,
    ]
    lines = report.slope_table(slopes)
    text = ", ".join(f"{us:.0f}" for us in notification_us)
    lines += ["", f"Load note of 34 shards, both ends, us at 2, 4, 8 instances: {text}"]
    return BenchmarkResult(
        {"slopes": _slope_data(slopes), "note_us": notification_us}, lines
    )


def run_flow(seed: int, runs: int) -> BenchmarkResult:
    """Measure requests, key records, task starts and table calls."""
    start_slope, start = measure_starts((50, 200, 400), workers=136)
    slopes = [
        measure_in_flight((50, 200, 800), workers=136),
        measure_requests((100, 200, 400), workers=34, keyed=False),
        measure_requests((100, 200, 400), workers=34, keyed=True),
        start_slope,
    ]
    key_record = measure_key_record(50)
    calls = measure_table_calls((8, 24, 72), tasks_per_shard=30)
    lines = [
        *report.slope_table(slopes),
        "",
        *report.store_call_table(key_record, start),
    ]
    lines += ["", *report.table_call_rates(calls)]
    values = {
        "slopes": _slope_data(slopes),
        "key_record": key_record._asdict(),
        "start": start._asdict(),
        "table_calls": [call._asdict() for call in calls],
    }
    return BenchmarkResult(values, lines)


def run_wire(seed: int, runs: int) -> BenchmarkResult:
    """Count the messages and bytes of each control operation."""
    costs = asyncio.run(measure_wire(SESSION_COUNTS, SHARD_COUNTS, FLEET_SIZES))
    return BenchmarkResult([cost._asdict() for cost in costs], report.wire_table(costs))


def run_decisions(seed: int, runs: int) -> BenchmarkResult:
    """Measure the time of each routing and placement decision."""
    decisions = measure_decisions(FLEET_SIZES, 400, seed)
    return BenchmarkResult(
        [d._asdict() for d in decisions], report.decision_table(decisions)
    )


def run_owner(checkouts: tuple[str, ...], runs: int) -> BenchmarkResult:
    """Measure the processor time of a cell's owner, in each checkout by turns."""
    costs = [
        cost for _ in range(runs) for cost in measure_owner(OwnerLoad(), checkouts)
    ]
    values = [{**cost._asdict(), "ms_per_run": cost.ms_per_run} for cost in costs]
    return BenchmarkResult(values, report.owner_table(costs))


def _slope_data(slopes: Any) -> list[dict[str, Any]]:
    return [
        {
            "name": slope.name,
            "bytes_each": slope.bytes_each,
            "us_each": slope.us_each,
            "points": [point._asdict() for point in slope.points],
        }
        for slope in slopes
    ]


BENCHMARKS: dict[str, Callable[[int, int], BenchmarkResult]] = {
    "entry": run_entry,
    "idle": run_idle,
    "state": run_state,
    "flow": run_flow,
    "wire": run_wire,
    "decisions": run_decisions,
}


@click.command()
@click.option("--seed", default=1, show_default=True, help="Seed of bodies and draws.")
@click.option("--runs", default=3, show_default=True, help="Runs of the entry path.")
@click.option(
    "--only",
    type=click.Choice([*BENCHMARKS, "owner"]),
    multiple=True,
    help="Run only this part.",
)
@click.option(
    "--checkout",
    type=click.Path(exists=True, file_okay=False, resolve_path=True),
    multiple=True,
    help="Measure the owner of this checkout as well.",
)
@click.option(
    "--output",
    type=click.Path(dir_okay=False, path_type=Path),
    default=Path("build/benchmarks.json"),
    show_default=True,
    help="File for all figures.",
)
def main(
    seed: int, runs: int, only: tuple[str, ...], checkout: tuple[str, ...], output: Path
) -> None:
    """Measure the entry path, memory, slopes and decisions."""
    # Exits through the cleanup code on SIGTERM, so that a benchmark stopped by a time
    # limit leaves no processes behind.
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(1))
    data: dict[str, Any] = {
        "date": time.strftime("%Y-%m-%d"),
        "seed": seed,
        "cores": os.cpu_count(),
        "memory_gb": round(MEMORY_BYTES / 1_073_741_824, 1),
        "load_average_before": os.getloadavg(),
    }
    checkouts = (os.getcwd(), *checkout)
    benchmarks = {**BENCHMARKS, "owner": lambda _, runs: run_owner(checkouts, runs)}
    for name in only or benchmarks:
        started_s = time.monotonic()
        result = benchmarks[name](seed, runs)
        data[name] = result.values
        click.echo(f"\n## {name} ({time.monotonic() - started_s:.0f} s)\n")
        click.echo("\n".join(result.lines))
    data["load_average_after"] = os.getloadavg()
    output.parent.mkdir(parents=True, exist_ok=True)
    output.write_text(json.dumps(data, indent=1))
    click.echo(f"\nAll figures: {output}")


if __name__ == "__main__":
    main()

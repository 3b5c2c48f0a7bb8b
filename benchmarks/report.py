"""Markdown tables of the benchmark results."""

from collections.abc import Iterable, Sequence
from pathlib import Path

from benchmarks.decisions import Decision
from benchmarks.entry_path import (
    PATHS,
    SERVICES,
    EntryPathResult,
    Measurement,
    Summary,
    summarize,
)
from benchmarks.flow import KeyRecordCost, StartCost, TableCalls
from benchmarks.instances import IdleCost
from benchmarks.owner import OwnerCost
from benchmarks.slopes import Slope
from benchmarks.wire import WireCost

MB = 1_048_576


def markdown_table(head: Sequence[str], rows: Iterable[Sequence[str]]) -> list[str]:
    """Return the lines of a Markdown table."""
    lines = [head, ["---"] * len(head), *rows]
    return ["| " + " | ".join(cells) + " |" for cells in lines]


def owner_table(costs: Iterable[OwnerCost]) -> list[str]:
    """Return the table of the processor time of owners."""
    head = ("checkout", "workers", "starts/s", "runs", "cpu ms a run", "cpu %", "MB")
    rows = [
        (
            Path(cost.checkout).name,
            f"{cost.load.workers}",
            f"{cost.load.starts_per_second}",
            f"{cost.runs}",
            f"{cost.ms_per_run:.2f}",
            f"{100 * cost.cpu_s / cost.load.seconds:.0f}",
            f"{cost.rss_bytes / MB:.0f}",
        )
        for cost in costs
    ]
    return markdown_table(head, rows)


def entry_tables(result: EntryPathResult) -> list[str]:
    """Return the request path tables: median (minimum to maximum) over the runs."""
    head = (
        "service, concurrency",
        "path",
        "requests/s",
        "requests/s per core",
        "p50 ms",
        "p99 ms",
        "per-core ratio to direct",
        "p50 ratio to direct",
        "cpu ms of each process for a request",
        "failed",
    )
    rows = [
        _entry_row(result.measurements, service, concurrency, path)
        for service in SERVICES
        for concurrency in sorted({m.concurrency for m in result.measurements})
        for path in PATHS
    ]
    memory = [
        (name, f"{result.idle_rss[name] / MB:.1f}", f"{loaded / MB:.1f}")
        for name, loaded in result.loaded_rss.items()
    ]
    return [
        *markdown_table(head, rows),
        "",
        *markdown_table(
            ("instance", "RSS before the load, MB", "RSS after, MB"), memory
        ),
    ]


def _entry_row(
    measurements: Sequence[Measurement], service: str, concurrency: int, path: str
) -> tuple[str, ...]:
    def measurements_of(name: str) -> list[Measurement]:
        load_key = (service, concurrency, name)
        return [
            m for m in measurements if (m.service, m.concurrency, m.path) == load_key
        ]

    runs, direct = measurements_of(path), measurements_of("direct")
    pairs = list(zip(runs, direct, strict=True))
    cpu = ", ".join(
        f"{name} {summarize([m.cpu_ms[name] for m in runs]).median:.2f}"
        for name in PATHS[path]
    )
    return (
        f"{service}, {concurrency}",
        path,
        _format_summary([m.per_s for m in runs], 0),
        _format_summary([m.per_core_s for m in runs], 0),
        _format_summary([m.p50_ms for m in runs], 1),
        _format_summary([m.p99_ms for m in runs], 1),
        _format_summary(
            [a.per_core_s / b.per_core_s for a, b in pairs if b.per_core_s], 2
        ),
        _format_summary([a.p50_ms / b.p50_ms for a, b in pairs], 1),
        cpu,
        str(sum(m.failed for m in runs)),
    )


def _format_summary(values: list[float], digits: int) -> str:
    if not values:
        return "-"
    summary: Summary = summarize(values)
    texts = [f"{value:,.{digits}f}" for value in summary]
    return f"{texts[0]} ({texts[1]} to {texts[2]})"


def slope_table(slopes: Iterable[Slope]) -> list[str]:
    """Return the marginal cost of each kind of item, and the measured points."""
    rows = [
        (
            slope.name,
            f"{slope.bytes_each:,.0f}",
            f"{slope.us_each:,.2f}",
            "; ".join(f"{p.count:,}: {p.bytes:,} B, {p.us:,.0f}" for p in slope.points),
        )
        for slope in slopes
    ]
    return markdown_table(("item", "bytes each", "us each", "count: bytes, us"), rows)


def wire_table(costs: Iterable[WireCost]) -> list[str]:
    """Return the table of messages and bytes by operation."""
    rows = [
        (cost.name, str(cost.messages), f"{cost.sent:,}", f"{cost.received:,}")
        for cost in costs
    ]
    return markdown_table(
        ("operation", "messages", "bytes sent", "bytes received"), rows
    )


def decision_table(decisions: Sequence[Decision]) -> list[str]:
    """Return the table of decision times in microseconds by fleet size."""
    sizes = list(decisions[0].us)
    rows = [(d.name, *(f"{d.us[size]:,.0f}" for size in sizes)) for d in decisions]
    return markdown_table(
        ("decision", *(f"us at {size:,} workers" for size in sizes)), rows
    )


def idle_table(costs: Iterable[IdleCost]) -> list[str]:
    """Return the table of processor time and memory of each process at idle."""
    rows = [
        (
            str(cost.workers),
            *(f"{100 * share:.1f}" for share in cost.core_share.values()),
            *(f"{size / MB:.1f}" for size in cost.rss_bytes.values()),
        )
        for cost in costs
    ]
    names = ("owner", "platform", "workers")
    head = ("workers", *(f"{n}, % of a core" for n in names))
    return markdown_table((*head, *(f"{n}, RSS MB" for n in names)), rows)


def store_call_table(key_record: KeyRecordCost, start: StartCost) -> list[str]:
    """Return the table-service calls for a key record and for a task."""
    return markdown_table(
        ("item", "commits", "reads or rows written", "row, bytes"),
        [
            (
                "key record",
                f"{key_record.commits:.2f}",
                f"{key_record.reads:.2f} reads",
                f"{key_record.row_bytes}",
            ),
            (
                "task, submission to end",
                f"{start.commits:.3f}",
                f"{start.rows_written:.2f} rows",
                "-",
            ),
        ],
    )


def table_call_rates(calls: Iterable[TableCalls]) -> list[str]:
    """Return the table-service calls per second while the work doesn't change."""
    rows = [
        (
            str(call.workers),
            str(call.shards),
            str(call.tasks),
            f"{call.reads_s:.1f}",
            f"{call.commits_s:.1f}",
        )
        for call in calls
    ]
    return markdown_table(("workers", "shards", "tasks", "reads/s", "commits/s"), rows)

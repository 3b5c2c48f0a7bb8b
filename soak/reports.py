"""Record of a run: how to play it again, its breaches, its faults and all logs."""

from collections.abc import Iterator
from pathlib import Path

from soak.events import RunEnded, RunStarted
from soak.history import History
from soak.runs import RunResult


def write_report(result: RunResult, folder: Path) -> Path:
    """Write the record of a run and return its path."""
    folder.mkdir(parents=True, exist_ok=True)
    path = folder / f"{result.plan.shape}-{result.plan.seed}.txt"
    path.write_text("\n".join(_lines(result)) + "\n", encoding="utf-8")
    return path


def _lines(result: RunResult) -> Iterator[str]:
    yield result.summary()
    yield f"command: {result.plan.command()}"
    yield ""
    for breach in result.breaches:
        yield f"+{breach.at_ms / 1_000:.3f} {breach.rule}: {breach.text}"
    yield ""
    yield "== Faults planned"
    yield from map(str, result.faults)
    yield ""
    yield "== Faults injected, configurations and clients"
    runs = (RunStarted, RunEnded)
    yield from (str(event) for event in result.events if not isinstance(event, runs))
    yield ""
    yield "== Runs"
    yield from map(str, History(result.events).runs)
    for name, log in result.logs.items():
        yield ""
        yield f"== Log of {name}"
        yield log

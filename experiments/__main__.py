"""Run the experiments; write their tables and plots, or print one cell."""

import textwrap
import time
from pathlib import Path

import click

from experiments.pool import cells_of, run_cells
from experiments.trial import MEASURED_MS, VARIANTS, WARM_UP_MS, Cell
from experiments.trial_metrics import Figures
from experiments.workloads import SCENARIOS, USERS

PAGE = Path("docs/measurements.md")
MOST_PROCESSES = 4


@click.command()
@click.option("--user", type=click.Choice(list(USERS)))
@click.option("--scenario", type=click.Choice(list(SCENARIOS)))
@click.option("--variant", type=click.Choice(VARIANTS))
@click.option("--seed", type=int, help="Run this seed only.")
@click.option("--seeds", default=3, show_default=True, help="Run seeds 1 to this.")
@click.option(
    "--processes",
    type=click.IntRange(1, MOST_PROCESSES),
    default=MOST_PROCESSES,
    show_default=True,
)
@click.option("--label", default="", help="Put this before the tables.")
def main(
    user: str | None,
    scenario: str | None,
    variant: str | None,
    seed: int | None,
    seeds: int,
    processes: int,
    label: str,
) -> None:
    """Run all cells and write the page, or print the figures of the chosen ones."""
    numbers = range(1, seeds + 1) if seed is None else [seed]
    cells = cells_of(user, scenario, variant, numbers)
    started_s = time.monotonic()
    results = run_cells(cells, processes)
    took_s = time.monotonic() - started_s
    click.echo(f"seeds {', '.join(map(str, numbers))}; {took_s:.0f} s")
    if (user, scenario, variant, seed) != (None, None, None, None):
        _print(results)
        return
    # Matplotlib is slow to import and is not needed in the processes that run cells.
    from experiments.report import section, write_plots, write_section

    write_section(PAGE, section(results, _head(seeds, took_s, processes, label)))
    write_plots(results, PAGE.parent)
    click.echo(f"written to {PAGE}; repeat one cell with")
    click.echo(
        "python -m experiments --user norrstrom --scenario busy --variant product "
        "--seed 3"
    )


def _print(results: dict[Cell, Figures]) -> None:
    for cell in sorted(results):
        click.echo(" ".join(str(part) for part in cell))
        for name, value in results[cell].items():
            click.echo(f"  {name}: {value:,.3f}")


def _head(seeds: int, took_s: float, processes: int, label: str) -> list[str]:
    measured = (
        f"Measured with `python -m experiments`, seeds 1 to {seeds}, in {took_s:.0f} s "
        f"with {processes} processes: median (least to most) over the seeds. One cell "
        "is repeated with `python -m experiments --user norrstrom --scenario busy "
        "--variant product --seed 3`."
    )
    how = (
        "Each cell runs one instance in each data centre for "
        f"{WARM_UP_MS // 1_000} s, and then for {MEASURED_MS // 1_000} s that are "
        "measured, in virtual time; 45% of both in the overload. The modules are the "
        "product's; the workers are a model with a hidden table of slowdowns "
        "([design.md](design.md), 2.17). `naive`: random routing, first fit by the "
        "declarations, the newest task evicted when the median of 5 requests exceeds "
        "the target, no ejection. `packing`: the same without evictions. `alone`: no "
        "tasks. Goodput is the undisturbed time of the answers in time, as a share of "
        "the slot time that tasks leave. Batch work is the undisturbed time of the "
        "tasks that were done. A checkpoint holds whole steps of 3 s; an eviction "
        "loses the rest. Work is lost otherwise when a task runs out of memory or "
        "fails."
    )
    title = "## Decisions compared with naive ones"
    parts = [title, *([label] if label else []), measured, how]
    return "\n\n".join([title, *map(_wrapped, parts[1:])]).split("\n")


def _wrapped(text: str) -> str:
    return textwrap.fill(text, 90, break_long_words=False, break_on_hyphens=False)


if __name__ == "__main__":
    main()

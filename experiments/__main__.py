"""Run the experiments; write their tables and plots, or print selected trials."""

import textwrap
import time
from pathlib import Path

import click

from experiments.pool import run_trials, select_trials
from experiments.trial import MEASURED_MS, VARIANTS, WARM_UP_MS, Trial
from experiments.trial_metrics import TrialMetrics
from experiments.workloads import SCENARIOS, USERS

PAGE = Path("docs/measurements.md")
MAX_PROCESSES = 4


@click.command()
@click.option("--user", type=click.Choice(list(USERS)))
@click.option("--scenario", type=click.Choice(list(SCENARIOS)))
@click.option("--variant", type=click.Choice(VARIANTS))
@click.option("--seed", type=int, help="Run this seed only.")
@click.option("--seeds", default=3, show_default=True, help="Run seeds 1 to this.")
@click.option(
    "--processes",
    type=click.IntRange(1, MAX_PROCESSES),
    default=MAX_PROCESSES,
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
    """Run all trials and write the page, or print the metrics of selected trials."""
    selected_seeds = range(1, seeds + 1) if seed is None else [seed]
    trials = select_trials(user, scenario, variant, selected_seeds)
    started_s = time.monotonic()
    results = run_trials(trials, processes)
    took_s = time.monotonic() - started_s
    click.echo(f"seeds {', '.join(map(str, selected_seeds))}; {took_s:.0f} s")
    if (user, scenario, variant, seed) != (None, None, None, None):
        _print_metrics(results)
        return
    # Imported late: matplotlib is slow to import and trial processes don't need it.
    from experiments.report import build_section, write_plots, write_section

    write_section(
        PAGE, build_section(results, _build_intro(seeds, took_s, processes, label))
    )
    write_plots(results, PAGE.parent)
    click.echo(f"written to {PAGE}; repeat one trial with")
    click.echo(
        "python -m experiments --user norrstrom --scenario busy --variant product "
        "--seed 3"
    )


def _print_metrics(results: dict[Trial, TrialMetrics]) -> None:
    for trial in sorted(results):
        click.echo(" ".join(str(field) for field in trial))
        for name, value in results[trial].items():
            click.echo(f"  {name}: {value:,.3f}")


def _build_intro(seeds: int, took_s: float, processes: int, label: str) -> list[str]:
    method = (
        f"Measured with `python -m experiments`, seeds 1 to {seeds}, in {took_s:.0f} s "
        f"with {processes} processes: median (least to most) over the seeds. One cell "
        "is repeated with `python -m experiments --user norrstrom --scenario busy "
        "--variant product --seed 3`."
    )
    setup = (
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
    paragraphs = [title, *([label] if label else []), method, setup]
    return "\n\n".join([title, *map(_wrap, paragraphs[1:])]).split("\n")


def _wrap(text: str) -> str:
    return textwrap.fill(text, 90, break_long_words=False, break_on_hyphens=False)


if __name__ == "__main__":
    main()

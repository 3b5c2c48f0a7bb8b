"""Cells run in processes of their own, which must give the same figures each time."""

import gc
import logging
import multiprocessing
import os
from collections.abc import Iterator, Sequence
from concurrent.futures import ProcessPoolExecutor, as_completed
from typing import NamedTuple

import click

from experiments.trial import MEASURED_MS, VARIANTS, WARM_UP_MS, Cell, run_cell
from experiments.trial_metrics import Figures, figures_of
from experiments.workloads import SCENARIOS, USERS
from hyssopweir.clock import Millis


class Span(NamedTuple):
    """Hold the virtual time of a cell."""

    warm_up_ms: Millis = WARM_UP_MS
    measured_ms: Millis = MEASURED_MS


def measure(cell: Cell, span: Span) -> Figures:
    """Run one cell in this process."""
    return figures_of(run_cell(cell, *span))


def cells_of(
    user: str | None, scenario: str | None, variant: str | None, seeds: Sequence[int]
) -> list[Cell]:
    """Return the wanted cells, those that take longest first."""
    cells = [
        Cell(*names, seed)
        for seed in seeds
        for names in _names()
        if all(
            count_startable in (None, name)
            for count_startable, name in zip(
                (user, scenario, variant), names, strict=True
            )
        )
    ]
    costly = ("overload", "busy")
    return sorted(cells, key=lambda cell: (cell.scenario not in costly, cell.seed))


def _names() -> Iterator[tuple[str, str, str]]:
    for user in USERS:
        for scenario in SCENARIOS:
            for variant in VARIANTS:
                # Without evictions, first fit finishes the most work; the aim of the
                # busy scenario compares with it.
                if variant != "packing" or scenario == "busy":
                    yield user, scenario, variant


def _prepare() -> None:
    # The failures that are caused here on purpose would hide the command's output.
    logging.disable(logging.CRITICAL)
    # Most objects of a run live to its end; collections took a part of its time.
    gc.set_threshold(100_000, 50, 100)


def run_cells(
    cells: Sequence[Cell], processes: int, span: Span = Span()
) -> dict[Cell, Figures]:
    """Run all cells; in processes with one seed of hashes, for equal orders of sets."""
    os.environ["PYTHONHASHSEED"] = "0"
    context = multiprocessing.get_context("spawn")
    results: dict[Cell, Figures] = {}
    with ProcessPoolExecutor(processes, context, _prepare) as pool:
        runs = {pool.submit(measure, cell, span): cell for cell in cells}
        for run in as_completed(runs):
            results[runs[run]] = run.result()
            click.echo(f"\r{len(results)} of {len(cells)} cells", err=True, nl=False)
    click.echo(err=True)
    return results

"""Tables and plots of the experiments, written into the page of measurements."""

import re
import statistics
from collections.abc import Sequence
from pathlib import Path

import matplotlib

matplotlib.use("svg")

from matplotlib import pyplot  # noqa: E402

from benchmarks.report import markdown_table  # noqa: E402
from experiments.trial_metrics import (  # noqa: E402
    QUANTILES,
    Results,
    aims_of,
    spread,
    values_of,
)
from experiments.workloads import SCENARIOS, SERVICES, USERS  # noqa: E402

BEGIN = "<!-- experiments: begin -->"
END = "<!-- experiments: end -->"
# Text as text, and no date or random ids, keep the files small and their changes few.
PLOT_STYLE = {"svg.fonttype": "none", "svg.hashsalt": "experiments", "font.size": 8}
COLOURS = {"naive": "#c0603a", "alone": "#9a9a9a", "product": "#2f6f8f"}

LOAD_COLUMNS = {
    "missed deadlines, %": ("late", 2),
    "refused, %": ("refused", 2),
    "failed, %": ("failed", 2),
    "in time, % of offered": ("ok", 1),
    "goodput, % of capacity": ("goodput", 1),
    "batch work finished, s": ("batch", 0),
    "evictions": ("evictions", 0),
    "work lost to them, s": ("evicted work", 1),
    "work lost otherwise, s": ("other loss", 0),
}


def section(results: Results, head: Sequence[str]) -> list[str]:
    """Return the lines of the section, without its markers."""
    lines = [*head, "", *_aims_table(results)]
    for user in _users(results):
        lines += [
            "",
            f"### {user.capitalize()}",
            "",
            f"![Latency and batch work of {user}]({plot_name(user)})",
            "",
            "Latency in ms, of answered requests: p50, p99, p99.9.",
            "",
            *_latency_table(results, user),
            "",
            *_load_table(results, user),
        ]
    return lines


def write_section(page: Path, lines: Sequence[str]) -> None:
    """Replace what stands between the markers; append them to a page without."""
    text = page.read_text()
    block = "\n".join([BEGIN, "", *lines, "", END])
    if BEGIN in text:
        pattern = re.escape(BEGIN) + ".*?" + re.escape(END)
        page.write_text(re.sub(pattern, lambda _: block, text, flags=re.DOTALL))
    else:
        page.write_text(f"{text}\n{block}\n")


def write_plots(results: Results, folder: Path) -> None:
    """Write one plot for each user."""
    with matplotlib.rc_context(PLOT_STYLE):
        for user in _users(results):
            figure, axes = pyplot.subplots(1, 2, figsize=(8, 2.8))
            p99 = "price-check p99"
            _bars(axes[0], results, user, p99, "p99 of price-check, ms")
            _bars(axes[1], results, user, "batch", "batch work finished, s")
            axes[0].legend(frameon=False)
            figure.tight_layout()
            figure.savefig(folder / plot_name(user), metadata={"Date": None})
            pyplot.close(figure)


def plot_name(user: str) -> str:
    """Return the file name of a user's plot."""
    return f"experiments-{user}.svg"


def _bars(axis: object, results: Results, user: str, name: str, title: str) -> None:
    scenarios = list(SCENARIOS)
    for place, variant in enumerate(COLOURS):
        values = [values_of(results, user, s, variant, name) for s in scenarios]
        middles = [statistics.median(v) if v else 0.0 for v in values]
        below = [m - min(v, default=m) for m, v in zip(middles, values, strict=True)]
        above = [max(v, default=m) - m for m, v in zip(middles, values, strict=True)]
        axis.bar(  # type: ignore[attr-defined]
            [index + 0.27 * (place - 1) for index in range(len(scenarios))],
            middles,
            width=0.25,
            yerr=[below, above],
            error_kw={"elinewidth": 0.6},
            color=COLOURS[variant],
            label=variant,
        )
    axis.set_xticks(range(len(scenarios)), scenarios)  # type: ignore[attr-defined]
    axis.set_title(title)  # type: ignore[attr-defined]


def _users(results: Results) -> list[str]:
    present = {cell.user for cell in results}
    return [user for user in USERS if user in present]


def _rows_of(results: Results, user: str) -> list[tuple[str, str]]:
    """Return the pairs of scenario and variant in the order of the tables."""
    present = {(cell.scenario, cell.variant) for cell in results if cell.user == user}
    order = list(SCENARIOS)
    return sorted(present, key=lambda pair: (order.index(pair[0]), pair[1]))


def _aims_table(results: Results) -> list[str]:
    rows = [
        (aim.user, aim.text, aim.aim, aim.measured, "yes" if aim.reached else "no")
        for user in _users(results)
        for aim in aims_of(results, user)
    ]
    return markdown_table(("user", "measure", "aim", "measured", "reached"), rows)


def _latency_table(results: Results, user: str) -> list[str]:
    rows = [
        (
            scenario,
            variant,
            *(
                "; ".join(
                    spread(
                        values_of(
                            results, user, scenario, variant, f"{service} {quantile}"
                        )
                    )
                    for quantile in QUANTILES
                )
                for service in SERVICES
            ),
        )
        for scenario, variant in _rows_of(results, user)
    ]
    return markdown_table(("scenario", "variant", *SERVICES), rows)


def _load_table(results: Results, user: str) -> list[str]:
    rows = [
        (
            scenario,
            variant,
            *(
                spread(values_of(results, user, scenario, variant, name), digits)
                for name, digits in LOAD_COLUMNS.values()
            ),
        )
        for scenario, variant in _rows_of(results, user)
    ]
    return markdown_table(("scenario", "variant", *LOAD_COLUMNS), rows)

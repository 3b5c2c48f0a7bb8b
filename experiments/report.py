"""Tables and plots of the experiments for the page of measurements."""

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
    TrialMetricsByTrial,
    evaluate_criteria,
    format_median_range,
    select_values,
)
from experiments.workloads import SCENARIOS, SERVICES, USERS  # noqa: E402

BEGIN = "<!-- experiments: begin -->"
END = "<!-- experiments: end -->"
# Text elements instead of glyph paths keep the files small; no date and fixed ids keep
# their diffs small.
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


def build_section(results: TrialMetricsByTrial, intro: Sequence[str]) -> list[str]:
    """Return the Markdown lines of the section, without its markers."""
    lines = [*intro, "", *_build_criteria_table(results)]
    for user in _users_in(results):
        lines += [
            "",
            f"### {user.capitalize()}",
            "",
            f"![Latency and batch work of {user}]({plot_name(user)})",
            "",
            "Latency in ms, of answered requests: p50, p99, p99.9.",
            "",
            *_build_latency_table(results, user),
            "",
            *_build_load_table(results, user),
        ]
    return lines


def write_section(page: Path, lines: Sequence[str]) -> None:
    """Replace the section between the markers, or append it if there are none."""
    text = page.read_text()
    block = "\n".join([BEGIN, "", *lines, "", END])
    if BEGIN in text:
        pattern = re.escape(BEGIN) + ".*?" + re.escape(END)
        page.write_text(re.sub(pattern, lambda _: block, text, flags=re.DOTALL))
    else:
        page.write_text(f"{text}\n{block}\n")


def write_plots(results: TrialMetricsByTrial, folder: Path) -> None:
    """Write one SVG plot for each user."""
    with matplotlib.rc_context(PLOT_STYLE):
        for user in _users_in(results):
            figure, subplots = pyplot.subplots(1, 2, figsize=(8, 2.8))
            p99 = "price-check p99"
            _draw_bars(subplots[0], results, user, p99, "p99 of price-check, ms")
            _draw_bars(subplots[1], results, user, "batch", "batch work finished, s")
            subplots[0].legend(frameon=False)
            figure.tight_layout()
            figure.savefig(folder / plot_name(user), metadata={"Date": None})
            pyplot.close(figure)


def plot_name(user: str) -> str:
    """Return the file name of a user's plot."""
    return f"experiments-{user}.svg"


def _draw_bars(
    axes: object, results: TrialMetricsByTrial, user: str, name: str, title: str
) -> None:
    scenarios = list(SCENARIOS)
    for index, variant in enumerate(COLOURS):
        values = [select_values(results, user, s, variant, name) for s in scenarios]
        medians = [statistics.median(v) if v else 0.0 for v in values]
        below = [m - min(v, default=m) for m, v in zip(medians, values, strict=True)]
        above = [max(v, default=m) - m for m, v in zip(medians, values, strict=True)]
        axes.bar(  # type: ignore[attr-defined]
            [
                scenario_index + 0.27 * (index - 1)
                for scenario_index in range(len(scenarios))
            ],
            medians,
            width=0.25,
            yerr=[below, above],
            error_kw={"elinewidth": 0.6},
            color=COLOURS[variant],
            label=variant,
        )
    axes.set_xticks(range(len(scenarios)), scenarios)  # type: ignore[attr-defined]
    axes.set_title(title)  # type: ignore[attr-defined]


def _users_in(results: TrialMetricsByTrial) -> list[str]:
    present = {trial.user for trial in results}
    return [user for user in USERS if user in present]


def _row_keys(results: TrialMetricsByTrial, user: str) -> list[tuple[str, str]]:
    """Return the pairs of scenario and variant in table order."""
    present = {
        (trial.scenario, trial.variant) for trial in results if trial.user == user
    }
    order = list(SCENARIOS)
    return sorted(present, key=lambda pair: (order.index(pair[0]), pair[1]))


def _build_criteria_table(results: TrialMetricsByTrial) -> list[str]:
    rows = [
        (
            criterion.user,
            criterion.description,
            criterion.threshold,
            criterion.measured,
            "yes" if criterion.is_met else "no",
        )
        for user in _users_in(results)
        for criterion in evaluate_criteria(results, user)
    ]
    return markdown_table(("user", "measure", "aim", "measured", "reached"), rows)


def _build_latency_table(results: TrialMetricsByTrial, user: str) -> list[str]:
    rows = [
        (
            scenario,
            variant,
            *(
                "; ".join(
                    format_median_range(
                        select_values(
                            results, user, scenario, variant, f"{service} {quantile}"
                        )
                    )
                    for quantile in QUANTILES
                )
                for service in SERVICES
            ),
        )
        for scenario, variant in _row_keys(results, user)
    ]
    return markdown_table(("scenario", "variant", *SERVICES), rows)


def _build_load_table(results: TrialMetricsByTrial, user: str) -> list[str]:
    rows = [
        (
            scenario,
            variant,
            *(
                format_median_range(
                    select_values(results, user, scenario, variant, name), digits
                )
                for name, digits in LOAD_COLUMNS.values()
            ),
        )
        for scenario, variant in _row_keys(results, user)
    ]
    return markdown_table(("scenario", "variant", *LOAD_COLUMNS), rows)

"""Command line of the soak."""

import time
from pathlib import Path

import click

from soak.cases import CASES
from soak.faults import DEFAULT_KINDS
from soak.reports import write_report
from soak.runs import RunPlan, play
from soak.shapes import SHAPES
from tests.ports import free_ports


@click.command()
@click.option("--seed", type=int, default=1, show_default=True, help="First seed.")
@click.option("--runs", type=int, default=1, show_default=True, help="Number of seeds.")
@click.option("--shape", type=click.Choice(list(SHAPES)), default="small")
@click.option("--load", type=float, default=1.0, help="Multiple of the usual load.")
@click.option("--faults-s", type=float, default=20.0, help="Time with faults.")
@click.option("--gap-s", type=float, default=0.8, help="Mean time between faults.")
@click.option("--kinds", default=",".join(DEFAULT_KINDS), help="Kinds of faults.")
@click.option("--cases", is_flag=True, help="Play the runs that failed once instead.")
@click.option("--records", type=click.Path(path_type=Path), default=Path("build/soak"))
def main(
    seed: int,
    runs: int,
    shape: str,
    load: float,
    faults_s: float,
    gap_s: float,
    kinds: str,
    cases: bool,
    records: Path,
) -> None:
    """Play runs of real processes with faults, and check what comes of them."""
    first = RunPlan(seed, shape, load, faults_s, gap_s, tuple(kinds.split(",")))
    plans = [first._replace(seed=number) for number in range(seed, seed + runs)]
    if cases:
        plans = [case.plan for case in CASES]
    broken = 0
    for plan in plans:
        began_s = time.monotonic()
        result = play(plan, free_ports)
        path = write_report(result, records)
        passed_s = time.monotonic() - began_s
        click.echo(f"{result.summary()}, {passed_s:.0f} s, record {path}")
        for breach in result.breaches[:5]:
            click.echo(f"  +{breach.at_ms / 1_000:.3f} {breach.rule}: {breach.text}")
        broken += bool(result.breaches)
    raise SystemExit(1 if broken else 0)


if __name__ == "__main__":
    main()

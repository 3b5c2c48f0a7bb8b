"""Command-line interface: the command group and the commands that run processes."""

from collections.abc import Sequence
from pathlib import Path

import click
from result import Err

from hyssopweir import __version__
from hyssopweir.commands_jobs import cancel, explain, status, submit
from hyssopweir.commands_plans import confirm, plan
from hyssopweir.commands_requests import request
from hyssopweir.commands_views import instances, timeline, workers
from hyssopweir.console import exit_with_faults, print_faults, run_and_exit
from hyssopweir.events import configure_logging
from hyssopweir.schemas import Fault
from hyssopweir.settings import load_settings

file_path = click.Path(path_type=Path)


@click.group(context_settings={"help_option_names": ["-h", "--help"]})
@click.version_option(__version__, prog_name="hyssopweir")
def main() -> None:
    """Schedule latency-critical requests and batch work on shared machines.

    The exit status of every command is its result code; docs/result_codes.md lists
    them.
    """


@main.command()
@click.argument("settings", type=file_path, metavar="SETTINGS")
def serve(settings: Path) -> None:
    """Run an entry instance with the settings file SETTINGS."""
    loaded = load_settings(settings)
    if isinstance(loaded, Err):
        exit_with_faults(loaded.err_value, str(settings))
    from hyssopweir.instance import run_instance

    run_and_exit(run_instance(loaded.ok_value))


@main.command()
@click.argument("settings", type=file_path, metavar="SETTINGS")
def platform(settings: Path) -> None:
    """Run an instance on the users' platform with the settings file SETTINGS."""
    from hyssopweir.platform.__main__ import main as run_platform

    raise SystemExit(run_platform(settings))


@main.command()
@click.argument(
    "settings", type=file_path, nargs=-1, required=True, metavar="SETTINGS..."
)
@click.option("--platform", is_flag=True, help="The files are for the users' platform.")
def check(settings: Sequence[Path], platform: bool) -> None:
    """Check settings files and print every fault with its JSON path."""
    status = 0
    for path in settings:
        faults = _platform_faults(path) if platform else _faults(path)
        if faults:
            print_faults(faults, str(path))
            status = status or int(faults[0].code)
        else:
            click.echo(f"{path}: ok")
    raise SystemExit(status)


def _faults(path: Path) -> list[Fault]:
    loaded = load_settings(path)
    return loaded.err_value if isinstance(loaded, Err) else []


def _platform_faults(path: Path) -> list[Fault]:
    from hyssopweir.platform.settings import load_platform_settings

    loaded = load_platform_settings(path)
    return loaded.err_value if isinstance(loaded, Err) else []


@main.command()
@click.argument("fleet", type=file_path, metavar="FLEET.json")
@click.option(
    "--parts",
    type=click.Choice(["all", "platform", "workers"]),
    default="all",
    show_default=True,
    help="What this process stands in for.",
)
def standin(fleet: Path, parts: str) -> None:
    """Run a stand-in for the platform and the workers described in FLEET.json."""
    from hyssopweir.standin_server import StandinComponents, run_standin

    configure_logging("INFO")
    run_and_exit(run_standin(fleet, StandinComponents(parts)), str(fleet))


@main.command()
@click.option(
    "--examples",
    type=file_path,
    default=Path("examples"),
    show_default=True,
    help="Directory with the fleet and intent files.",
)
def demo(examples: Path) -> None:
    """Run the demonstration on this machine."""
    from hyssopweir.demo import run_demo

    run_and_exit(run_demo(examples))


COMMANDS: tuple[click.Command, ...] = (
    request,
    submit,
    status,
    cancel,
    explain,
    plan,
    confirm,
    instances,
    workers,
    timeline,
)
for command in COMMANDS:
    main.add_command(command)

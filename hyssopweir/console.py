"""Output of the commands: tables, JSON, failures with their exit status."""

import asyncio
import inspect
import json
from collections.abc import Awaitable, Callable, Sequence
from pathlib import Path
from typing import Any, NoReturn, TypeVar

import click
from result import Err, Ok, Result

from hyssopweir.advice import ADVICE
from hyssopweir.api_client import ApiClient
from hyssopweir.codes import Code, Failure, Outcome, failure_to_dict, not_run
from hyssopweir.intents import ConfigurationChange
from hyssopweir.schemas import Fault

T = TypeVar("T")
View = dict[str, Any]
Command = TypeVar("Command", bound=Callable[..., Any])

DEFAULT_ADDRESS = "127.0.0.1:8080"
COLUMN_GAP = "  "
UNIT_SUFFIXES = {
    "_ms": "ms",
    "_gb": "GB",
    "_s": "s",
    "_bytes": "bytes",
    "_percent": "%",
}
OUTCOME_TEXT = {
    Outcome.NOT_RUN: "Nothing was run or changed.",
    Outcome.RAN: "It was run, but its result can't be delivered.",
    Outcome.UNKNOWN: "It is not known whether it took effect.",
}

address_option = click.option(
    "--address",
    envvar="HYSSOPWEIR_ADDRESS",
    default=DEFAULT_ADDRESS,
    show_default=True,
    show_envvar=True,
    metavar="HOST:PORT",
    help="Entry instance to call.",
)
json_option = click.option("--json", "as_json", is_flag=True, help="Print JSON.")


def client_options(command: Command) -> Command:
    """Add the options that all commands have that call an instance."""
    return address_option(json_option(command))


def call(
    address: str,
    as_json: bool,
    act: Callable[[ApiClient], Awaitable[Result[T, Failure]]],
    caller: str | None = None,
) -> T:
    """Call an instance and return its answer, or end with the failure's status."""

    async def run() -> Result[T, Failure]:
        async with ApiClient(address, caller) as client:
            return await act(client)

    reply = asyncio.run(run())
    if isinstance(reply, Err):
        fail(reply.err_value, as_json)
    return reply.ok_value


def run_to_end(work: Any, source: str = "") -> NoReturn:
    """Await ``work`` if need be and end with the status that it returns.

    It returns a status, nothing, or a ``Result`` whose error is one failure or a list
    of faults.
    """
    if inspect.iscoroutine(work):
        work = asyncio.run(work)
    if isinstance(work, Err) and isinstance(work.err_value, Failure):
        fail(work.err_value)
    if isinstance(work, Err):
        fail_with_faults(work.err_value, source)
    value = work.ok_value if isinstance(work, Ok) else work
    raise SystemExit(int(value or 0))


def fail_with_faults(faults: Sequence[Fault], source: str = "") -> NoReturn:
    """Print every fault; exit with the code of the first."""
    report_faults(faults, source)
    raise SystemExit(int(faults[0].code))


def report_faults(faults: Sequence[Fault], source: str = "") -> None:
    """Print every fault with its JSON path, and what to do."""
    for fault in faults:
        click.echo(f"{source}: {fault}" if source else str(fault), err=True)
    click.echo(f"To do: {ADVICE[faults[0].code]}", err=True)


def fail(failure: Failure, as_json: bool = False) -> NoReturn:
    """Print what happened, what did not, and what to do; exit with the code."""
    report(failure, as_json)
    raise SystemExit(int(failure.code))


def report(failure: Failure, as_json: bool = False) -> None:
    """Print a failure to standard error."""
    if as_json:
        click.echo(json.dumps(failure_to_dict(failure)), err=True)
        return
    click.secho(f"error: {failure}", fg="red", err=True)
    for line in _extra_lines(failure.extra):
        click.echo(f"  {line}", err=True)
    click.echo(OUTCOME_TEXT[failure.outcome], err=True)
    click.echo(f"To do: {ADVICE[failure.code]}", err=True)


def _extra_lines(extra: dict[str, Any]) -> list[str]:
    lines = [f"{fault['path']}: {fault['detail']}" for fault in extra.get("faults", [])]
    lines += [
        str(ConfigurationChange(**change)) for change in extra.get("difference", [])
    ]
    return lines + [str(form) for form in extra.get("questions", [])]


def read_json(path: Path) -> Any:
    """Return the JSON value in a file, or end with ``USAGE``."""
    try:
        return json.loads(path.read_text(encoding="utf-8"))
    except (OSError, UnicodeDecodeError) as exc:
        fail(not_run(Code.USAGE, f"{path} can't be read: {exc}"))
    except (ValueError, RecursionError) as exc:
        fail(not_run(Code.USAGE, f"{path} is not JSON: {exc}"))


def show(view: View, as_json: bool) -> None:
    """Print an answer: JSON, its readable text, or its fields."""
    if as_json:
        click.echo(json.dumps(view))
    elif isinstance(view.get("text"), str):
        click.echo(view["text"])
    else:
        click.echo("\n".join(_view_lines(view)))


def _view_lines(view: View) -> list[str]:
    lines: list[str] = []
    for name, value in view.items():
        if isinstance(value, list) and value and isinstance(value[0], dict):
            lines += ["", f"{name}:", table(value)]
        else:
            lines.append(f"{_heading(name)}: {_cell(value)}")
    return lines


def table(rows: Sequence[View]) -> str:
    """Return an aligned table; numbers are set to the right."""
    names = list(dict.fromkeys(name for row in rows for name in row))
    cells = [[_cell(row.get(name)) for name in names] for row in rows]
    headings = [_heading(name) for name in names]
    widths = [max(map(len, column)) for column in zip(headings, *cells, strict=True)]
    numeric = [_is_numeric([row.get(name) for row in rows]) for name in names]
    first = click.style(_line(headings, widths, numeric), bold=True)
    return "\n".join([first, *(_line(row, widths, numeric) for row in cells)])


def _line(cells: Sequence[str], widths: Sequence[int], numeric: Sequence[bool]) -> str:
    parts = [
        cell.rjust(width) if right else cell.ljust(width)
        for cell, width, right in zip(cells, widths, numeric, strict=True)
    ]
    return COLUMN_GAP.join(parts).rstrip()


def _is_numeric(values: Sequence[Any]) -> bool:
    return all(value is None or type(value) in (int, float) for value in values)


def _heading(name: str) -> str:
    for suffix, unit in UNIT_SUFFIXES.items():
        if name.endswith(suffix):
            return f"{name.removesuffix(suffix)} [{unit}]".replace("_", " ")
    return name.replace("_", " ")


def _cell(value: Any) -> str:
    if value is None:
        return "-"
    if isinstance(value, bool):
        return "yes" if value else "no"
    if isinstance(value, list):
        return ", ".join(map(_cell, value)) or "-"
    return json.dumps(value) if isinstance(value, dict) else str(value)

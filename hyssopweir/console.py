"""Output of the commands: tables, JSON, and failures with their exit status."""

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
from hyssopweir.input_bounds import MAX_ANSWER_DEPTH, InputError, parse_bounded_json
from hyssopweir.intents import ConfigurationChange
from hyssopweir.schemas import Fault

T = TypeVar("T")
View = dict[str, Any]
CommandCallback = TypeVar("CommandCallback", bound=Callable[..., Any])

DEFAULT_ADDRESS = "127.0.0.1:8080"
COLUMN_SEPARATOR = "  "
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


def client_options(command: CommandCallback) -> CommandCallback:
    """Add the options shared by all commands that call an instance."""
    return address_option(json_option(command))


def call_instance(
    address: str,
    as_json: bool,
    operation: Callable[[ApiClient], Awaitable[Result[T, Failure]]],
    caller: str | None = None,
) -> T:
    """Return the value of ``operation``, or exit with the code of its failure."""

    async def run() -> Result[T, Failure]:
        async with ApiClient(address, caller) as client:
            return await operation(client)

    result = asyncio.run(run())
    if isinstance(result, Err):
        exit_with_failure(result.err_value, as_json)
    return result.ok_value


def run_and_exit(work: Any, source: str = "") -> NoReturn:
    """Run ``work`` if it is a coroutine and exit with the status that it returns.

    The value is an exit status, None, or a ``Result`` whose error is one failure or a
    list of faults.
    """
    if inspect.iscoroutine(work):
        work = asyncio.run(work)
    if isinstance(work, Err) and isinstance(work.err_value, Failure):
        exit_with_failure(work.err_value)
    if isinstance(work, Err):
        exit_with_faults(work.err_value, source)
    value = work.ok_value if isinstance(work, Ok) else work
    raise SystemExit(int(value or 0))


def exit_with_faults(faults: Sequence[Fault], source: str = "") -> NoReturn:
    """Print every fault and exit with the result code of the first one."""
    print_faults(faults, source)
    raise SystemExit(int(faults[0].code))


def print_faults(faults: Sequence[Fault], source: str = "") -> None:
    """Print every fault with its JSON path, and the advice for the first one."""
    for fault in faults:
        click.echo(f"{source}: {fault}" if source else str(fault), err=True)
    click.echo(f"To do: {ADVICE[faults[0].code]}", err=True)


def exit_with_failure(failure: Failure, as_json: bool = False) -> NoReturn:
    """Print a failure to standard error and exit with its result code."""
    print_failure(failure, as_json)
    raise SystemExit(int(failure.code))


def print_failure(failure: Failure, as_json: bool = False) -> None:
    """Print a failure with its outcome and advice to standard error."""
    if as_json:
        click.echo(json.dumps(failure_to_dict(failure)), err=True)
        return
    click.secho(f"error: {failure}", fg="red", err=True)
    for line in _format_extra(failure.extra):
        click.echo(f"  {line}", err=True)
    click.echo(OUTCOME_TEXT[failure.outcome], err=True)
    click.echo(f"To do: {ADVICE[failure.code]}", err=True)


def _format_extra(extra: dict[str, Any]) -> list[str]:
    lines = [f"{fault['path']}: {fault['detail']}" for fault in extra.get("faults", [])]
    lines += [
        str(ConfigurationChange(**change)) for change in extra.get("difference", [])
    ]
    return lines + [str(question) for question in extra.get("questions", [])]


def read_json(path: Path) -> Any:
    """Return the JSON value of a file, or exit with ``USAGE``."""
    try:
        return parse_bounded_json(path.read_text(encoding="utf-8"), MAX_ANSWER_DEPTH)
    except (OSError, UnicodeDecodeError) as exc:
        exit_with_failure(not_run(Code.USAGE, f"{path} can't be read: {exc}"))
    except InputError as exc:
        exit_with_failure(not_run(Code.USAGE, f"{path} is unusable: {exc}"))


def print_view(view: View, as_json: bool) -> None:
    """Print a response: as JSON, as its ``text`` field if it has one, or by field."""
    if as_json:
        click.echo(json.dumps(view))
    elif isinstance(view.get("text"), str):
        click.echo(view["text"])
    else:
        click.echo("\n".join(_format_fields(view)))


def _format_fields(view: View) -> list[str]:
    lines: list[str] = []
    for name, value in view.items():
        if isinstance(value, list) and value and isinstance(value[0], dict):
            lines += ["", f"{name}:", format_table(value)]
        else:
            lines.append(f"{_format_heading(name)}: {_format_cell(value)}")
    return lines


def format_table(rows: Sequence[View]) -> str:
    """Return the rows as an aligned table with right-aligned numeric columns."""
    names = list(dict.fromkeys(name for row in rows for name in row))
    cells = [[_format_cell(row.get(name)) for name in names] for row in rows]
    headings = [_format_heading(name) for name in names]
    widths = [max(map(len, column)) for column in zip(headings, *cells, strict=True)]
    numeric_columns = [
        _is_numeric_column([row.get(name) for row in rows]) for name in names
    ]
    heading_row = click.style(_format_row(headings, widths, numeric_columns), bold=True)
    return "\n".join(
        [heading_row, *(_format_row(row, widths, numeric_columns) for row in cells)]
    )


def _format_row(
    cells: Sequence[str], widths: Sequence[int], numeric_columns: Sequence[bool]
) -> str:
    padded = [
        cell.rjust(width) if align_right else cell.ljust(width)
        for cell, width, align_right in zip(cells, widths, numeric_columns, strict=True)
    ]
    return COLUMN_SEPARATOR.join(padded).rstrip()


def _is_numeric_column(values: Sequence[Any]) -> bool:
    return all(value is None or type(value) in (int, float) for value in values)


def _format_heading(name: str) -> str:
    for suffix, unit in UNIT_SUFFIXES.items():
        if name.endswith(suffix):
            return f"{name.removesuffix(suffix)} [{unit}]".replace("_", " ")
    return name.replace("_", " ")


def _format_cell(value: Any) -> str:
    if value is None:
        return "-"
    if isinstance(value, bool):
        return "yes" if value else "no"
    if isinstance(value, list):
        return ", ".join(map(_format_cell, value)) or "-"
    return json.dumps(value) if isinstance(value, dict) else str(value)

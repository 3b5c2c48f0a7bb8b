"""Commands that show the state of the system: instances, workers, timeline."""

import asyncio
import json
from collections.abc import Sequence
from pathlib import Path

import click
from result import Err, Ok, Result

from hyssopweir.api_client import ApiClient, api_path
from hyssopweir.codes import Code, Failure, not_run, unknown
from hyssopweir.console import (
    DEFAULT_ADDRESS,
    call_instance,
    client_options,
    format_table,
    print_failure,
)
from hyssopweir.timeline import (
    Timeline,
    check_records,
    format_text,
    merge_timelines,
    parse_lines,
    to_trace,
)


@click.command()
@client_options
def instances(address: str, as_json: bool) -> None:
    """List the entry instances that the called one sees."""
    _print_rows("instances", address, as_json)


@click.command()
@client_options
def workers(address: str, as_json: bool) -> None:
    """List the workers that the called instance sees."""
    _print_rows("workers", address, as_json)


def _print_rows(name: str, address: str, as_json: bool) -> None:
    view = call_instance(address, as_json, lambda client: client.get(api_path(name)))
    rows = view.get(name, [])
    if as_json:
        click.echo(json.dumps(view))
    else:
        click.echo(format_table(rows) if rows else f"no {name}")


@click.command()
@click.argument("logs", nargs=-1, type=click.Path(path_type=Path), metavar="[LOG]...")
@click.option(
    "--address",
    "addresses",
    multiple=True,
    envvar="HYSSOPWEIR_ADDRESS",
    show_envvar=True,
    metavar="HOST:PORT",
    help=f"Instance to read from; may be repeated. {DEFAULT_ADDRESS} without logs.",
)
@click.option(
    "--format",
    "form",
    type=click.Choice(["text", "trace"]),
    default="text",
    show_default=True,
    help="Text, or Chrome trace-event JSON for a trace viewer.",
)
def timeline(logs: Sequence[Path], addresses: Sequence[str], form: str) -> None:
    """Merge the events of several processes into one order.

    LOG files hold JSON lines. Sources that can't be read are reported, and the others
    are shown; the exit status is then that of the last failure.
    """
    if not logs and not addresses:
        addresses = [DEFAULT_ADDRESS]
    replies = [_read_log(path) for path in logs] + asyncio.run(
        _read_instances(addresses)
    )
    timelines = [reply.ok_value for reply in replies if isinstance(reply, Ok)]
    failures = [reply.err_value for reply in replies if isinstance(reply, Err)]
    merged = merge_timelines(timelines)
    click.echo(json.dumps(to_trace(merged)) if form == "trace" else format_text(merged))
    if merged.malformed_count:
        click.echo(f"{merged.malformed_count} broken lines were left out", err=True)
    for failure in failures:
        print_failure(failure)
    if failures:
        raise SystemExit(int(failures[-1].code))


def _read_log(path: Path) -> Result[Timeline, Failure]:
    try:
        with path.open(encoding="utf-8", errors="replace") as lines:
            return Ok(parse_lines(lines))
    except OSError as exc:
        return Err(not_run(Code.USAGE, f"{path} can't be read: {exc}"))


async def _read_instances(addresses: Sequence[str]) -> list[Result[Timeline, Failure]]:
    return await asyncio.gather(*map(_read_instance, addresses))


async def _read_instance(address: str) -> Result[Timeline, Failure]:
    async with ApiClient(address) as client:
        reply = await client.get(api_path("events"))
    if isinstance(reply, Err):
        return reply
    events = reply.ok_value.get("events")
    if not isinstance(events, list):
        return Err(unknown(Code.PEER_JUNK, f"{address} sent no list of events"))
    return Ok(check_records(events))

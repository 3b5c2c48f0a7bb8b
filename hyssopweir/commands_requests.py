"""Command that sends a request to a service through an entry instance."""

import json
import sys
from pathlib import Path

import click

from hyssopweir.codes import Code, not_run
from hyssopweir.console import call_instance, client_options, exit_with_failure


@click.command()
@click.argument("service")
@click.argument("body")
@click.option(
    "--key", help="Idempotency key; required if the service is not idempotent."
)
@click.option("--deadline-ms", type=click.IntRange(1), help="Time for the answer, ms.")
@click.option("--caller", help="Name of the caller, to whom the key belongs.")
@click.option("--urgent", is_flag=True, help="Go before other requests.")
@client_options
def request(
    service: str,
    body: str,
    key: str | None,
    deadline_ms: int | None,
    caller: str | None,
    urgent: bool,
    address: str,
    as_json: bool,
) -> None:
    """Send BODY to SERVICE and print the answer.

    BODY is text, @FILE for the contents of a file, or - for standard input.
    """
    content = _read_body(body)
    response = call_instance(
        address,
        as_json,
        lambda client: client.request(service, content, key, deadline_ms, urgent),
        caller,
    )
    if not as_json:
        click.echo(response.body, nl=sys.stdout.isatty())
        return
    headers = {
        name: value for name, value in response.headers.items() if name.startswith("X-")
    }
    text = response.body.decode(errors="replace")
    click.echo(json.dumps({"body": text, "headers": headers}))


def _read_body(body: str) -> bytes:
    if body == "-":
        return sys.stdin.buffer.read()
    if not body.startswith("@"):
        return body.encode()
    try:
        return Path(body[1:]).read_bytes()
    except OSError as exc:
        exit_with_failure(not_run(Code.USAGE, f"{body[1:]} can't be read: {exc}"))

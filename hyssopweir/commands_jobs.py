"""Commands for batch jobs: submit, status, cancel, explain."""

from pathlib import Path

import click

from hyssopweir.api_client import path_of
from hyssopweir.console import call, client_options, read_json, show


@click.command()
@click.argument("job", type=click.Path(path_type=Path), metavar="JOB.json")
@click.option("--caller", help="Name of the caller that submits the job.")
@client_options
def submit(job: Path, caller: str | None, address: str, as_json: bool) -> None:
    """Submit the batch job in JOB.json.

    The job's id is its idempotency key: submitting the same job again changes nothing.
    """
    spec = read_json(job)
    view = call(
        address, as_json, lambda client: client.post(path_of("jobs"), spec), caller
    )
    show(view, as_json)


@click.command()
@click.argument("job")
@client_options
def status(job: str, address: str, as_json: bool) -> None:
    """Show the state of JOB and of its tasks."""
    path = path_of("jobs", job)
    show(call(address, as_json, lambda client: client.get(path)), as_json)


@click.command()
@click.argument("job")
@client_options
def cancel(job: str, address: str, as_json: bool) -> None:
    """Cancel JOB; tasks that are done stay done."""
    path = path_of("jobs", job)
    show(call(address, as_json, lambda client: client.delete(path)), as_json)


@click.command()
@click.argument("job")
@client_options
def explain(job: str, address: str, as_json: bool) -> None:
    """Say why the tasks of JOB ran, or wait, where they do."""
    path = path_of("jobs", job, "explain")
    show(call(address, as_json, lambda client: client.get(path)), as_json)

"""Commands for batch jobs: submit, status, cancel, explain."""

from pathlib import Path

import click

from hyssopweir.api_client import api_path
from hyssopweir.console import call_instance, client_options, print_view, read_json


@click.command()
@click.argument("job", type=click.Path(path_type=Path), metavar="JOB.json")
@click.option("--caller", help="Name of the caller that submits the job.")
@client_options
def submit(job: Path, caller: str | None, address: str, as_json: bool) -> None:
    """Submit the batch job in JOB.json.

    The job's id is its idempotency key: submitting the same job again changes nothing.
    """
    spec = read_json(job)
    view = call_instance(
        address, as_json, lambda client: client.post(api_path("jobs"), spec), caller
    )
    print_view(view, as_json)


@click.command()
@click.argument("job")
@client_options
def status(job: str, address: str, as_json: bool) -> None:
    """Show the state of JOB and of its tasks."""
    path = api_path("jobs", job)
    print_view(
        call_instance(address, as_json, lambda client: client.get(path)), as_json
    )


@click.command()
@click.argument("job")
@client_options
def cancel(job: str, address: str, as_json: bool) -> None:
    """Cancel JOB; tasks that are done stay done."""
    path = api_path("jobs", job)
    print_view(
        call_instance(address, as_json, lambda client: client.delete(path)), as_json
    )


@click.command()
@click.argument("job")
@client_options
def explain(job: str, address: str, as_json: bool) -> None:
    """Say why the tasks of JOB ran, or wait, where they do."""
    path = api_path("jobs", job, "explain")
    print_view(
        call_instance(address, as_json, lambda client: client.get(path)), as_json
    )

"""Commands for plans: create, query and confirm."""

from pathlib import Path

import click

from hyssopweir.api_client import api_path
from hyssopweir.console import call_instance, client_options, print_view, read_json


@click.command()
@click.argument("intent_or_id", metavar="INTENT.json|ID")
@click.option("--ask", "question", help="Ask a question about the plan ID.")
@client_options
def plan(intent_or_id: str, question: str | None, address: str, as_json: bool) -> None:
    """Make a plan from INTENT.json, or show or ask about the plan ID.

    A plan changes nothing until it is confirmed. Questions: "what changes", "what is
    expected", "what is not promised", "why service NAME", "why batch NAME",
    "why team NAME", "why version NUMBER".
    """
    path = api_path("plans", intent_or_id)
    if question is not None:
        data = {"question": question}
        view = call_instance(
            address, as_json, lambda client: client.post(f"{path}/ask", data)
        )
    elif intent_or_id.endswith(".json") or Path(intent_or_id).is_file():
        intent = read_json(Path(intent_or_id))
        view = call_instance(
            address, as_json, lambda client: client.post(api_path("plans"), intent)
        )
    else:
        view = call_instance(address, as_json, lambda client: client.get(path))
    print_view(view, as_json)


@click.command()
@click.argument("plan_id", metavar="ID")
@client_options
def confirm(plan_id: str, address: str, as_json: bool) -> None:
    """Put the plan ID into force; repeating it is safe."""
    path = api_path("plans", plan_id, "confirm")
    view = call_instance(address, as_json, lambda client: client.post(path))
    if as_json:
        print_view(view, as_json)
        return
    version = view["result"]["version"]
    click.echo(f"Plan {plan_id} is confirmed as configuration version {version}.")

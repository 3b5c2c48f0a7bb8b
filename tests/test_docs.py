"""Consistency of the documentation with the code, in both directions."""

import json
import re
from collections.abc import Iterator
from enum import IntEnum
from pathlib import Path
from typing import Any

import pytest

from hyssopweir.advice import ADVICE
from hyssopweir.cli import main
from hyssopweir.codes import Code
from hyssopweir.configuration import configuration_schema
from hyssopweir.events import Event
from hyssopweir.plan_accounts import ENFORCED_FIELDS
from hyssopweir.plans import QUESTION_FORMS
from hyssopweir.settings import settings_schema

ROOT = Path(__file__).parent.parent
PAGES = sorted([*ROOT.glob("*.md"), *ROOT.glob("docs/*.md")])


def read_table(page: str, heading: str) -> list[list[str]]:
    """Return the body rows of the table whose first column is headed ``heading``."""
    lines = (ROOT / page).read_text().splitlines()
    start = next(i for i, line in enumerate(lines) if line.startswith(f"| {heading} |"))
    rows = []
    for line in lines[start + 2 :]:
        if not line.startswith("|"):
            break
        rows.append([cell.strip().strip("`") for cell in line.strip("|").split("|")])
    return rows


@pytest.mark.parametrize(
    ("page", "members"), [("docs/result_codes.md", Code), ("docs/events.md", Event)]
)
def test_numbered_table_matches_the_code(page: str, members: type[IntEnum]) -> None:
    """Guards against a code or event that is missing, stale or without advice."""
    rows = read_table(page, "number")
    assert [row[:2] for row in rows] == [[str(int(m)), m.name] for m in members]
    assert all(len(row) == 4 and row[2] and row[3] for row in rows)


def test_documented_advice_is_what_the_commands_print() -> None:
    """Guards against advice that differs between the page and the commands."""
    rows = read_table("docs/result_codes.md", "number")
    assert {Code[row[1]]: row[3] for row in rows} == ADVICE


def leaf_fields(
    schema: dict[str, Any], subschema: dict[str, Any], path: str = ""
) -> Iterator[tuple[str, dict[str, Any]]]:
    """Yield the path and schema of each leaf; ``*`` stands for user-chosen names."""
    if "$ref" in subschema:
        subschema = schema["$defs"][subschema["$ref"].rpartition("/")[2]]
    children = dict(subschema.get("properties", {}))
    extra = subschema.get("additionalProperties")
    if isinstance(extra, dict) and "properties" in extra:
        children["*"] = extra
    for name, child in children.items():
        yield from leaf_fields(schema, child, f"{path}.{name}" if path else name)
    if not children:
        yield path, subschema


def assert_rows_match_schema(rows: list[list[str]], schema: dict[str, Any]) -> None:
    fields = dict(leaf_fields(schema, schema))
    listed = {re.sub(r"\b(NAME|KIND)\b", "*", row[0]): row for row in rows}
    assert list(listed) == list(fields)
    for path, field in fields.items():
        if "default" in field:
            default = field["default"]
            text = default if isinstance(default, str) else json.dumps(default)
            assert listed[path][2] == text, path
        if "minimum" in field:
            expected = f"{field['minimum']} to {field['maximum']}"
            assert listed[path][3] == expected, path


def test_settings_table_matches_the_schema() -> None:
    """Guards against a setting that is missing or has another default or range."""
    assert_rows_match_schema(
        read_table("docs/configuration.md", "setting"), settings_schema()
    )


def test_configuration_table_matches_the_schema() -> None:
    """Guards against a missing field and a field wrongly documented as enforced."""
    rows = read_table("docs/configuration.md", "field")
    assert_rows_match_schema(rows, configuration_schema())
    enforced = {
        re.sub(r"\.(NAME|KIND)\.", ".", row[0]) for row in rows if row[5] == "yes"
    }
    assert enforced == ENFORCED_FIELDS


def test_documented_question_forms_match_the_code() -> None:
    """Guards against a documented question form that the plan command refuses."""
    text = (ROOT / "docs/configuration.md").read_text()
    assert tuple(re.findall(r"^\* `(w.+)`$", text, re.MULTILINE)) == QUESTION_FORMS
    command_help = " ".join((main.commands["plan"].help or "").split())
    assert all(form in command_help for form in QUESTION_FORMS)


def test_schema_copy_is_identical() -> None:
    """Guards against a published schema that differs from the one in the package."""
    copy = (ROOT / "docs/settings.schema.json").read_bytes()
    assert copy == (ROOT / "hyssopweir/settings_schema.json").read_bytes()


@pytest.mark.parametrize("page", PAGES, ids=lambda page: str(page.relative_to(ROOT)))
def test_page_references_exist(page: Path) -> None:
    """Guards against commands, make targets, files and settings that do not exist."""
    text = page.read_text()
    targets = set(re.findall(r"^(\w+):", (ROOT / "Makefile").read_text(), re.MULTILINE))
    quoted = "\n".join(re.findall(r"```.*?```|`[^`]+`", text, re.DOTALL))
    for name, options in re.findall(r"\bhyssopweir ([a-z]+)(.*)", quoted):
        assert name in main.commands, name
        known = {opt for param in main.commands[name].params for opt in param.opts}
        assert set(re.findall(r"(?<!\S)--[a-z-]+", options)) <= known, options
    assert set(re.findall(r"\bmake ([a-z]+)", quoted)) <= targets
    for link in re.findall(r"\]\(([^)#:]+)\)", text):
        assert (page.parent / link).exists(), link
    settings = dict(leaf_fields(settings_schema(), settings_schema()))
    for name in re.findall(r"`((?:timing|limits)\.\w+)`", text):
        assert name in settings, name


def test_every_command_is_documented() -> None:
    """Guards against a command that no page mentions."""
    text = "\n".join(page.read_text() for page in PAGES)
    missing = [name for name in main.commands if f"hyssopweir {name}" not in text]
    assert missing == []

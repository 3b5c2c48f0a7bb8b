"""JSON file loading and validation against the JSON schemas of this package."""

import json
from functools import cache
from importlib import resources
from pathlib import Path
from typing import Any, NamedTuple, cast

from jsonschema import Draft202012Validator, FormatChecker
from jsonschema.exceptions import ValidationError
from result import Err, Ok, Result

from hyssopweir.codes import Code
from hyssopweir.input_bounds import MAX_FAULT_CHARS, parse_bounded_json


class Fault(NamedTuple):
    """Validation error in JSON data, located by its JSON path."""

    code: Code
    path: str
    detail: str

    def __str__(self) -> str:
        return f"{self.code.name} ({int(self.code)}) at {self.path}: {self.detail}"


def read_json_file(path: Path) -> Result[Any, list[Fault]]:
    """Load a JSON file; the error is ``SETTINGS_UNREADABLE``."""
    try:
        return Ok(parse_bounded_json(path.read_text(encoding="utf-8")))
    except (OSError, ValueError) as exc:
        return Err([Fault(Code.SETTINGS_UNREADABLE, "$", str(exc))])


@cache
def load_schema(name: str) -> dict[str, Any]:
    """Return the cached schema ``<name>_schema.json``; callers must not change it."""
    file = resources.files("hyssopweir").joinpath(f"{name}_schema.json")
    return cast(dict[str, Any], json.loads(file.read_text()))


def schema_faults(schema: dict[str, Any], data: Any, code: Code) -> list[Fault]:
    """Validate ``data``; return every fault, sorted by JSON path."""
    validator = Draft202012Validator(schema, format_checker=FormatChecker())
    errors = sorted(validator.iter_errors(data), key=lambda error: error.json_path)
    return [Fault(code, error.json_path, _describe(error)) for error in errors]


def _describe(error: ValidationError) -> str:
    if error.validator == "anyOf":
        return f"{error.instance!r:.{MAX_FAULT_CHARS}} is not an IP address"
    return error.message[:MAX_FAULT_CHARS]

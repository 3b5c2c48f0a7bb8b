"""Rows of the operator: parser of the configuration, keys of the evacuations."""

from typing import Any

from hyssopweir.clock import Millis
from hyssopweir.input_bounds import (
    parse_bounded_json,
    read_float,
    read_int,
    read_list,
    read_object,
    read_text,
)
from hyssopweir.queue_policies import QueueConfiguration, QueuePolicy

OPERATOR_TABLE = "op"
CONFIGURATION_KEY = "config"
# Followed by the name of a data centre.
EVACUATION_PREFIX = "evacuate/"

MAX_ROUTES = 100_000
MAX_PRIORITY = 1_000_000
MAX_FAILURES = 1_000_000
MAX_STRETCH = 1e6
# A year; the deadlines of jobs are derived from it.
MAX_SLACK_MS: Millis = 366 * 86_400_000
DEFAULT_BODY_BYTES = 1 << 20


def parse_configuration(value: bytes) -> QueueConfiguration:
    """Parse the row; raise ``InputError`` if it is malformed."""
    data = read_object(parse_bounded_json(value), "configuration")
    limits = read_object(data.get("limits", {}), "limits")
    routes = read_list(data.get("routes"), "routes", MAX_ROUTES)
    return QueueConfiguration(
        read_int(data.get("version"), "version"),
        tuple(_parse_route(read_object(route, "route")) for route in routes),
        read_int(limits.get("maxBodyBytes", DEFAULT_BODY_BYTES), "maxBodyBytes"),
    )


def _parse_route(route: dict[str, Any]) -> QueuePolicy:
    stretch = route.get("stretchFactor", 1.0)
    slack_ms = route.get("targetLatencyMs", 0)
    return QueuePolicy(
        name=read_text(route.get("name"), "name"),
        host=read_text(route.get("host"), "host"),
        prefix=read_text(route.get("pathPrefix"), "pathPrefix"),
        service=read_text(route.get("service"), "service"),
        priority=read_int(route.get("priority", 0), "priority", 0, MAX_PRIORITY),
        # The platform limits attempts, and the last one may fail too.
        most_failures=read_int(
            route.get("maxAttempts", 1), "maxAttempts", 0, MAX_FAILURES
        ),
        stretch=read_float(stretch, "stretchFactor", 0.0, MAX_STRETCH),
        slack_ms=int(read_float(slack_ms, "targetLatencyMs", 0, MAX_SLACK_MS)),
        needs_ticket=bool(route.get("advice")),
    )

"""Parser of the store row that holds the operator's configuration."""

import json
from typing import Any

from hyssopweir.queue_policies import QueueConfiguration, QueuePolicy

OPERATOR_TABLE = "op"
CONFIGURATION_KEY = "config"


def parse_configuration(value: bytes) -> QueueConfiguration:
    """Parse the row; raise ``ValueError``, ``KeyError`` or ``TypeError``."""
    data = json.loads(value)
    if not isinstance(data, dict):
        raise TypeError("the configuration is not a JSON object")
    limits = data.get("limits", {})
    return QueueConfiguration(
        int(data["version"]),
        tuple(_parse_route(route) for route in data["routes"]),
        int(limits.get("maxBodyBytes", 1 << 20)),
    )


def _parse_route(route: dict[str, Any]) -> QueuePolicy:
    return QueuePolicy(
        name=route["name"],
        host=route["host"],
        prefix=route["pathPrefix"],
        service=route["service"],
        priority=int(route.get("priority", 0)),
        # The platform limits attempts, and the last one may fail too.
        most_failures=int(route.get("maxAttempts", 1)),
        stretch=float(route.get("stretchFactor", 1.0)),
        slack_ms=int(route.get("targetLatencyMs", 0)),
        needs_ticket=bool(route.get("advice")),
    )

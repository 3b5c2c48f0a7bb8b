"""The operator's configuration, as its row in the store describes it."""

import json
from typing import Any

from hyssopweir.queue_policies import QueueConfiguration, QueuePolicy

OPERATOR_TABLE = "op"
CONFIGURATION_KEY = "config"


def configuration_of(value: bytes) -> QueueConfiguration:
    """Return the configuration; raise ``ValueError``, ``KeyError`` or ``TypeError``."""
    data = json.loads(value)
    if not isinstance(data, dict):
        raise TypeError("the configuration is no object")
    limits = data.get("limits", {})
    return QueueConfiguration(
        int(data["version"]),
        tuple(_queue_of(route) for route in data["routes"]),
        int(limits.get("maxBodyBytes", 1 << 20)),
    )


def _queue_of(route: dict[str, Any]) -> QueuePolicy:
    return QueuePolicy(
        name=route["name"],
        host=route["host"],
        prefix=route["pathPrefix"],
        service=route["service"],
        priority=int(route.get("priority", 0)),
        # The platform counts attempts; the last of them may fail.
        most_failures=int(route.get("maxAttempts", 1)),
        stretch=float(route.get("stretchFactor", 1.0)),
        slack_ms=int(route.get("targetLatencyMs", 0)),
        needs_ticket=bool(route.get("advice")),
    )

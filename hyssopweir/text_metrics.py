"""Event counters and latency histograms in the Prometheus text format."""

from collections.abc import Mapping

from prometheus_client import (
    CollectorRegistry,
    Counter,
    Gauge,
    Histogram,
    generate_latest,
)

from hyssopweir.clock import SECOND_MS, Millis
from hyssopweir.events import Event, EventRecord

CONTENT_TYPE = "text/plain; version=0.0.4"
# Bounds in seconds, from one call within a data centre to the longest objective.
BUCKETS = (0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1.0, 2.0, 5.0, 10.0, 30.0)
# Event fields that contain a duration in ms.
DURATION_FIELDS = ("took_ms", "waited_ms")


class TextMetrics:
    """Metrics registry that is updated from logged events."""

    def __init__(self) -> None:
        self._registry = CollectorRegistry()
        self._events = Counter(
            "hyssopweir_events", "Events by name.", ["name"], registry=self._registry
        )
        self._refusals = Counter(
            "hyssopweir_refusals",
            "Refused calls by result code.",
            ["code"],
            registry=self._registry,
        )
        self._not_admitted = Counter(
            "hyssopweir_jobs_not_admitted",
            "Jobs that were refused since they can't be done in time.",
            ["queue"],
            registry=self._registry,
        )
        self._durations = Histogram(
            "hyssopweir_duration_seconds",
            "Durations of what events report.",
            ["name"],
            buckets=BUCKETS,
            registry=self._registry,
        )
        self._evacuated = Gauge(
            "hyssopweir_evacuated_data_centres",
            "Data centres that are evacuated, as far as this instance knows.",
            registry=self._registry,
        )
        # The search for the labels takes longer than the increment.
        self._event_counters: dict[Event, Counter] = {}
        self._dropped = Gauge(
            "hyssopweir_log_lines_dropped",
            "Log lines that were left out.",
            registry=self._registry,
        )
        self._connections = Gauge(
            "hyssopweir_client_connections",
            "Open connections of clients.",
            registry=self._registry,
        )
        self._held_bytes = Gauge(
            "hyssopweir_client_held_bytes",
            "Memory that clients are counted to hold.",
            registry=self._registry,
        )
        self._clients_dropped = Gauge(
            "hyssopweir_clients_dropped",
            "Clients that were refused or dropped since the start, by reason.",
            ["reason"],
            registry=self._registry,
        )

    def record_clients(
        self, connections: int, held_bytes: int, dropped: Mapping[str, int]
    ) -> None:
        """Update what clients hold, and the total of dropped ones by reason."""
        self._connections.set(connections)
        self._held_bytes.set(held_bytes)
        for reason, count in dropped.items():
            self._clients_dropped.labels(reason).set(count)

    def record_event(self, record: EventRecord) -> None:
        """Update the counters and histograms from an event."""
        name = record.event.name
        counter = self._event_counters.get(record.event)
        if counter is None:
            counter = self._events.labels(name)
            self._event_counters[record.event] = counter
        counter.inc()
        if record.event is Event.EVACUATION_STARTED:
            self._evacuated.inc()
        elif record.event is Event.EVACUATION_ENDED:
            self._evacuated.dec()
        if "code" in record.fields:
            self._refusals.labels(str(record.fields["code"])).inc()
        if record.event is Event.JOB_NOT_ADMITTED:
            self._not_admitted.labels(record.fields["queue"]).inc()
        for field in DURATION_FIELDS:
            if field in record.fields:
                self.observe(name, record.fields[field])

    def observe(self, name: str, duration_ms: Millis) -> None:
        """Add a duration to the histogram labelled ``name``."""
        self._durations.labels(name).observe(duration_ms / SECOND_MS)

    def text(self, dropped: int) -> bytes:
        """Return all metrics; ``dropped`` is the total number of dropped log lines."""
        self._dropped.set(dropped)
        return generate_latest(self._registry)

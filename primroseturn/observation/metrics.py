"""Metrics of one daemon, counted from its events and read from its services."""

from collections.abc import Iterator
from typing import Any

from prometheus_client import (
    CollectorRegistry,
    Counter,
    generate_latest,
    Histogram,
    REGISTRY,
)
from prometheus_client.core import GaugeMetricFamily

from primroseturn.kernel.kernel import Kernel
from primroseturn.observation.catalogue import Event

CONTENT_TYPE = b"text/plain; version=0.0.4; charset=utf-8"
LATENCY_BUCKETS_S = (0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 2.5, 5.0, 10.0)
UNREADY_REASONS = ("draining", "not-configured", "isolated")


class EventMetrics:
    """Counts events, refusals by type and the latency of requests.

    The labels are event names and refusal types, so the number of series does not
    grow with the fleet or with the workspaces.
    """

    def __init__(self, registry: CollectorRegistry) -> None:
        self.events = Counter(
            "primroseturn_events", "Events by name.", ["event"], registry=registry
        )
        self.refusals = Counter(
            "primroseturn_refusals",
            "Refused requests by type.",
            ["type"],
            registry=registry,
        )
        self.latency = Histogram(
            "primroseturn_request_seconds",
            "Time from the request's head to the end of its answer.",
            registry=registry,
            buckets=LATENCY_BUCKETS_S,
        )

    def record_event(self, event: Event, fields: dict[str, Any]) -> None:
        """Count an event."""
        self.events.labels(event.name).inc()
        if event.name == "request-refused":
            self.refusals.labels(fields.get("refusal", "unknown")).inc()
        elif event.name == "request-finished" and "latency_s" in fields:
            self.latency.observe(fields["latency_s"])


class KernelCollector:
    """Reads gauges from the running services when the metrics are fetched."""

    def __init__(self, kernel: Kernel) -> None:
        self.kernel = kernel

    def collect(self) -> Iterator[GaugeMetricFamily]:
        """Yield the gauges of the running services."""
        services = self.kernel.services_by_name
        yield self.unready_gauge(services["readiness"].reasons())
        yield self.targets_gauge(services["listing"])
        if "dispatcher" in services:
            yield from self.dispatcher_gauges(services["dispatcher"])
        if "admission" in services:
            yield GaugeMetricFamily(
                "primroseturn_active_workspaces",
                "Workspaces with tokens or loans here.",
                value=len(services["admission"].shares_by_workspace),
            )

    def unready_gauge(self, reasons: list[str]) -> GaugeMetricFamily:
        """Return a gauge with the reasons for which the daemon is not ready."""
        gauge = GaugeMetricFamily(
            "primroseturn_unready",
            "1 for each reason for which this daemon is not ready.",
            labels=["reason"],
        )
        for reason in UNREADY_REASONS:
            gauge.add_metric([reason], float(reason in reasons))
        return gauge

    def targets_gauge(self, listing: Any) -> GaugeMetricFamily:
        """Return a gauge with the number of listed targets by state."""
        gauge = GaugeMetricFamily(
            "primroseturn_targets", "Listed targets by state.", labels=["state"]
        )
        counts = {"live": 0, "leaving": 0}
        for targets in listing.targets_by_service.values():
            for target in targets.values():
                counts[target.state] += 1
        for state, count in counts.items():
            gauge.add_metric([state], count)
        return gauge

    def dispatcher_gauges(self, dispatcher: Any) -> Iterator[GaugeMetricFamily]:
        """Yield the gauges of detection, ejection and queues."""
        yield GaugeMetricFamily(
            "primroseturn_ejections",
            "Ejections in force in this daemon's view.",
            value=len(dispatcher.ejector.ejections_by_key),
        )
        yield GaugeMetricFamily(
            "primroseturn_floor_ratio",
            "Fraction of a service's live slots that stays in rotation.",
            value=dispatcher.ejector.floor,
        )
        yield GaugeMetricFamily(
            "primroseturn_path_suspected",
            "1 while this daemon suspects its own network path.",
            value=float(dispatcher.monitor.path_suspected),
        )
        yield GaugeMetricFamily(
            "primroseturn_queued_requests",
            "Requests that wait for a slot.",
            value=sum(queue.size for queue in dispatcher.queues_by_service.values()),
        )


class DaemonMetrics:
    """All metrics of one daemon in the text format of Prometheus."""

    def __init__(self, kernel: Kernel) -> None:
        # A registry per daemon: tests and the demo run several daemons in one process.
        self.registry = CollectorRegistry()
        self.registry.register(KernelCollector(kernel))
        self.events = EventMetrics(self.registry)

    def render(self) -> bytes:
        """Return the daemon's metrics and those in the global registry."""
        return generate_latest(self.registry) + generate_latest(REGISTRY)

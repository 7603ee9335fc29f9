"""Counters and histograms of a gateway, in the text format of Prometheus."""

from collections.abc import Callable

from prometheus_client import (
    CollectorRegistry,
    Counter,
    Gauge,
    Histogram,
    generate_latest,
)

BUCKETS = (0.01, 0.03, 0.06, 0.12, 0.18, 0.25, 0.5, 1.0, 1.8, 3.0, 6.0, 15.0, 40.0)
"""Upper bounds of the histograms' buckets, in seconds. The objectives for first tokens,
pauses and calls are among them."""

_LABELS = {
    "answered": ("route", "status"),
    "refused": ("route", "reason"),
    "broken": ("route", "reason"),
    "lost": ("route", "loss"),
    "failed_events": ("event",),
    "customer_queued": ("customer",),
    "customer_displaced": ("customer",),
    "customer_refused": ("customer",),
    "fleet_admission": ("service", "priority", "size", "outcome"),
}


class GatewayMeasures:
    """Metrics by name; each is created at its first use."""

    def __init__(self) -> None:
        self._registry = CollectorRegistry()
        self._counters: dict[str, Counter] = {}
        self._histograms: dict[str, Histogram] = {}

    def count(self, name: str, labels: tuple[str, ...] = ()) -> None:
        """Add one to a counter.

        Args:
            name: Name of the counter, without "figstep_".
            labels: Values of its labels, in the order of ``_LABELS``; for a counter
                that is not listed there, the name of the route or nothing.
        """
        counter = self._counters.get(name)
        if counter is None:
            names = _LABELS.get(name, ("route",) if labels else ())
            counter = Counter(
                f"figstep_{name}",
                name.replace("_", " "),
                names,
                registry=self._registry,
            )
            self._counters[name] = counter
        (counter.labels(*labels) if labels else counter).inc()

    def observe(self, name: str, millis: int, label: str) -> None:
        """Add a duration to a histogram, which counts in seconds.

        ``name`` is given without "figstep_" and "_seconds"; ``label`` names the route.
        """
        histogram = self._histograms.get(name)
        if histogram is None:
            histogram = Histogram(
                f"figstep_{name}_seconds",
                name.replace("_", " "),
                ("route",),
                registry=self._registry,
                buckets=BUCKETS,
            )
            self._histograms[name] = histogram
        histogram.labels(label).observe(millis / 1000)

    def watch(self, name: str, read: Callable[[], float]) -> None:
        """Add a gauge that is read when the metrics are; its name lacks "figstep_"."""
        gauge = Gauge(
            f"figstep_{name}", name.replace("_", " "), registry=self._registry
        )
        gauge.set_function(read)

    def render(self) -> bytes:
        """Return all metrics in the text format of Prometheus."""
        return generate_latest(self._registry)

"""Metrics through statsd, or in memory if no server is configured."""

from abc import ABC, abstractmethod

import statsd


class Metrics(ABC):
    """Interface for recording counters, gauges and timings."""

    @abstractmethod
    def count(self, name: str, value: int = 1) -> None:
        """Add ``value`` to a counter."""

    @abstractmethod
    def gauge(self, name: str, value: float) -> None:
        """Set a gauge to ``value``."""

    @abstractmethod
    def time(self, name: str, millis: float) -> None:
        """Record a duration in milliseconds."""


class StatsdMetrics(Metrics):
    """Sends metrics to a statsd server over UDP."""

    def __init__(self, host: str, port: int, node: str) -> None:
        # Gauges of two entries with the same name would overwrite each other.
        prefix = f"figstep.{node.replace('.', '-')}"
        self._client = statsd.StatsClient(host, port, prefix=prefix)

    def count(self, name: str, value: int = 1) -> None:
        """Add ``value`` to a counter."""
        self._client.incr(name, value)

    def gauge(self, name: str, value: float) -> None:
        """Set a gauge to ``value``."""
        self._client.gauge(name, value)

    def time(self, name: str, millis: float) -> None:
        """Record a duration in milliseconds."""
        self._client.timing(name, millis)


class MemoryMetrics(Metrics):
    """Keeps metrics in memory, for tests and for entries without a statsd server."""

    def __init__(self) -> None:
        self.counters: dict[str, int] = {}
        self.gauges: dict[str, float] = {}

    def count(self, name: str, value: int = 1) -> None:
        """Add ``value`` to a counter."""
        self.counters[name] = self.counters.get(name, 0) + value

    def gauge(self, name: str, value: float) -> None:
        """Set a gauge to ``value``."""
        self.gauges[name] = value

    def time(self, name: str, millis: float) -> None:
        """Store a duration in milliseconds as the gauge of that name."""
        self.gauges[name] = millis

"""Metrics by statsd; without an address they go nowhere."""

from abc import ABC, abstractmethod

import statsd


class Metrics(ABC):
    """Where counters, gauges and timings go."""

    @abstractmethod
    def count(self, name: str, value: int = 1) -> None:
        """Add to a counter."""

    @abstractmethod
    def gauge(self, name: str, value: float) -> None:
        """Set a gauge."""

    @abstractmethod
    def time(self, name: str, millis: float) -> None:
        """Record a duration in milliseconds."""


class StatsdMetrics(Metrics):
    """Sends to a statsd server over UDP."""

    def __init__(self, host: str, port: int, node: str) -> None:
        # Gauges of two entries under one name would overwrite each other.
        prefix = f"figstep.{node.replace('.', '-')}"
        self._client = statsd.StatsClient(host, port, prefix=prefix)

    def count(self, name: str, value: int = 1) -> None:
        """Add to a counter."""
        self._client.incr(name, value)

    def gauge(self, name: str, value: float) -> None:
        """Set a gauge."""
        self._client.gauge(name, value)

    def time(self, name: str, millis: float) -> None:
        """Record a duration in milliseconds."""
        self._client.timing(name, millis)


class MemoryMetrics(Metrics):
    """Keeps everything in memory: the twin for tests and for no server."""

    def __init__(self) -> None:
        self.counters: dict[str, int] = {}
        self.gauges: dict[str, float] = {}

    def count(self, name: str, value: int = 1) -> None:
        """Add to a counter."""
        self.counters[name] = self.counters.get(name, 0) + value

    def gauge(self, name: str, value: float) -> None:
        """Set a gauge."""
        self.gauges[name] = value

    def time(self, name: str, millis: float) -> None:
        """Record a duration as the last gauge of that name."""
        self.gauges[name] = millis

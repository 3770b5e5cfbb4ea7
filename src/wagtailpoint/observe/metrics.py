"""Metrics of one instance: counts, and latency percentiles by hdrhistogram."""

from collections import Counter
from collections.abc import Mapping
from typing import NamedTuple, TypedDict

from hdrh.histogram import HdrHistogram

LOWEST_US = 1
HIGHEST_US = 3_600_000_000
DIGITS = 2
PERCENTILES = (50.0, 90.0, 99.0, 99.9)


class LatencyKey(NamedTuple):
    """What a latency is measured by.

    Attributes:
        measure: ``request`` until the end of the reply, ``backend`` until the response's headers.
        workspace: The workspace, empty for ``backend``.
        request_class: The class, empty for ``backend``.
        backend_server: The backend server, empty for ``request``.
    """

    measure: str
    workspace: str
    request_class: str
    backend_server: str


class LatencySummary(TypedDict):
    """Percentiles in milliseconds, named as in ``p99.9``."""

    count: int
    percentiles_ms: Mapping[str, float]


class Metrics:
    """Counts and latencies since the start of the process."""

    def __init__(self) -> None:
        self._latencies: dict[LatencyKey, HdrHistogram] = {}
        self._counts: Counter[str] = Counter()

    @property
    def counts(self) -> Mapping[str, int]:
        """All counts by name."""
        return self._counts

    def count(self, name: str, number: int = 1) -> None:
        """Add to a count; the name carries its labels, as in ``verdict.ran``."""
        self._counts[name] += number

    def record_latency(self, key: LatencyKey, latency_s: float) -> None:
        """Record one latency, in seconds."""
        histogram = self._latencies.get(key)
        if histogram is None:
            histogram = HdrHistogram(LOWEST_US, HIGHEST_US, DIGITS)
            self._latencies[key] = histogram
        histogram.record_value(max(LOWEST_US, int(latency_s * 1e6)))

    def latencies(self) -> list[tuple[LatencyKey, LatencySummary]]:
        """Every latency that was measured, with its percentiles."""
        return [(key, _summary(histogram)) for key, histogram in self._latencies.items()]


def _summary(histogram: HdrHistogram) -> LatencySummary:
    return {
        "count": histogram.get_total_count(),
        "percentiles_ms": {
            f"p{percentile:g}": histogram.get_value_at_percentile(percentile) / 1000
            for percentile in PERCENTILES
        },
    }

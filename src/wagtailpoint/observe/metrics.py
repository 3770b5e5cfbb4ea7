"""Metrics of one instance: counts and latency percentiles (HdrHistogram)."""

from collections import Counter
from collections.abc import Iterator, Mapping
from typing import NamedTuple, TypedDict

from hdrh.histogram import HdrHistogram

MIN_LATENCY_US = 1
MAX_LATENCY_US = 3_600_000_000
SIGNIFICANT_DIGITS = 2
COUNTER_BYTES = 4
PERCENTILES = [50.0, 90.0, 99.0, 99.9]

MAX_HISTOGRAMS = 400
"""A histogram takes about 14 KB. Beyond this number, new keys are aggregated under ``OTHER``, so
that metrics don't fill the memory of an instance with thousands of workspaces."""

OTHER = "other"


class LatencyKey(NamedTuple):
    """The labels of a latency; a label that doesn't apply is empty.

    Attributes:
        measure: ``request`` (until the end of the reply) or ``backend`` (until the response
            headers).
        workspace: The workspace.
        request_class: The request class.
        backend_server: The backend server.
        verdict: The verdict returned to the caller.
        code: The code of the refusal; ``ok`` for a response.
    """

    measure: str
    workspace: str = ""
    request_class: str = ""
    backend_server: str = ""
    verdict: str = ""
    code: str = ""


class LatencySummary(TypedDict):
    """The latencies of one key; percentiles are named like ``p99.9``."""

    count: int
    sum_ms: float
    percentiles_ms: Mapping[str, float]


class _Latencies:
    """The histogram and the sum of the latencies of one key."""

    def __init__(self) -> None:
        self.histogram = HdrHistogram(
            MIN_LATENCY_US, MAX_LATENCY_US, SIGNIFICANT_DIGITS, word_size=COUNTER_BYTES
        )
        self.sum_us = 0

    def record(self, latency_s: float) -> None:
        latency_us = min(MAX_LATENCY_US, max(MIN_LATENCY_US, int(latency_s * 1e6)))
        self.histogram.record_value(latency_us)
        self.sum_us += latency_us

    def summary(self) -> LatencySummary:
        # Computes all percentiles in one pass over the histogram.
        values = self.histogram.get_percentile_to_value_dict(PERCENTILES)
        return LatencySummary(
            count=self.histogram.get_total_count(),
            sum_ms=self.sum_us / 1000,
            percentiles_ms={
                f"p{percentile:g}": value / 1000 for percentile, value in values.items()
            },
        )


class Metrics:
    """Counts and latencies since the start of the process."""

    def __init__(self) -> None:
        self._latencies: dict[LatencyKey, _Latencies] = {}
        self._counts: Counter[str] = Counter()

    @property
    def counts(self) -> Mapping[str, int]:
        """All counts by name."""
        return self._counts

    def count(self, name: str, number: int = 1) -> None:
        """Add to a count; its name includes its labels, for example ``verdict.ran``."""
        self._counts[name] += number

    def record_latency(self, key: LatencyKey, latency_s: float) -> None:
        """Record one latency, in seconds."""
        latencies = self._latencies.get(key)
        if latencies is None:
            latencies = self._create_latencies(key)
        latencies.record(latency_s)

    def latencies(self) -> Iterator[tuple[LatencyKey, LatencySummary]]:
        """Yield each key with its latency summary, which takes about 0.5 ms to compute."""
        for key, latencies in list(self._latencies.items()):
            yield key, latencies.summary()

    def _create_latencies(self, key: LatencyKey) -> _Latencies:
        if len(self._latencies) >= MAX_HISTOGRAMS:
            key = LatencyKey(key.measure, *[OTHER if part else "" for part in key[1:]])
        return self._latencies.setdefault(key, _Latencies())

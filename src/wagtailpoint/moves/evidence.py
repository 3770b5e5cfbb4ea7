"""Evidence on how both sides of a move answer, from the requests that instances forward."""

from collections import deque
from functools import reduce
from typing import Final, NamedTuple

from wagtailpoint.ports.clock import Clock

WINDOW_S: Final = 4.0
"""Evidence is summed over this time; older evidence does not reflect the current step."""

BUCKET_S: Final = 0.5


class Evidence(NamedTuple):
    """Counts and latencies of a move over the last seconds, summed over one or more instances.

    Attributes:
        answered: Number of answers of the receiving side.
        latency_s: The sum of their latencies until the response headers, in seconds.
        shed: Number of requests that the receiving side shed.
        failed: Number of exchanges with the receiving side that failed otherwise.
        old_answered: Number of answers of the old side.
        old_latency_s: The sum of their latencies until the response headers, in seconds.
        over_cap: Number of requests that stayed with the old side because of the cap.
        spilled: Number of requests that went to the old side because the receiving side was full.
    """

    answered: int = 0
    latency_s: float = 0.0
    shed: int = 0
    failed: int = 0
    old_answered: int = 0
    old_latency_s: float = 0.0
    over_cap: int = 0
    spilled: int = 0

    def plus(self, other: "Evidence") -> "Evidence":
        """Return the sum of this evidence and another."""
        return Evidence(
            answered=self.answered + other.answered,
            latency_s=self.latency_s + other.latency_s,
            shed=self.shed + other.shed,
            failed=self.failed + other.failed,
            old_answered=self.old_answered + other.old_answered,
            old_latency_s=self.old_latency_s + other.old_latency_s,
            over_cap=self.over_cap + other.over_cap,
            spilled=self.spilled + other.spilled,
        )


class EvidenceWindow:
    """The evidence on one move at this instance, over the last ``WINDOW_S`` seconds."""

    def __init__(self, *, clock: Clock) -> None:
        self._clock = clock
        self._buckets: deque[tuple[float, Evidence]] = deque()

    def add(self, evidence: Evidence) -> None:
        """Add an observation."""
        now = self._clock.monotonic()
        if self._buckets and now - self._buckets[-1][0] < BUCKET_S:
            began, bucket = self._buckets.pop()
            self._buckets.append((began, bucket.plus(evidence)))
        else:
            self._buckets.append((now, evidence))
        self._expire(now)

    def sum(self) -> Evidence:
        """Return the evidence in the window."""
        self._expire(self._clock.monotonic())
        return reduce(Evidence.plus, (evidence for _, evidence in self._buckets), Evidence())

    def clear(self) -> None:
        """Discard all evidence, as it does not apply to the next step."""
        self._buckets.clear()

    def _expire(self, now: float) -> None:
        while self._buckets and now - self._buckets[0][0] > WINDOW_S:
            self._buckets.popleft()

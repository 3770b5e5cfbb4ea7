"""How both sides of a move answer, as seen by the instances' own requests."""

from collections import deque
from functools import reduce
from typing import Final, NamedTuple

from wagtailpoint.ports.clock import Clock

WINDOW_S: Final = 4.0
"""Evidence is a sum over so many seconds; older says nothing of the step in force."""

BUCKET_S: Final = 0.5


class Evidence(NamedTuple):
    """What was seen of a move over the last seconds, a sum over some or all instances.

    Attributes:
        answered: Answers of the receiving side.
        latency_s: The sum of their latencies until the headers, in seconds.
        shed: Requests that the receiving side shed.
        failed: Exchanges with the receiving side that failed otherwise.
        old_answered: Answers of the old side.
        old_latency_s: The sum of their latencies.
        over_cap: Requests that stayed with the old side because the cap was spent.
        spilled: Requests that went to the old side because the receiving side was full.
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
        """The sum."""
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
    """The evidence of one move on this instance, over the last ``KEPT_S`` seconds."""

    def __init__(self, *, clock: Clock) -> None:
        self._clock = clock
        self._buckets: deque[tuple[float, Evidence]] = deque()

    def add(self, evidence: Evidence) -> None:
        """Take in one more observation."""
        now = self._clock.monotonic()
        if self._buckets and now - self._buckets[-1][0] < BUCKET_S:
            began, bucket = self._buckets.pop()
            self._buckets.append((began, bucket.plus(evidence)))
        else:
            self._buckets.append((now, evidence))
        self._expire(now)

    def sum(self) -> Evidence:
        """The evidence of the last seconds."""
        self._expire(self._clock.monotonic())
        return reduce(Evidence.plus, (evidence for _, evidence in self._buckets), Evidence())

    def clear(self) -> None:
        """Forget everything; what was seen before a step says nothing of it."""
        self._buckets.clear()

    def _expire(self, now: float) -> None:
        while self._buckets and now - self._buckets[0][0] > WINDOW_S:
            self._buckets.popleft()

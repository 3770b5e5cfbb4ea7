"""The slots, queue, faults and record of a stand-in for a backend server, without HTTP.

A request runs in a slot for an exponential time from a seeded generator. Tests compare verdicts
with the record: an execution is recorded when its slot is taken, before any answer can be sent.
"""

import random
import time
from collections import Counter, deque
from typing import TypedDict

import trio

MOST_ARRIVALS = 200_000


class Mode(TypedDict, total=False):
    """The faults; unless noted, a number is the fraction (0 to 1) of affected requests."""

    slow: float  # factor on the service time
    reset_after: float  # run, then close without an answer
    reset_before: float  # close without running
    die_in_body: float  # close in the middle of the body
    short_body: float  # announce more bytes than are sent, then close
    cross: float  # answer with another request's id
    no_id: float  # answer without the request's id
    bare_503: float  # run, then answer 503 without saying that the request ran
    glue: float  # send an unsolicited second answer directly after the answer
    no_validator: bool  # answer downloads without an ETag
    deaf: bool  # ignore deadlines
    draining: bool
    report: dict[str, object]  # wrong values for fields of the load report
    report_lag_s: float  # age of the state in the load report, in seconds
    limit: str  # the requests a second that its answers state
    idle_close_s: float | None  # close a connection after this idle time, in seconds


class Worker:
    """One backend server: its slots, queue, faults and record."""

    def __init__(
        self,
        *,
        service: str = "deposit-desk",
        slots: int = 3,
        service_ms: float = 20.0,
        queue_limit: int = 30,
        seed: int = 1,
        cold_factor: float = 1.0,
        cold_requests: int = 0,
    ) -> None:
        self.service = service
        self.mode = Mode()
        self.arrivals: deque[dict[str, object]] = deque(maxlen=MOST_ARRIVALS)
        self.executions: Counter[str] = Counter()  # by request id
        self.by_key: Counter[str] = Counter()  # by Idempotency-Key
        self.counts: Counter[str] = Counter()
        self.most_busy = 0
        self.most_present = 0
        self._slots = slots
        self._service_s = service_ms / 1000
        self._queue_limit = queue_limit
        self._random = random.Random(seed)
        self._cold = (cold_factor, cold_requests)
        self._slot = trio.Semaphore(slots)
        self._busy = 0
        self._queued = 0
        self._reports: deque[tuple[float, dict[str, object]]] = deque()

    def hit(self, fault: str) -> bool:
        part: float = self.mode.get(fault, 0.0)  # type: ignore[assignment]
        return part > 0 and self._random.random() < part

    def report(self) -> dict[str, object]:
        """Return the load report, delayed by ``report_lag_s``, with the overrides of ``report``."""
        ran, cold_requests = self.counts["ran"], self._cold[1]
        now = time.monotonic()
        fresh: dict[str, object] = {
            "busy": self._busy,
            "queued": self._queued,
            "slots": self._slots,
            "draining": bool(self.mode.get("draining")),
            "warm": ran >= cold_requests,
        }
        self._reports.append((now, fresh))
        until = now - self.mode.get("report_lag_s", 0.0)
        while len(self._reports) > 1 and self._reports[1][0] <= until:
            self._reports.popleft()
        return {**self._reports[0][1], **self.mode.get("report", {})}

    def record(self) -> dict[str, object]:
        return {
            "service": self.service,
            "arrivals": list(self.arrivals),
            "executions": dict(self.executions),
            "by_key": dict(self.by_key),
            "counts": dict(self.counts),
            "most_busy": self.most_busy,
            "most_present": self.most_present,
        }

    async def take_slot(self, deadline_s: float) -> bool:
        """Wait in the queue for a slot; return False if the deadline passed there."""
        self._queued += 1
        self.most_present = max(self.most_present, self._busy + self._queued)
        try:
            with trio.move_on_after(deadline_s):
                await self._slot.acquire()
                return True
            return False
        finally:
            self._queued -= 1

    async def run_request(self, request_id: str, key: str | None, deadline_s: float) -> bool:
        """Run a request in the taken slot; return False if the deadline passed meanwhile."""
        self._busy += 1
        self.most_busy = max(self.most_busy, self._busy)
        self.counts["ran"] += 1
        self.executions[request_id] += 1
        if key is not None:
            self.by_key[key] += 1
        cold_factor, cold_requests = self._cold
        factor = cold_factor if self.counts["ran"] <= cold_requests else 1.0
        service_s = self._service_s * factor * self.mode.get("slow", 1.0)
        with trio.move_on_after(deadline_s):
            await trio.sleep(self._random.expovariate(1) * service_s)
            return True
        return False

    def give_unused_slot(self) -> None:
        """Release a slot that was taken for a caller that has already disconnected."""
        self._slot.release()

    def give_slot(self) -> None:
        self._busy -= 1
        self._slot.release()

    @property
    def overloaded(self) -> bool:
        return self._busy >= self._slots and self._queued >= self._queue_limit

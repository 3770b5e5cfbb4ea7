"""A stand-in for a worker, which registers in the store and records what it ran."""

import asyncio
import json
import random
import time
from typing import NamedTuple

from common.http import Request, Response, serve_http
from common.record import Record
from common.store import Store


class Run(NamedTuple):
    """A request on which a worker began to work."""

    attempt: str
    worker: str
    at: float
    tenant: str
    key_passed_on: bool = False


class Worker:
    """Runs requests with a number of slots, and refuses those for another id."""

    def __init__(
        self,
        *,
        store: Store,
        record: Record,
        worker_id: str,
        service: str,
        address: str,
        port: int,
        zone: str,
        slots: int = 3,
        work_s: float = 0.02,
    ) -> None:
        self._store = store
        self._record = record
        self.id = worker_id
        self.service = service
        self.address, self.port, self.zone = address, port, zone
        self.slots, self.work_s = slots, work_s
        self.state = "ready"
        self.runs: list[Run] = []
        self._running = 0
        self._waiting = 0
        self._failing_fraction = 0.0
        self._writers: set[asyncio.StreamWriter] = set()
        self._free = asyncio.Semaphore(slots)
        self._server: asyncio.Server | None = None
        self._born = int(time.time() * 1000)

    async def start(self) -> None:
        """Listen, and write the entry."""
        self._server = await serve_http(self.address, self.port, self._handle, self._writers)
        self.register()

    def fail(self, fraction: float) -> None:
        """Fail a fraction of the requests from now on, at the end of their work."""
        self._failing_fraction = fraction

    async def leave_after(self, delay_s: float) -> None:
        """Remove the entry after some seconds, and exit."""
        await asyncio.sleep(delay_s)
        self._store.remove("servers", self.id)
        self._record.add("worker", id=self.id, state="gone", revision=self._store.revision)
        self.end()

    def end(self) -> None:
        """Exit at once, which closes all connections."""
        if self._server is not None:
            self._server.close()
        for writer in self._writers:
            writer.transport.abort()

    def register(self, state: str = "ready") -> None:
        """Write the entry of this worker."""
        self.state = state
        self._store.write_json("servers", self.id, self.entry())
        self._record.add("worker", id=self.id, state=state, revision=self._store.revision)

    def entry(self) -> dict[str, object]:
        """Return the entry of this worker."""
        return {
            "Service": self.service,
            "Address": f"{self.address}:{self.port}",
            "Zone": self.zone,
            "Version": "v1",
            "MaxConcurrency": self.slots,
            "State": self.state,
            "ColdLeftS": 0,
            "Sequence": 4,
            "born": self._born,
        }

    async def _handle(self, request: Request) -> Response | None:
        load = {"X-Server-Load": f"{self._running},{self._waiting},{self.slots}"}
        if request.target == "/health":
            status = 200 if self.state == "ready" else 503
            return Response(status, b"", {"X-Instance-Id": self.id, **load})
        attempt = request.headers.get("x-attempt-id", "")
        echo = {"X-Attempt-Id": attempt, "X-Instance-Id": self.id, **load}
        if request.headers.get("x-expect-instance", self.id) != self.id:
            return Response(421, b"", echo)
        if self._waiting >= 3 * self.slots:
            return Response(503, b"", {"X-Not-Executed": "1", **echo})
        self._waiting += 1
        async with self._free:
            self._waiting -= 1
            self._running += 1
            try:
                return await self._run(request, attempt)
            finally:
                self._running -= 1

    async def _run(self, request: Request, attempt: str) -> Response | None:
        tenant, has_key = request.headers.get("x-tenant", ""), "authorization" in request.headers
        run = Run(attempt, self.id, time.monotonic(), tenant, has_key)
        self.runs.append(run)
        self._record.add("run", attempt=attempt, worker=self.id, tenant=tenant, has_key=has_key)
        await asyncio.sleep(self.work_s)
        load = f"{self._running},{self._waiting},{self.slots}"
        headers = {
            "X-Attempt-Id": attempt,
            "X-Response-Seal": f"{self.id}.{attempt}",
            "X-Server-Load": load,
            "Keep-Alive": "timeout=10",
        }
        if random.random() < self._failing_fraction:
            self._record.add("failed", attempt=attempt, worker=self.id)
            return Response(503, b"the ledger did not answer", headers)
        body = json.dumps({"attempt": attempt, "worker": self.id}).encode()
        return Response(200, body, headers)

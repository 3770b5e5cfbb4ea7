"""A stand-in for a worker (PROTOCOL.md, "Workers" and "Service discovery")."""

import asyncio
import hashlib
import time
from typing import NamedTuple

from standins.http import BadMessage, read_body, read_head, response, value
from standins.links import reset


class Run(NamedTuple):
    at: float
    worker: str
    service: str
    attempt: str
    method: str
    target: str
    body: bytes
    headers: list


def seal_of(attempt, body):
    return f"{attempt}.{len(body):x}.{hashlib.sha256(body).hexdigest()[:8]}"


class Worker:
    """Runs requests, and registers itself in the store."""

    def __init__(
        self,
        *,
        store,
        worker_id,
        service,
        address,
        port,
        zone,
        slots=8,
        queue=9,
        work_s=0.02,
        body=b"x" * 400,
        runs=None,
        beat_s=1.5,
        born=None,
        respond=None,
    ):
        self.store, self.id, self.service = store, worker_id, service
        self.address, self.port, self.zone = address, port, zone
        self.slots, self.queue, self.work_s, self.body = slots, queue, work_s, body
        self.runs = runs if runs is not None else []
        self.arrivals = []
        self.state = "ready"
        self.born = born if born is not None else int(time.time() * 1000)
        self.respond = respond
        self.is_cut_from = lambda writer: False
        self.sequence = 0
        self._beat_s = beat_s
        self._running = 0
        self._waiting = 0
        self._free = asyncio.Semaphore(slots)
        self._writers = set()
        self._tasks = set()
        self._server = self._beats = None

    async def start(self):
        self._server = await asyncio.start_server(self._accept, self.address, self.port)
        self._beats = asyncio.create_task(self._beat())

    def crash(self):
        """End without a word: connections are reset, the address refuses."""
        self._beats.cancel()
        self._server.close()
        for writer in list(self._writers):
            writer.transport.abort()

    async def leave(self, drain_s):
        self.state = "draining"
        self.register()
        confirmed = time.monotonic()
        self._beats.cancel()
        await asyncio.sleep(drain_s + 0.5)
        self.store.delete("servers", self.id)
        self.crash()
        return confirmed

    def cut(self):
        """Reset the open connections that ``is_cut_from`` now names."""
        for writer in list(self._writers):
            if self.is_cut_from(writer):
                reset(writer)

    def entry(self):
        return {
            "Service": self.service,
            "Address": f"{self.address}:{self.port}",
            "Zone": self.zone,
            "Version": "v1",
            "MaxConcurrency": self.slots,
            "State": self.state,
            "ColdLeftS": 0,
            "Sequence": self.sequence,
            "born": self.born,
        }

    def register(self):
        self.sequence += 1
        return self.store.put("servers", self.id, self.entry())

    async def _beat(self):
        while True:
            self.register()
            await asyncio.sleep(self._beat_s)

    def _accept(self, reader, writer):
        if self.is_cut_from(writer):
            reset(writer)
            return
        task = asyncio.get_running_loop().create_task(self._serve(reader, writer))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _serve(self, reader, writer):
        self._writers.add(writer)
        try:
            while True:
                head = await read_head(reader)
                if head is None:
                    break
                if not await self._exchange(head, reader, writer):
                    break
        except (BadMessage, OSError, asyncio.IncompleteReadError):
            pass
        finally:
            self._writers.discard(writer)
            writer.close()

    def load(self):
        return ("X-Server-Load", f"{self._running},{self._waiting},{self.slots}")

    async def _exchange(self, head, reader, writer):
        if head.target == "/health":
            status = 200 if self.state == "ready" else 503
            writer.write(response(status, [("X-Instance-Id", self.id), self.load()], b""))
            return True
        body = await read_body(reader, head)
        attempt = value(head.headers, "x-attempt-id")
        self.arrivals.append((time.monotonic(), attempt))
        wanted = value(head.headers, "x-expect-instance")
        if wanted is not None and wanted != self.id:
            writer.write(response(421, [("X-Instance-Id", self.id)], b""))
            return True
        if not attempt:
            writer.write(response(400, [("X-Not-Executed", "1")], b""))
            return True
        echo = [("X-Attempt-Id", attempt)]
        if self._waiting >= self.queue:
            writer.write(response(503, [*echo, ("X-Not-Executed", "1"), self.load()], b""))
            return True
        self._waiting += 1
        async with self._free:
            self._waiting -= 1
            self._running += 1
            try:
                self.runs.append(
                    Run(
                        time.monotonic(),
                        self.id,
                        self.service,
                        attempt,
                        head.method,
                        head.target,
                        body,
                        head.headers,
                    )
                )
                if self.respond is not None:
                    return await self.respond(self, head, body, attempt, reader, writer)
                await asyncio.sleep(self.work_s)
                writer.write(self.success(attempt, self.body))
                await writer.drain()
                return True
            finally:
                self._running -= 1

    def success(self, attempt, body, extra=()):
        headers = [
            ("X-Attempt-Id", attempt),
            ("X-Response-Seal", seal_of(attempt, body)),
            self.load(),
            *extra,
        ]
        return response(200, headers, body)

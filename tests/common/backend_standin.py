"""A stand-in for backend servers that injects faults and records which requests ran.

One process can serve many workers, each with a separate port, slots and record. This module is the
HTTP side; ``backend_worker`` runs requests in slots. `GET /standin/record` returns the record,
`/standin/mode` sets the faults.
"""

import json
import time
from contextvars import ContextVar
from functools import partial
from math import inf
from typing import Any

import click
import msgspec
import trio
from hypercorn.config import Config
from hypercorn.trio.tcp_server import TCPServer
from hypercorn.trio.worker_context import WorkerContext
from hypercorn.typing import ConnectionState, LifespanState
from hypercorn.utils import wrap_app

from tests.common.backend_worker import Mode, Worker
from tests.common.sockets import reset_connection

BULK_CHUNK = 16 * 1024
REPORT_PATHS = ("/load", "/health")
PATTERN = bytes(range(251))


class Connection:
    """One accepted connection, shared by the requests that arrive on it."""

    def __init__(self, *, stream: trio.SocketStream) -> None:
        self.stream = stream
        self.requests = 0


_CONNECTION: ContextVar[Connection] = ContextVar("connection")


class Exchange:
    """One request and its answer."""

    def __init__(self, *, worker: Worker, scope: Any, receive: Any, send: Any) -> None:
        self._worker = worker
        self._scope = scope
        self._receive = receive
        self._send = send
        self._headers = dict(scope["headers"])
        self._request_id = self._headers.get(b"wagtailpoint-request-id", b"").decode()
        self._key = self._headers.get(b"idempotency-key", b"").decode() or None
        self._crossed = worker.hit("cross")

    async def run(self) -> None:
        path = self._scope["path"]
        body = await self._read_body()
        if path in REPORT_PATHS:
            await self._answer_json(200, self._worker.report())
        elif path == "/standin/record":
            await self._answer_json(200, self._worker.record())
        elif path == "/standin/mode":
            self._worker.mode = msgspec.json.decode(body, type=Mode)
            await self._answer_json(200, {})
        else:
            await self._serve(body)

    async def _read_body(self) -> bytes:
        """Read the whole body; return about its first megabyte."""
        body = b""
        while True:
            message = await self._receive()
            if len(body) < 1_000_000:
                body += message.get("body", b"")
            if not message.get("more_body", False):
                return body

    async def _serve(self, body: bytes) -> None:
        worker, deadline_s = self._worker, self._deadline_s()
        arrival = {
            "time": time.monotonic(),
            "request_id": self._request_id,
            "key": self._key,
            "method": self._scope["method"],
            "path": self._scope["path"],
            "deadline_s": None if deadline_s == inf else deadline_s,
            "body_bytes": len(body),
        }
        worker.arrivals.append(arrival)
        if worker.hit("reset_before"):
            await self._reset("reset_before")
            return
        if worker.mode.get("draining") or worker.overloaded:
            await self._shed()
            return
        start = trio.current_time()
        gone = trio.Event()
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._watch_caller, gone, nursery.cancel_scope)
            took_slot = await worker.take_slot(deadline_s)
            nursery.cancel_scope.cancel()
        if gone.is_set():
            if took_slot:
                worker.give_unused_slot()
            worker.counts["cancelled_in_queue"] += 1
        elif not took_slot:
            await self._shed()
        else:
            try:
                left_s = deadline_s - (trio.current_time() - start)
                in_time = await worker.run_request(self._request_id, self._key, left_s)
                await self._answer(504 if not in_time else 200)
            finally:
                worker.give_slot()

    async def _watch_caller(self, gone: trio.Event, scope: trio.CancelScope) -> None:
        while (await self._receive())["type"] != "http.disconnect":
            pass
        gone.set()
        scope.cancel()

    def _deadline_s(self) -> float:
        value = self._headers.get(b"wagtailpoint-deadline-ms")
        return inf if value is None or self._worker.mode.get("deaf") else int(value) / 1000

    async def _shed(self) -> None:
        self._worker.counts["shed"] += 1
        headers = [(b"wagtailpoint-shed", b"not-run"), (b"retry-after", b"1")]
        if self._worker.mode.get("draining"):
            headers.append((b"wagtailpoint-draining", b"1"))
        await self._answer_json(503, {"shed": True}, headers)

    async def _answer(self, status: int) -> None:
        worker = self._worker
        if worker.hit("reset_after"):
            await self._reset("reset_after")
        elif worker.hit("bare_503"):
            worker.counts["bare_503"] += 1
            await self._answer_json(503, {})
        elif "/bulk/" in self._scope["path"]:
            await self._answer_bulk(int(self._scope["path"].rpartition("/bulk/")[2]))
        else:
            ran = worker.executions[self._request_id]
            key_ran = 0 if self._key is None else worker.by_key[self._key]
            await self._answer_json(
                status,
                {
                    "path": "/of-another" if self._crossed else self._scope["path"],
                    "request_id": self._request_id,
                    "service": worker.service,
                    "executions": ran,
                    "key_executions": key_ran,
                },
            )

    async def _reset(self, fault: str) -> None:
        self._worker.counts[fault] += 1
        await reset_connection(_CONNECTION.get().stream)
        while (await self._receive())["type"] != "http.disconnect":
            pass

    def _echoed(self) -> list[tuple[bytes, bytes]]:
        if not self._request_id or self._worker.hit("no_id"):
            return []
        if self._crossed:
            self._worker.counts["cross"] += 1
            return [(b"wagtailpoint-request-id", b"other-" + self._request_id.encode())]
        return [(b"wagtailpoint-request-id", self._request_id.encode())]

    async def _answer_json(
        self, status: int, value: object, headers: list[tuple[bytes, bytes]] | None = None
    ) -> None:
        body = json.dumps(value).encode()
        content_type = [(b"content-type", b"application/json")]
        await self._start(status, len(body), content_type + (headers or []))
        await self._stream([body], len(body))

    async def _answer_bulk(self, size: int) -> None:
        etag = f'"bulk-{size}"'.encode()
        first, last, status = 0, size - 1, 200
        asked = self._headers.get(b"range", b"").decode()
        if asked.startswith("bytes=") and self._headers.get(b"if-range", etag) == etag:
            low, _, high = asked.removeprefix("bytes=").partition("-")
            first, last = int(low), min(size - 1, int(high) if high else size - 1)
            status = 206
        headers = [(b"accept-ranges", b"bytes")]
        if not self._worker.mode.get("no_validator"):
            headers.append((b"etag", etag))
        if status == 206:
            headers.append((b"content-range", f"bytes {first}-{last}/{size}".encode()))
        length = last - first + 1
        await self._start(status, length, headers)
        starts = range(first, last + 1, BULK_CHUNK)
        chunks = (bulk_bytes(start, min(start + BULK_CHUNK, last + 1)) for start in starts)
        query = self._scope["query_string"].decode()
        total_s = float(query.removeprefix("ms=")) / 1000 if query.startswith("ms=") else 0.0
        await self._stream(chunks, length, total_s / max(1, len(starts)))

    async def _start(self, status: int, length: int, headers: list[tuple[bytes, bytes]]) -> None:
        framing = [(b"content-length", str(length).encode())]
        limit = self._worker.mode.get("limit")
        stated = [(b"wagtailpoint-limit", limit.encode())] if limit else []
        headers = framing + self._echoed() + stated + headers
        await self._send({"type": "http.response.start", "status": status, "headers": headers})

    async def _stream(self, chunks: Any, length: int, pause_s: float = 0.0) -> None:
        worker, sent = self._worker, 0
        cut = length
        # Requests for the record and the mode are always answered completely.
        if not self._scope["path"].startswith("/standin/"):
            cut = length // 2 if worker.hit("die_in_body") else cut
            cut = length - 1 if worker.hit("short_body") else cut
        for chunk in chunks:
            chunk = chunk[: cut - sent]
            sent += len(chunk)
            await self._send({"type": "http.response.body", "body": chunk, "more_body": True})
            if sent < length and sent == cut:
                worker.counts["broken_body"] += 1
                await _CONNECTION.get().stream.aclose()
                return
            await trio.sleep(pause_s)
        if worker.hit("glue"):
            worker.counts["glued"] += 1
            extra = b"HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\nextra"
            await _CONNECTION.get().stream.send_all(extra)
        await self._send({"type": "http.response.body", "body": b"", "more_body": False})


async def serve_exchange(worker: Worker, scope: Any, receive: Any, send: Any) -> None:
    """The ASGI application of one worker."""
    if scope["type"] != "http":
        return
    connection = _CONNECTION.get()
    connection.requests += 1
    number = connection.requests
    exchange = Exchange(worker=worker, scope=scope, receive=receive, send=send)
    await exchange.run()
    idle_s = worker.mode.get("idle_close_s")
    if idle_s is not None:
        # The answer did not contain `Connection: close`, so the caller expects to reuse the
        # connection.
        await trio.sleep(idle_s)
        if connection.requests == number:
            await connection.stream.aclose()


def bulk_bytes(start: int, end: int) -> bytes:
    """Return the bytes of any bulk file from ``start`` up to, but not including, ``end``."""
    shift = start % len(PATTERN)
    return (PATTERN * (2 + (end - start) // len(PATTERN)))[shift : shift + end - start]


async def serve_worker(
    worker: Worker, address: str, port: int, *, task_status: Any = trio.TASK_STATUS_IGNORED
) -> None:
    """Serve one worker until cancelled."""
    config = Config()
    config.errorlog = None
    # Hypercorn holds an idle connection that its peer closed until this timeout (s) ends.
    config.keep_alive_timeout = 10
    config.include_server_header = False
    app = wrap_app(partial(serve_exchange, worker), config.wsgi_max_body_size, "asgi")
    context = WorkerContext(None)

    async def serve_connection(stream: trio.SocketStream) -> None:
        # Tasks that hypercorn starts below this one inherit the context, so that the application
        # finds the socket to which it applies a fault.
        _CONNECTION.set(Connection(stream=stream))
        state = ConnectionState(LifespanState())
        await TCPServer(app, config, context, state, stream).run()  # type: ignore[arg-type]

    listeners = await trio.open_tcp_listeners(port, host=address, backlog=512)
    await trio.serve_listeners(serve_connection, listeners, task_status=task_status)


@click.command()
@click.option("--address", required=True, help="Loopback address to listen on.")
@click.option("--port", type=int, required=True, help="Port of the first worker.")
@click.option("--count", type=int, default=1, help="Number of workers, on consecutive ports.")
@click.option("--also", multiple=True, help="ADDRESS:PORT of another worker; may be repeated.")
@click.option("--service", default="deposit-desk")
@click.option("--slots", type=int, default=3)
@click.option("--service-ms", type=float, default=20.0, help="Mean service time.")
@click.option("--queue-limit", type=int, default=30)
@click.option("--seed", type=int, default=1)
@click.option("--cold-factor", type=float, default=1.0)
@click.option("--cold-requests", type=int, default=0)
def main(address: str, port: int, count: int, also: tuple[str, ...], **options: Any) -> None:
    """Run stand-ins for backend servers until the process is killed."""
    places = [(address, port + number) for number in range(count)]
    for text in also:
        other, _, other_port = text.rpartition(":")
        places.append((other, int(other_port)))

    async def run() -> None:
        seed = options.pop("seed")
        async with trio.open_nursery() as nursery:
            # The first worker listens last, so that all are ready when its port accepts.
            for number, place in reversed(list(enumerate(places))):
                worker = Worker(seed=seed + number, **options)
                await nursery.start(partial(serve_worker, worker, *place))

    trio.run(run)


if __name__ == "__main__":
    main()

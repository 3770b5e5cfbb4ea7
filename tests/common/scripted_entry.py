"""An entry instance with scripted answers, over real sockets in the process of the test."""

import json
import random
from collections.abc import Awaitable, Callable, Sequence
from typing import NamedTuple

import h11
import trio

PORT = 7180


def fresh_address() -> str:
    return f"127.{random.randint(1, 250)}.{random.randint(1, 250)}.{random.randint(1, 250)}"


class Seen(NamedTuple):
    method: str
    target: str
    headers: dict[bytes, bytes]
    body: bytes


class Say(NamedTuple):
    """An answer; the connection is closed after ``cut_after`` bytes of the body, if set."""

    status: int
    verdict: str = "ran"
    body: bytes = b"{}"
    headers: Sequence[tuple[str, str]] = ()
    cut_after: int | None = None


def refuse(code: str, verdict: str = "not-run", *, status: int = 503, retry_after: int = 0) -> Say:
    body = json.dumps({"code": code, "reason": "test", "verdict": verdict}).encode()
    return Say(status, verdict, body, [("Retry-After", str(retry_after))])


Handler = Callable[[Seen], Awaitable[Say | None]]


class ScriptedEntry:
    """Serves on a random loopback address; closes a connection if the handler returns None.

    Attributes:
        listed: The entries in its answers to lookups, the best one first.
        lookup_ttl_s: How long callers may use such an answer, in seconds.
        answers_lookups: Whether it answers lookups; it refuses them otherwise.
        is_silent: Whether it answers nothing at all.
        lookups: The number of lookups answered.
        ignored_lookups: The number of lookups that arrived while it was silent.
    """

    def __init__(self, *, handler: Handler, domain: str = "a", incarnation: str = "0" * 16) -> None:
        self.address = fresh_address()
        self.domain = domain
        self.incarnation = incarnation
        self.handler = handler
        self.seen: list[Seen] = []
        self.listed: list[ScriptedEntry] = [self]
        self.lookup_ttl_s = 60.0
        self.answers_lookups = True
        self.is_silent = False
        self.lookups = 0
        self.ignored_lookups = 0

    def line(self) -> dict[str, object]:
        return {
            "address": self.address,
            "port": PORT,
            "failure_domain": self.domain,
            "binding": f"{self.incarnation}.1",
        }

    async def serve(self, *, task_status: trio.TaskStatus = trio.TASK_STATUS_IGNORED) -> None:
        listeners = await trio.open_tcp_listeners(PORT, host=self.address)
        task_status.started()
        await trio.serve_listeners(self._connection, listeners)

    async def _connection(self, stream: trio.SocketStream) -> None:
        connection = h11.Connection(h11.SERVER)
        try:
            while await self._one(connection, stream):
                connection.start_next_cycle()
        except trio.BrokenResourceError:
            pass

    async def _one(self, connection: h11.Connection, stream: trio.SocketStream) -> bool:
        seen = await self._read(connection, stream)
        if seen is None:
            return False
        said = await self._answer(seen)
        if said is None:
            return False
        await stream.send_all(_encode(connection, seen, said))
        return said.cut_after is None

    async def _answer(self, seen: Seen) -> Say | None:
        is_lookup = seen.target.startswith("/v1/lookup")
        if self.is_silent:
            self.ignored_lookups += is_lookup
            await trio.sleep_forever()
        if not is_lookup:
            self.seen.append(seen)
            return await self.handler(seen)
        if not self.answers_lookups:
            return refuse("not-ready")
        self.lookups += 1
        entries = [entry.line() for entry in self.listed]
        answer = {"config_version": 1, "ttl_s": self.lookup_ttl_s, "entries": entries}
        return Say(200, body=json.dumps(answer).encode())

    async def _read(self, connection: h11.Connection, stream: trio.SocketStream) -> Seen | None:
        request: h11.Request | None = None
        body = b""
        while True:
            event = connection.next_event()
            if event is h11.NEED_DATA:
                connection.receive_data(await stream.receive_some())
            elif isinstance(event, h11.Request):
                request = event
            elif isinstance(event, h11.Data):
                body += bytes(event.data)
            elif isinstance(event, h11.EndOfMessage) and request is not None:
                method, target = request.method.decode(), request.target.decode()
                return Seen(method, target, dict(request.headers), body)
            else:
                return None


def _encode(connection: h11.Connection, seen: Seen, said: Say) -> bytes:
    headers = [
        ("Wagtailpoint-Verdict", said.verdict),
        ("Wagtailpoint-Request-Id", seen.headers[b"wagtailpoint-request-id"].decode()),
        ("Content-Length", str(len(said.body))),
        *said.headers,
    ]
    # The last value of a name is sent, so that a test can override the request id.
    by_name = {name.lower(): value for name, value in headers}
    response = h11.Response(status_code=said.status, headers=list(by_name.items()))
    wire = connection.send(response) or b""
    if said.cut_after is not None:
        return wire + said.body[: said.cut_after]
    wire += connection.send(h11.Data(data=said.body)) or b""
    return wire + (connection.send(h11.EndOfMessage()) or b"")

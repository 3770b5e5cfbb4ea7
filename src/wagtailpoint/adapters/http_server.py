"""The HTTP side towards callers and operators: an ASGI application on hypercorn's trio worker."""

from collections.abc import AsyncIterator, Awaitable, Callable
from typing import Any, NamedTuple

import trio
from hypercorn.config import Config
from hypercorn.trio import serve
from hypercorn.typing import ASGIReceiveCallable, ASGISendCallable, HTTPScope

from wagtailpoint import headers as names
from wagtailpoint.entry.request import BodyTooLarge, CallerRequest, header, without
from wagtailpoint.observe.log import log_event
from wagtailpoint.ports.backend import BodyBroken, Headers
from wagtailpoint.ports.clock import Clock
from wagtailpoint.verdict import Verdict

KEEP_ALIVE_S = 10.0
"""Idle connections are closed after it, and so are callers that send their headers slowly."""

MOST_REQUESTS_A_CONNECTION = 100_000
BACKLOG = 1024

RequestHandler = Callable[[CallerRequest, "AsgiReply"], Awaitable[None]]


class ServerOptions(NamedTuple):
    """How the HTTP server listens.

    Attributes:
        address: IP number.
        port: TCP port.
        header_bytes: The most bytes of one request's headers.
        request_body_bytes: The most bytes of one request's body.
    """

    address: str
    port: int
    header_bytes: int
    request_body_bytes: int


class AsgiReply:
    """The reply to one request; implements ``entry.request.ReplySink``."""

    def __init__(self, *, send: ASGISendCallable, request_id: bytes | None) -> None:
        """Make a reply.

        Args:
            send: Hypercorn's.
            request_id: The caller's id, which the reply repeats: by it the caller notices an
                answer that was crossed with another's on the way.
        """
        self._send = send
        self._own_headers = [] if request_id is None else [(names.REQUEST_ID, request_id)]
        self._begun = False

    @property
    def begun(self) -> bool:
        """Whether the status has been sent."""
        return self._begun

    async def begin(self, *, status: int, headers: Headers, verdict: Verdict) -> None:
        """Send status and headers."""
        self._begun = True
        # A backend server's answer bears the id of the entry's exchange with it.
        sent = without(headers, (names.REQUEST_ID, names.VERDICT))
        sent += [(names.VERDICT, verdict.value.encode()), *self._own_headers]
        await self._send({"type": "http.response.start", "status": int(status), "headers": sent})

    async def send(self, data: bytes) -> None:
        """Send a part of the body; waits while the caller reads slowly."""
        if data:
            await self._send({"type": "http.response.body", "body": data, "more_body": True})

    async def finish(self) -> None:
        """End the body: from here on the reply is whole."""
        await self._send({"type": "http.response.body", "body": b"", "more_body": False})


class _RequestBody:
    """The body of one request, and the notice that its caller has gone."""

    def __init__(self, *, receive: ASGIReceiveCallable, most_bytes: int) -> None:
        self._receive = receive
        self._most_bytes = most_bytes
        self._ended = trio.Event()

    async def chunks(self) -> AsyncIterator[bytes]:
        """Yield the body as it arrives."""
        size = 0
        while True:
            message: Any = await self._receive()
            if message["type"] != "http.request":
                # The caller has gone in the middle of its body: nothing waits for a reply.
                raise CallerGone
            size += len(message["body"])
            if size > self._most_bytes:
                raise BodyTooLarge
            if message["body"]:
                yield message["body"]
            if not message["more_body"]:
                self._ended.set()
                return

    async def until_caller_is_gone(self, *, has_body: bool) -> None:
        """Wait until the caller has closed its connection."""
        if has_body:
            await self._ended.wait()
        while True:
            message: Any = await self._receive()
            if message["type"] == "http.disconnect":
                return


class CallerGone(Exception):
    """The caller closed its connection before its request was whole."""


class HttpServer:
    """Listens for callers and operators."""

    def __init__(self, *, options: ServerOptions, clock: Clock, handler: RequestHandler) -> None:
        self._options = options
        self._clock = clock
        self._handler = handler

    async def run(
        self,
        *,
        stop: Callable[[], Awaitable[None]],
        task_status: trio.TaskStatus[Any] = trio.TASK_STATUS_IGNORED,
    ) -> None:
        """Serve until ``stop`` returns.

        Whoever stops the server first waits for the requests in flight: what is still open a
        moment after ``stop`` returned is cut.
        """
        config = Config()
        config.bind = [f"{self._options.address}:{self._options.port}"]
        config.h11_max_incomplete_size = self._options.header_bytes
        config.keep_alive_timeout = KEEP_ALIVE_S
        config.keep_alive_max_requests = MOST_REQUESTS_A_CONNECTION
        config.backlog = BACKLOG
        config.include_server_header = False
        config.errorlog = None
        config.accesslog = None
        await serve(
            self._application,
            config,
            shutdown_trigger=stop,
            task_status=task_status,
            mode="asgi",
        )

    async def _application(
        self, scope: Any, receive: ASGIReceiveCallable, send: ASGISendCallable
    ) -> None:
        if scope["type"] == "lifespan":
            await _accept_lifespan(receive, send)
        elif scope["type"] == "http":
            await self._serve_request(scope, receive, send)

    async def _serve_request(
        self, scope: HTTPScope, receive: ASGIReceiveCallable, send: ASGISendCallable
    ) -> None:
        body = _RequestBody(receive=receive, most_bytes=self._options.request_body_bytes)
        request = _caller_request(scope, body, self._clock.monotonic())
        request_id = header(request.headers, names.REQUEST_ID)
        reply = AsgiReply(send=send, request_id=request_id.encode() if request_id else None)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(
                _cancel_when_gone, body, request.body is not None, nursery.cancel_scope
            )
            try:
                await self._handler(request, reply)
                await reply.finish()
            except CallerGone:
                pass
            except BodyBroken as error:
                # Not finished: hypercorn closes the connection, and the caller sees a broken body.
                log_event("reply-cut", level="WARNING", target=request.target, error=str(error))
            nursery.cancel_scope.cancel()


async def _cancel_when_gone(body: _RequestBody, has_body: bool, scope: trio.CancelScope) -> None:
    await body.until_caller_is_gone(has_body=has_body)
    scope.cancel()


async def _accept_lifespan(receive: ASGIReceiveCallable, send: ASGISendCallable) -> None:
    while True:
        message = await receive()
        if message["type"] == "lifespan.startup":
            await send({"type": "lifespan.startup.complete"})
        else:
            await send({"type": "lifespan.shutdown.complete"})
            return


def _caller_request(scope: HTTPScope, body: _RequestBody, arrived: float) -> CallerRequest:
    headers = list(scope["headers"])
    length = header(headers, b"content-length")
    chunked = header(headers, b"transfer-encoding") is not None
    has_body = chunked or (length is not None and int(length) > 0)
    target = scope["raw_path"].decode("ascii")
    if scope["query_string"]:
        target += "?" + scope["query_string"].decode("ascii")
    return CallerRequest(
        method=scope["method"],
        path=scope["path"],
        target=target,
        headers=headers,
        content_length=int(length) if length is not None else None,
        body=body.chunks() if has_body else None,
        arrived=arrived,
    )

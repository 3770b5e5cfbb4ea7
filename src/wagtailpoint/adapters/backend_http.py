"""Exchanges with backend servers over HTTP/1.1, with httpcore on trio.

What matters here is the verdict. ``NOT_RUN`` is said in two cases only: no byte of the request was
handed to a socket, or the backend server said "shed, not run" in an answer that bears this
request's id. Everything else that goes wrong is ``MAY_HAVE_RUN``.
"""

from collections.abc import AsyncGenerator, AsyncIterator
from contextlib import aclosing, asynccontextmanager
from typing import Annotated, Any, NamedTuple, TypedDict

import h11
import httpcore
import msgspec
import trio
from result import Err, Ok, Result

from wagtailpoint.adapters import backend_headers
from wagtailpoint.adapters.backend_pool import ConnectionPool, PooledConnection
from wagtailpoint.ports.backend import (
    BackendAddress,
    BackendFailure,
    BackendRequest,
    BackendResponse,
    BodyBroken,
    FailureReason,
    LoadReport,
)
from wagtailpoint.verdict import Verdict

MAX_IDLE_CONNECTIONS = 12
"""Idle connections kept for each backend server."""

MAX_CONNECTIONS = 36
"""Exchanges at the same time with one backend server: 9 entries share its 330 connections."""

BODY_STALL_TIMEOUT_S = 30.0
"""How long a response's body may stand still, in seconds, before it counts as broken: a frozen
backend server would otherwise hold a slot of the entry forever."""

SHED_BODY_TIMEOUT_S = 0.05
"""How long the body of a shed answer is waited for, in seconds, to use its connection again."""

MAX_SHED_BODY_BYTES = 16 * 1024
MAX_REPORT_BYTES = 64 * 1024
OK_STATUS = 200
SHED_STATUS = 503

Count = Annotated[int, msgspec.Meta(ge=0)]


class _Report(TypedDict):
    """A load report as JSON."""

    busy: Count
    queued: Count
    slots: Count
    draining: bool
    warm: bool


class PoolCounts(NamedTuple):
    """How often connections to a backend server were opened and used again.

    Attributes:
        opened: Connections opened.
        reused: Exchanges that used a connection again.
        idle: Idle connections now.
    """

    opened: int
    reused: int
    idle: int


class HttpBackends:
    """The connections to all backend servers; implements ``ports.backend.Backends``."""

    def __init__(
        self,
        *,
        kept_connections: int = MAX_IDLE_CONNECTIONS,
        max_connections: int = MAX_CONNECTIONS,
        body_stall_s: float = BODY_STALL_TIMEOUT_S,
    ) -> None:
        """Make an adapter without any connection.

        Args:
            kept_connections: Idle connections kept for each backend server.
            most_connections: Exchanges at the same time with one backend server.
            body_stall_s: How long a response's body may stand still, in seconds.
        """
        self._max_idle = kept_connections
        self._max_connections = max_connections
        self._body_stall_s = body_stall_s
        self._pools: dict[BackendAddress, ConnectionPool] = {}
        self._probes = 0

    def counts(self, server: BackendAddress) -> PoolCounts:
        """How the connections to a backend server were used."""
        pool = self._pools.get(server)
        return (
            PoolCounts(0, 0, 0) if pool is None else PoolCounts(pool.opened, pool.reused, pool.idle)
        )

    @asynccontextmanager
    async def exchange(
        self, server: BackendAddress, request: BackendRequest
    ) -> AsyncIterator[Result[BackendResponse, BackendFailure]]:
        """Send one request to one backend server, without any retry."""
        pool = self._pool(server)
        deadline = trio.current_time() + request.deadline_s
        acquired = await _acquire(pool, request, deadline)
        if isinstance(acquired, Err):
            yield acquired
            return
        connection = acquired.ok_value
        try:
            outcome = await _send(connection, server, request, deadline)
            if isinstance(outcome, Err):
                yield outcome
                return
            response = outcome.ok_value
            body = ResponseBody(response=response, stall_s=self._body_stall_s)
            try:
                headers = backend_headers.end_to_end(response.headers)
                yield Ok(BackendResponse(status=response.status, headers=headers, body=body))
            finally:
                await body.aclose()
        finally:
            await pool.release(connection)

    async def probe(
        self, server: BackendAddress, *, timeout_s: float, path: str = "/load"
    ) -> Result[LoadReport, BackendFailure]:
        """Ask a backend server for its health and load."""
        self._probes += 1
        request = BackendRequest(
            request_id=f"probe-{self._probes}",
            method="GET",
            target=path,
            headers=(),
            body=None,
            deadline_s=timeout_s,
            idempotent=True,
        )
        with trio.move_on_after(timeout_s):
            async with self.exchange(server, request) as outcome:
                if isinstance(outcome, Err):
                    return outcome
                return await _read_report(outcome.ok_value)
        return Err(BackendFailure(Verdict.MAY_HAVE_RUN, FailureReason.TIMEOUT))

    async def close(self, server: BackendAddress) -> None:
        """Close idle connections to a backend server that left the configuration."""
        pool = self._pools.pop(server, None)
        if pool is not None:
            await pool.retire()

    def _pool(self, server: BackendAddress) -> ConnectionPool:
        pool = self._pools.get(server)
        if pool is None:
            pool = ConnectionPool(
                server=server, max_idle=self._max_idle, max_connections=self._max_connections
            )
            self._pools[server] = pool
        return pool


class ResponseBody:
    """A response's body, which ends cleanly only if it is whole."""

    def __init__(self, *, response: httpcore.Response, stall_s: float) -> None:
        stream: Any = response.stream
        self._stream = stream
        self._chunks: AsyncGenerator[bytes, None] = aiter(stream)
        self._stall_s = stall_s
        self._broken: str | None = None

    def __aiter__(self) -> "ResponseBody":
        return self

    async def __anext__(self) -> bytes:
        # httpcore's iterator that broke once ends cleanly when it is asked again; this one doesn't.
        if self._broken is not None:
            raise BodyBroken(self._broken)
        self._broken = f"the body stood still for {self._stall_s} s"
        with trio.move_on_after(self._stall_s):
            try:
                chunk: bytes = await anext(self._chunks)
            except (httpcore.ProtocolError, httpcore.NetworkError) as error:
                self._broken = f"the body ended before its promised end: {error}"
                raise BodyBroken(self._broken) from error
            except StopAsyncIteration:
                self._broken = None
                raise
            self._broken = None
            return chunk
        raise BodyBroken(self._broken)

    async def aclose(self) -> None:
        """Close the connection, unless the body was read to its end."""
        self._broken = self._broken or "the exchange is over"
        with trio.CancelScope(shield=True):
            await self._chunks.aclose()
            await self._stream.aclose()


async def _acquire(
    pool: ConnectionPool, request: BackendRequest, deadline: float
) -> Result[PooledConnection, BackendFailure]:
    """Get a connection. No byte of the request leaves here, so each failure is ``NOT_RUN``."""
    try:
        with trio.move_on_at(deadline):
            return Ok(await pool.acquire(idempotent=request.idempotent))
    except ConnectionRefusedError:
        return Err(BackendFailure(Verdict.NOT_RUN, FailureReason.CONNECT_REFUSED))
    except OSError:
        return Err(BackendFailure(Verdict.NOT_RUN, FailureReason.CONNECT_FAILED))
    return Err(BackendFailure(Verdict.NOT_RUN, FailureReason.CONNECT_TIMEOUT))


async def _send(
    connection: PooledConnection, server: BackendAddress, request: BackendRequest, deadline: float
) -> Result[httpcore.Response, BackendFailure]:
    """Send the request and wait for the head of its response."""
    connection.stream.start_request()
    remaining_s = deadline - trio.current_time()
    try:
        with trio.move_on_at(deadline):
            http_request = httpcore.Request(
                request.method,
                httpcore.URL(
                    scheme=b"http",
                    host=connection.origin.host,
                    port=connection.origin.port,
                    target=request.target.encode(),
                ),
                headers=backend_headers.request_headers(server, request, remaining_s=remaining_s),
                content=request.body,
            )
            response = await connection.http.handle_async_request(http_request)
            return await _classify_response(request, response)
        reason = FailureReason.TIMEOUT
    except (httpcore.LocalProtocolError, h11.LocalProtocolError):
        reason = FailureReason.BAD_REQUEST
    except (httpcore.RemoteProtocolError, httpcore.NetworkError):
        reason = (
            FailureReason.RESET if connection.stream.closed_by_peer else FailureReason.BAD_RESPONSE
        )
    may_have_sent = connection.stream.may_have_sent
    return Err(BackendFailure(Verdict.MAY_HAVE_RUN if may_have_sent else Verdict.NOT_RUN, reason))


async def _classify_response(
    request: BackendRequest, response: httpcore.Response
) -> Result[httpcore.Response, BackendFailure]:
    """Tell a usable response from a shed one and from one that can't be trusted."""
    headers = response.headers
    if not backend_headers.matches_request(headers, request, must_echo=request.echoes_request_id):
        return Err(BackendFailure(Verdict.MAY_HAVE_RUN, FailureReason.CROSSED_ANSWER))
    shed = backend_headers.first_value(headers, backend_headers.SHED_HEADER)
    if response.status == SHED_STATUS and shed == backend_headers.SHED_NOT_RUN:
        await _discard_body(response)
        # A shed answer without our id might be meant for another request, while ours runs: only
        # one that bears it is a promise, also from a service that need not repeat ids elsewhere.
        bears_own_id = backend_headers.matches_request(headers, request, must_echo=True)
        return Err(
            BackendFailure(
                Verdict.NOT_RUN if bears_own_id else Verdict.MAY_HAVE_RUN,
                FailureReason.SHED,
                shed=True,
                retry_after_s=backend_headers.retry_after_s(headers),
                draining=backend_headers.is_draining(headers),
            )
        )
    if not backend_headers.has_delimited_body(request.method, response.status, headers):
        return Err(BackendFailure(Verdict.MAY_HAVE_RUN, FailureReason.BAD_RESPONSE))
    return Ok(response)


async def _discard_body(response: httpcore.Response) -> None:
    """Read a short body to its end, so that the connection can be used again."""
    stream: Any = response.stream
    remaining_bytes = MAX_SHED_BODY_BYTES
    try:
        with trio.move_on_after(SHED_BODY_TIMEOUT_S):
            async with aclosing(aiter(stream)) as chunks:
                async for chunk in chunks:
                    remaining_bytes -= len(chunk)
                    if remaining_bytes < 0:
                        break
    except (httpcore.ProtocolError, httpcore.NetworkError):
        pass  # the verdict came with the head; the connection is closed below
    with trio.CancelScope(shield=True):
        await stream.aclose()


async def _read_report(response: BackendResponse) -> Result[LoadReport, BackendFailure]:
    bad = Err(BackendFailure(Verdict.RAN, FailureReason.BAD_RESPONSE))
    content = b""
    try:
        async for chunk in response.body:
            content += chunk
            if len(content) > MAX_REPORT_BYTES:
                return bad
        report = msgspec.json.decode(content, type=_Report)
    except (BodyBroken, msgspec.DecodeError):
        return bad
    if response.status != OK_STATUS:
        return bad
    return Ok(LoadReport(**report))

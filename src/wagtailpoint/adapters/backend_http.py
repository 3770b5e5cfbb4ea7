"""Exchanges with backend servers over HTTP/1.1, with httpcore on trio.

A failure gets the verdict ``NOT_RUN`` in two cases only: no byte of the request was written to a
socket, or the backend server answered "shed, not run" with the id of this request. Every other
failed exchange gets ``MAY_HAVE_RUN``.
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
from wagtailpoint.response_head import has_delimited_body
from wagtailpoint.untrusted_input import decode_json
from wagtailpoint.verdict import Verdict

MAX_IDLE_CONNECTIONS = 12
"""Per backend server."""

MAX_CONNECTIONS = 36
"""Concurrent exchanges with one backend server: 9 entries share its 330 connections."""

BODY_STALL_TIMEOUT_S = 30.0
"""Maximum time without data within a response body, in seconds. A frozen backend server would
otherwise hold a slot of the entry forever."""

SHED_BODY_TIMEOUT_S = 0.05
"""Maximum time for reading the body of a shed response, in seconds, to reuse its connection."""

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
    """Numbers of opened, reused and idle connections to a backend server.

    Attributes:
        opened: Connections opened since the start.
        reused: Exchanges since the start that reused a connection.
        idle: Connections that are idle at present.
    """

    opened: int
    reused: int
    idle: int


class HttpBackends:
    """Sends requests to all backend servers; implements ``ports.backend.Backends``."""

    def __init__(
        self,
        *,
        max_idle_connections: int = MAX_IDLE_CONNECTIONS,
        max_connections: int = MAX_CONNECTIONS,
        body_stall_s: float = BODY_STALL_TIMEOUT_S,
    ) -> None:
        """Initialise the adapter without opening a connection.

        Args:
            max_idle_connections: Maximum number of idle connections per backend server.
            max_connections: Maximum number of concurrent exchanges per backend server.
            body_stall_s: Maximum time without data within a response body, in seconds.
        """
        self._max_idle = max_idle_connections
        self._max_connections = max_connections
        self._body_stall_s = body_stall_s
        self._pools: dict[BackendAddress, ConnectionPool] = {}
        self._probes = 0

    def counts(self, server: BackendAddress) -> PoolCounts:
        """Return the connection counts of a backend server."""
        pool = self._pools.get(server)
        return (
            PoolCounts(0, 0, 0) if pool is None else PoolCounts(pool.opened, pool.reused, pool.idle)
        )

    @asynccontextmanager
    async def exchange(
        self, server: BackendAddress, request: BackendRequest
    ) -> AsyncIterator[Result[BackendResponse, BackendFailure]]:
        """Send one request to one backend server, without retries."""
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
        """Fetch the load report of a backend server."""
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
        """Close the connections to a backend server that was removed from the configuration."""
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
    """A response body whose iteration ends without an error only if the body is complete."""

    def __init__(self, *, response: httpcore.Response, stall_s: float) -> None:
        stream: Any = response.stream
        self._stream = stream
        self._chunks: AsyncGenerator[bytes, None] = aiter(stream)
        self._stall_s = stall_s
        self._broken: str | None = None

    def __aiter__(self) -> "ResponseBody":
        return self

    async def __anext__(self) -> bytes:
        # After an error, httpcore's iterator ends cleanly on the next call, so that a broken body
        # would look complete. This one raises the error again.
        if self._broken is not None:
            raise BodyBroken(self._broken)
        self._broken = f"no data of the response body within {self._stall_s} s"
        with trio.move_on_after(self._stall_s):
            try:
                chunk: bytes = await anext(self._chunks)
            except (httpcore.ProtocolError, httpcore.NetworkError) as error:
                self._broken = f"the response body is incomplete: {error}"
                raise BodyBroken(self._broken) from error
            except StopAsyncIteration:
                self._broken = None
                raise
            self._broken = None
            return chunk
        raise BodyBroken(self._broken)

    async def aclose(self) -> None:
        """Close the response; its connection too, unless the body was read to its end."""
        self._broken = self._broken or "the response body was closed"
        with trio.CancelScope(shield=True):
            await self._chunks.aclose()
            await self._stream.aclose()


async def _acquire(
    pool: ConnectionPool, request: BackendRequest, deadline: float
) -> Result[PooledConnection, BackendFailure]:
    """Acquire a connection. No byte of the request is sent, so every failure is ``NOT_RUN``."""
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
    """Send the request and wait for the status and headers of its response."""
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
    """Return the response if it is usable, otherwise the failure that it stands for."""
    headers = response.headers
    if not backend_headers.matches_request(headers, request, must_echo=request.echoes_request_id):
        return Err(BackendFailure(Verdict.MAY_HAVE_RUN, FailureReason.CROSSED_ANSWER))
    shed = backend_headers.first_value(headers, backend_headers.SHED_HEADER)
    if response.status == SHED_STATUS and shed == backend_headers.SHED_NOT_RUN:
        await _discard_body(response)
        # A shed response without this request's id may belong to another request while this one
        # runs. It proves NOT_RUN only with the id, even if the service need not echo ids.
        bears_own_id = backend_headers.matches_request(headers, request, must_echo=True)
        return Err(
            BackendFailure(
                Verdict.NOT_RUN if bears_own_id else Verdict.MAY_HAVE_RUN,
                FailureReason.SHED,
                shed=True,
                retry_after_s=backend_headers.retry_after_s(headers),
                draining=backend_headers.is_draining(headers),
                headers=headers if bears_own_id else (),
            )
        )
    if not has_delimited_body(request.method, response.status, headers):
        return Err(BackendFailure(Verdict.MAY_HAVE_RUN, FailureReason.BAD_RESPONSE))
    return Ok(response)


async def _discard_body(response: httpcore.Response) -> None:
    """Read a short body to its end, so that the connection can be reused."""
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
        pass  # The verdict is known from the headers; the connection is closed below.
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
    except BodyBroken:
        return bad
    report = decode_json(content, _Report)
    if isinstance(report, Err) or response.status != OK_STATUS:
        return bad
    return Ok(LoadReport(**report.ok_value))

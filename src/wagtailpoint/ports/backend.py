"""Exchanges with backend servers: requests, responses, failures and load reports."""

from collections.abc import AsyncIterator, Sequence
from contextlib import AbstractAsyncContextManager
from enum import StrEnum
from typing import NamedTuple, Protocol

from result import Result

from wagtailpoint.verdict import Verdict

Headers = Sequence[tuple[bytes, bytes]]


class BackendAddress(NamedTuple):
    """The address and port on which a backend server listens."""

    address: str
    port: int

    def __str__(self) -> str:
        return f"{self.address}:{self.port}"


class BackendRequest(NamedTuple):
    """A request to a backend server.

    Attributes:
        request_id: Sent as ``Wagtailpoint-Request-Id`` and echoed by the backend server. Unique to
            the exchange, so that a late response to an earlier attempt isn't taken for its
            response.
        method: The HTTP method, for example ``GET``.
        target: The path and query.
        headers: The end-to-end headers.
        body: The body as it arrives from the caller; None if there is no body.
        deadline_s: Seconds left until the response headers must have arrived; a reduced value is
            sent as ``Wagtailpoint-Deadline-Ms``.
        idempotent: Whether the request is idempotent. A non-idempotent request only uses a
            connection that the backend server is unlikely to close while the request is sent.
        echoes_request_id: Whether the backend server echoes the request id; if so, a response
            without it is dropped. A response with another id is always dropped.
    """

    request_id: str
    method: str
    target: str
    headers: Headers
    body: AsyncIterator[bytes] | None
    deadline_s: float
    idempotent: bool
    echoes_request_id: bool = False


class FailureReason(StrEnum):
    """The reason why an exchange has no usable response."""

    CONNECT_REFUSED = "connect-refused"
    CONNECT_FAILED = "connect-failed"
    CONNECT_TIMEOUT = "connect-timeout"
    BACKING_OFF = "backing-off"
    BAD_REQUEST = "bad-request"
    """The request violates HTTP, for example by a body that differs from its Content-Length."""
    RESET = "reset"
    """The connection was closed before the whole response had arrived."""
    TIMEOUT = "timeout"
    SHED = "shed"
    CROSSED_ANSWER = "crossed-answer"
    BAD_RESPONSE = "bad-response"
    """The response violates HTTP, or its end can't be told from a broken connection."""


class BackendFailure(NamedTuple):
    """An exchange without a usable response.

    Attributes:
        verdict: ``NOT_RUN`` only if no byte can have been sent, or the backend server reported that
            it shed the request without running it.
        reason: A ``FailureReason`` for logs and metrics.
        shed: Whether the backend server explicitly reported that it shed the request.
        retry_after_s: Delay in seconds after which the backend server asked for a retry; None if
            not given.
        draining: Whether the backend server reported that it is draining.
        headers: The headers of the response by which it refused the request; empty if there was
            none.
    """

    verdict: Verdict
    reason: str
    shed: bool = False
    retry_after_s: float | None = None
    draining: bool = False
    headers: Headers = ()


class BackendResponse(NamedTuple):
    """A response whose headers have arrived.

    Attributes:
        status: The HTTP status.
        headers: The end-to-end headers.
        body: The body in chunks. Raises ``BodyBroken`` if it ends prematurely, so that the caller
            never receives a truncated body that looks complete.
    """

    status: int
    headers: Headers
    body: AsyncIterator[bytes]


class BodyBroken(Exception):
    """A response body that ended before its declared end."""


class LoadReport(NamedTuple):
    """The load that a backend server reports. It is only a hint, as it lags and may be wrong.

    Attributes:
        busy: Number of slots in use.
        queued: Number of requests that wait for a slot.
        slots: Total number of slots.
        draining: Whether the backend server is draining.
        warm: Whether its caches are warm.
    """

    busy: int
    queued: int
    slots: int
    draining: bool
    warm: bool


class Backends(Protocol):
    """Sends requests to backend servers and manages the connections to them."""

    def exchange(
        self, server: BackendAddress, request: BackendRequest
    ) -> AbstractAsyncContextManager[Result[BackendResponse, BackendFailure]]:
        """Send one request to one backend server, without retries.

        Leaving the context early or cancelling it closes the connection, so that a connection with
        an unread response never returns to the pool. After a cancellation, or an exception from
        ``request.body`` (which is propagated), the request may have run.
        """
        ...

    async def probe(
        self, server: BackendAddress, *, timeout_s: float, path: str = "/load"
    ) -> Result[LoadReport, BackendFailure]:
        """Request a backend server's load report.

        Args:
            server: The backend server.
            timeout_s: Maximum time until the whole report has arrived, in seconds.
            path: The service's ``report_path``.
        """
        ...

    async def close(self, server: BackendAddress) -> None:
        """Close idle connections to a backend server that was removed from the configuration."""
        ...

"""One exchange with a backend server, as the entry sees it."""

from collections.abc import AsyncIterator, Sequence
from contextlib import AbstractAsyncContextManager
from enum import StrEnum
from typing import NamedTuple, Protocol

from result import Result

from wagtailpoint.verdict import Verdict

Headers = Sequence[tuple[bytes, bytes]]


class BackendAddress(NamedTuple):
    """Where a backend server listens."""

    address: str
    port: int

    def __str__(self) -> str:
        return f"{self.address}:{self.port}"


class BackendRequest(NamedTuple):
    """A request on its way to a backend server.

    Attributes:
        request_id: Sent as ``Wagtailpoint-Request-Id``; the backend server repeats it. Another one
            for each exchange: a late answer to an earlier attempt must not pass for this one's.
        method: For example ``GET``.
        target: Path and query.
        headers: End-to-end headers only.
        body: The body as it arrives from the caller, or None when there is none.
        deadline_s: Seconds left for the whole exchange until the response's headers; passed on,
            reduced, as ``Wagtailpoint-Deadline-Ms``.
        idempotent: A non-idempotent request only uses a connection that is unlikely to be closed
            by the backend server just as the request leaves.
        echoes_request_id: The backend server repeats the request id; a response without it is then
            dropped. One with another id is always dropped.
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
    """Why an exchange gave no usable response."""

    CONNECT_REFUSED = "connect-refused"
    CONNECT_FAILED = "connect-failed"
    CONNECT_TIMEOUT = "connect-timeout"
    BAD_REQUEST = "bad-request"
    """The request breaks HTTP, for example a body that differs from its Content-Length."""
    RESET = "reset"
    """The connection ended before the whole response had come."""
    TIMEOUT = "timeout"
    SHED = "shed"
    CROSSED_ANSWER = "crossed-answer"
    BAD_RESPONSE = "bad-response"
    """What came breaks HTTP, or its end could not be told from a broken connection."""


class BackendFailure(NamedTuple):
    """An exchange without a usable response.

    Attributes:
        verdict: ``NOT_RUN`` only if no byte can have left, or the backend server itself said that
            it shed the request without running it.
        reason: One word for logs and metrics, a ``FailureReason``.
        shed: The backend server said explicitly that it shed the request.
        retry_after_s: When the backend server asked to come back, in seconds; None if not said.
        draining: The backend server said that it is leaving.
    """

    verdict: Verdict
    reason: str
    shed: bool = False
    retry_after_s: float | None = None
    draining: bool = False


class BackendResponse(NamedTuple):
    """A response whose headers have arrived.

    Attributes:
        status: HTTP status.
        headers: End-to-end headers.
        body: The body in chunks. Raises ``BodyBroken`` when it ends before what was promised, so
            that the caller is never given a short body that looks whole.
    """

    status: int
    headers: Headers
    body: AsyncIterator[bytes]


class BodyBroken(Exception):
    """A response body that ended before its promised end."""


class LoadReport(NamedTuple):
    """What a backend server says of itself. A hint: it lags and may mislead.

    Attributes:
        busy: Slots in use.
        queued: Requests waiting for a slot.
        slots: Slots in all.
        draining: The backend server is leaving.
        warm: False while caches are cold.
    """

    busy: int
    queued: int
    slots: int
    draining: bool
    warm: bool


class Backends(Protocol):
    """The connections to all backend servers."""

    def exchange(
        self, server: BackendAddress, request: BackendRequest
    ) -> AbstractAsyncContextManager[Result[BackendResponse, BackendFailure]]:
        """Send one request to one backend server, without any retry.

        Leaving the context early, or cancellation, closes the connection: it never goes back to
        the pool with an unread response on it. Whoever cancels it must take the request as one
        that may have run. An exception of ``request.body`` passes through; it too leaves a request
        that may have run.
        """
        ...

    async def probe(
        self, server: BackendAddress, *, timeout_s: float, path: str = "/load"
    ) -> Result[LoadReport, BackendFailure]:
        """Ask a backend server for its health and load.

        Args:
            server: The backend server.
            timeout_s: The longest wait for the whole answer, in seconds.
            path: The service's ``report_path``.
        """
        ...

    async def close(self, server: BackendAddress) -> None:
        """Close idle connections to a backend server that left the configuration."""
        ...

"""One exchange with a backend server, as the entry sees it."""

from collections.abc import AsyncIterator, Sequence
from contextlib import AbstractAsyncContextManager
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
        request_id: Sent as ``Wagtailpoint-Request-Id``; the backend server repeats it.
        method: For example ``GET``.
        target: Path and query.
        headers: End-to-end headers only.
        body: The body as it arrives from the caller, or None when there is none.
        deadline_s: Seconds left for the whole exchange until the response's headers; passed on,
            reduced, as ``Wagtailpoint-Deadline-Ms``.
        idempotent: A non-idempotent request only uses a connection that is unlikely to be closed
            by the backend server just as the request leaves.
    """

    request_id: str
    method: str
    target: str
    headers: Headers
    body: AsyncIterator[bytes] | None
    deadline_s: float
    idempotent: bool


class BackendFailure(NamedTuple):
    """An exchange without a usable response.

    Attributes:
        verdict: ``NOT_RUN`` only if no byte can have left, or the backend server itself said that
            it shed the request without running it.
        reason: One word for logs and metrics, for example ``connect-refused``.
        shed: The backend server said explicitly that it shed the request.
        retry_after_s: When the backend server asked to come back, in seconds; None if not said.
    """

    verdict: Verdict
    reason: str
    shed: bool = False
    retry_after_s: float | None = None


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
        the pool with an unread response on it.
        """
        ...

    async def probe(
        self, server: BackendAddress, *, timeout_s: float
    ) -> Result[LoadReport, BackendFailure]:
        """Ask a backend server for its health and load."""
        ...

    async def close(self, server: BackendAddress) -> None:
        """Close idle connections to a backend server that left the configuration."""
        ...

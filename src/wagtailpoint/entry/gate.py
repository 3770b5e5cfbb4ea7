"""The gate: how many requests are open, and whether new ones are still let in."""

from collections.abc import Iterator
from contextlib import contextmanager
from http import HTTPStatus

import trio

from wagtailpoint.admission.refusal import Refusal, RefusalCode, refuse

LEAVING_RETRY_AFTER_S = 1.0
FULL_RETRY_AFTER_S = 1.0


class RequestGate:
    """Counts the open requests of this instance and closes when it stops."""

    def __init__(self, *, max_open_requests: int) -> None:
        """Make an open gate.

        Args:
            max_open_requests: New requests are refused beyond this number of open ones. Each holds
                memory and a connection, and accepting more would harm those already open.
        """
        self._max_open_requests = max_open_requests
        self._open = 0
        self._closed = False
        self._idle = trio.Event()

    @property
    def open_requests(self) -> int:
        """Requests that have not been answered to the end."""
        return self._open

    @property
    def closed(self) -> bool:
        """Whether new requests are refused because the instance stops."""
        return self._closed

    def refusal(self) -> Refusal | None:
        """Why a new request is refused; None if it is let in."""
        if self._closed:
            return refuse(
                HTTPStatus.SERVICE_UNAVAILABLE,
                RefusalCode.LEAVING,
                "this instance is stopping; look up again and use another entry",
                LEAVING_RETRY_AFTER_S,
            )
        if self._open > self._max_open_requests:
            return refuse(
                HTTPStatus.SERVICE_UNAVAILABLE,
                RefusalCode.NO_SLOT,
                f"this instance has {self._max_open_requests} open requests and takes no more",
                FULL_RETRY_AFTER_S,
            )
        return None

    @contextmanager
    def counted(self) -> Iterator[None]:
        """Count a request, or a keyed attempt that outlives its caller, as open."""
        self._open += 1
        try:
            yield
        finally:
            self._open -= 1
            if not self._open:
                self._idle.set()

    def close(self) -> None:
        """Refuse new requests from now on."""
        self._closed = True

    async def wait_idle(self) -> None:
        """Wait until no request is open."""
        while self._open:
            self._idle = trio.Event()
            await self._idle.wait()

"""The request gate: counts open requests and decides whether new ones are accepted."""

from collections.abc import Iterator
from contextlib import contextmanager
from http import HTTPStatus

import trio

from wagtailpoint.admission.refusal import Refusal, RefusalCode, refuse

LEAVING_RETRY_AFTER_S = 1.0
FULL_RETRY_AFTER_S = 1.0


class RequestGate:
    """Counts the open requests of this instance and refuses new ones while it stops."""

    def __init__(self, *, max_open_requests: int) -> None:
        """Initialise an open gate.

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
        """The number of requests without a complete reply."""
        return self._open

    @property
    def closed(self) -> bool:
        """Whether new requests are refused because the instance is stopping."""
        return self._closed

    def refusal(self) -> Refusal | None:
        """Return the refusal of a new request, or None if it is accepted."""
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
        """Count a request, or a keyed attempt that continues without its caller, as open."""
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

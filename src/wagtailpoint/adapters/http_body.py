"""The body of a caller's request, read as it arrives."""

from collections.abc import AsyncIterator
from typing import Any

import trio
from hypercorn.typing import ASGIReceiveCallable

from wagtailpoint.adapters.http_connection import CallerConnection
from wagtailpoint.entry.request import BodyTooLarge, BodyTooSlow

MIN_BYTES_PER_S = 8 * 1024
"""Minimum transfer rate of a request body, in addition to the stall timeout.

A caller that sends its body slowly, on purpose or not, would otherwise hold the slot of a backend
server for as long as the route's timeout allows.
"""


class RequestBody:
    """The body of one request, with limits on its size and on the time it takes."""

    def __init__(
        self,
        *,
        receive: ASGIReceiveCallable,
        connection: CallerConnection,
        max_bytes: int,
        stall_s: float,
    ) -> None:
        self._receive = receive
        self._connection = connection
        self._max_bytes = max_bytes
        self._stall_s = stall_s

    async def chunks(self) -> AsyncIterator[bytes]:
        """Yield the body as it arrives.

        Raises:
            BodyTooLarge: The body is larger than this instance accepts.
            BodyTooSlow: The caller sends the body too slowly.
        """
        await self._connection.send_continue()
        size = 0
        waited_s = 0.0
        while True:
            wait_started = trio.current_time()
            with trio.move_on_after(self._stall_s + size / MIN_BYTES_PER_S - waited_s) as scope:
                message: Any = await self._receive()
            if scope.cancelled_caught:
                raise BodyTooSlow
            # Counts the time spent waiting for the caller, not the time between reads.
            waited_s += trio.current_time() - wait_started
            size += len(message["body"])
            if size > self._max_bytes:
                raise BodyTooLarge
            if message["body"]:
                yield message["body"]
            if not message["more_body"]:
                return

"""What has arrived on a caller's connection and has not been parsed yet."""

from typing import Final

import trio

READ_BYTES: Final = 64 * 1024
MAX_UNREAD_BYTES: Final = 256 * 1024
"""So much of what a caller sends ahead is held; then the connection is read no further."""


class CallerGone(Exception):
    """The caller closed the connection."""


class CallerInput:
    """Bytes of a connection, read for as long as it is open, also while a request is served.

    A server that stops reading while a reply is under way would see a caller's close only after the
    reply, and have the backend server work on for nobody.
    """

    def __init__(self) -> None:
        self._unread = bytearray()
        self._data_arrived = trio.Event()
        self._room_available = trio.Event()
        self._closed = False

    @property
    def is_closed(self) -> bool:
        """Whether the caller closed the connection, or a reply to it broke off."""
        return self._closed

    @property
    def is_empty(self) -> bool:
        """Whether all that arrived was taken."""
        return not self._unread

    def take(self) -> bytes:
        """Take all that has arrived."""
        data = bytes(self._unread)
        self._unread.clear()
        self._room_available.set()
        return data

    def push_back(self, data: bytes) -> None:
        """Put back what stands behind the end of a request."""
        self._unread[:0] = data

    def mark_closed(self) -> None:
        """Nothing more will come."""
        self._closed = True
        self._data_arrived.set()

    async def wait_for_data(self) -> None:
        """Wait until there is something to take.

        Raises:
            CallerGone: Nothing more will come.
        """
        while not self._unread:
            if self._closed:
                raise CallerGone
            self._data_arrived = trio.Event()
            await self._data_arrived.wait()

    async def read_from(self, stream: trio.SocketStream) -> None:
        """Read until the caller closes the connection."""
        while True:
            while len(self._unread) >= MAX_UNREAD_BYTES:
                self._room_available = trio.Event()
                await self._room_available.wait()
            try:
                data = await stream.receive_some(READ_BYTES)
            except (trio.BrokenResourceError, trio.ClosedResourceError):
                return
            if not data:
                return
            self._unread += data
            self._data_arrived.set()

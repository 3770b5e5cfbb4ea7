"""The receive buffer of a caller's connection."""

from typing import Final

import trio

READ_BYTES: Final = 64 * 1024
MAX_UNREAD_BYTES: Final = 256 * 1024
"""The connection is not read further while this number of bytes waits to be parsed."""


class CallerGone(Exception):
    """The caller closed the connection, or a reply on it could not be completed."""


class CallerInput:
    """Buffers the input of a connection, which is read also while a request is served.

    A server that stopped reading until the reply was sent would detect a close only then, and the
    backend server would keep working on a request whose caller has left.
    """

    def __init__(self) -> None:
        self._unread = bytearray()
        self._data_arrived = trio.Event()
        self._room_available = trio.Event()
        self._closed = False

    @property
    def is_closed(self) -> bool:
        """Whether the caller closed the connection or a reply on it was not completed."""
        return self._closed

    @property
    def is_empty(self) -> bool:
        """Whether the buffer is empty."""
        return not self._unread

    def take(self) -> bytes:
        """Remove and return all buffered data."""
        data = bytes(self._unread)
        self._unread.clear()
        self._room_available.set()
        return data

    def push_back(self, data: bytes) -> None:
        """Put data received after the end of a request back to the front of the buffer."""
        self._unread[:0] = data

    def mark_closed(self) -> None:
        """Record that no further data will arrive."""
        self._closed = True
        self._data_arrived.set()

    async def wait_for_data(self) -> None:
        """Wait until the buffer has data.

        Raises:
            CallerGone: The buffer is empty and no further data will arrive.
        """
        while not self._unread:
            if self._closed:
                raise CallerGone
            self._data_arrived = trio.Event()
            await self._data_arrived.wait()

    async def read_from(self, stream: trio.SocketStream) -> None:
        """Read from the stream until the caller closes the connection."""
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

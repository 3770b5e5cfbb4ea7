"""Relayed connections whose end is stated, so that the end of a relay is not taken for it.

The kernel closes the connections of a killed process in order, as the backend server may have done.
Towards the instance that opened a relayed connection the bytes are therefore sent in frames, each
with its length before it; an empty frame states that the backend server ended its connection.
"""

import struct
from typing import Final

import trio

_LENGTH: Final = struct.Struct("!I")

MAX_FRAME_BYTES: Final = 1024 * 1024
END: Final = _LENGTH.pack(0)
"""The frame which states that the backend server ended its connection."""

READ_BYTES: Final = 64 * 1024


def encode_frame(data: bytes | bytearray) -> bytes:
    """Encode bytes of the backend server; there must be at least one."""
    return _LENGTH.pack(len(data)) + data


class RelayedStream(trio.abc.Stream):
    """The near side of a relayed connection.

    Its input ends only if the relay states that the backend server ended its connection. Any other
    end counts as a reset.
    """

    def __init__(self, *, stream: trio.SocketStream, has_frames: bool) -> None:
        """Initialise the stream after its opening.

        Args:
            stream: The connection to the relay.
            has_frames: Whether the relay sends frames. If it does not, no end is stated.
        """
        self._stream = stream
        self._has_frames = has_frames
        self._buffer = bytearray()
        self._has_ended = False

    @property
    def socket(self) -> trio.socket.SocketType:
        """The socket of the connection to the relay."""
        return self._stream.socket

    def has_input(self) -> bool:
        """Return whether bytes or the end of the input wait to be received."""
        return bool(self._buffer) or self._has_ended or self._stream.socket.is_readable()

    async def send_all(self, data: bytes | bytearray | memoryview) -> None:
        """Send bytes to the backend server."""
        await self._stream.send_all(data)

    async def wait_send_all_might_not_block(self) -> None:
        """Wait until ``send_all`` might not block."""
        await self._stream.wait_send_all_might_not_block()

    async def receive_some(self, max_bytes: int | None = None) -> bytes:
        """Receive bytes of the backend server; none if it ended the connection.

        A call returns all bytes that have arrived with one read, which may be more than
        ``max_bytes``.

        Raises:
            trio.BrokenResourceError: The connection ended otherwise, or a frame is invalid.
        """
        while not self._has_ended:
            data = await self._stream.receive_some(READ_BYTES)
            if not data:
                raise trio.BrokenResourceError("the relay ended, not the backend server")
            if not self._has_frames:
                return bytes(data)
            self._buffer += data
            if body := self._take_frames():
                return body
        return b""

    def _take_frames(self) -> bytes:
        """Remove the complete frames from the buffer, and return their bytes."""
        bodies = []
        position = 0
        while position + _LENGTH.size <= len(self._buffer):
            (length,) = _LENGTH.unpack_from(self._buffer, position)
            if length > MAX_FRAME_BYTES:
                raise trio.BrokenResourceError(
                    f"given a frame of {length} bytes, expected {MAX_FRAME_BYTES} at most"
                )
            end = position + _LENGTH.size + length
            if not length:
                self._has_ended = True
                break
            if end > len(self._buffer):
                break
            bodies.append(bytes(self._buffer[position + _LENGTH.size : end]))
            position = end
        del self._buffer[:position]
        return b"".join(bodies)

    def setsockopt(self, level: int, option: int, value: int | bytes) -> None:
        """Set an option of the socket."""
        self._stream.setsockopt(level, option, value)

    async def aclose(self) -> None:
        """Close the connection."""
        await self._stream.aclose()

"""Passes bytes between two connections until either ends, with bounded buffers."""

import socket
import struct
from contextlib import suppress
from typing import Final, Literal, NamedTuple

import trio

from wagtailpoint.relay.marked_end import END, encode_frame

READ_BYTES: Final = 64 * 1024

READ_AHEAD: Final = 4
"""The number of reads of the near side that may wait to be sent to the far side. While the far side
does not read, the end of the near side is noticed only behind what it has sent before."""

FLUSH_TIMEOUT_S: Final = 2.0
"""Maximum time to wait for the near side to close after the far side has ended."""

_RESET_ON_CLOSE: Final = struct.pack("ii", 1, 0)
"""The value of ``SO_LINGER`` with which closing a connection resets it."""

EndedBy = Literal["near-end", "far-end", "near-reset", "far-reset"]


class PipeResult(NamedTuple):
    """How a pipe ended.

    Attributes:
        ended_by: The side that ended it and how; ``near`` is the side that opened it.
        sent_bytes: The number of bytes passed to the far side.
        received_bytes: The number of bytes passed to the near side.
    """

    ended_by: EndedBy
    sent_bytes: int
    received_bytes: int


class Pipe:
    """Passes bytes between a near connection, whose peer opened the pipe, and a far one.

    The end of the near side ends the far one at once, as its peer has given up. The end of the far
    side is passed on behind all bytes before it, and stated: an answer without a length is complete
    if the backend server ended its connection. Any other end looks like a reset to the near side.
    """

    def __init__(
        self, *, near: trio.SocketStream, far: trio.SocketStream, has_frames: bool
    ) -> None:
        """Initialise a pipe between two open connections.

        Args:
            near: The connection whose peer opened the pipe.
            far: The connection to the backend server.
            has_frames: Whether the near side expects frames; see ``RelayedStream``.
        """
        self._has_frames = has_frames
        self._near = near
        self._far = far
        self._ended_by: EndedBy | None = None
        self._near_bytes = 0
        self._sent_bytes = 0
        self._received_bytes = 0
        self._scope = trio.CancelScope()

    async def run(self, early_bytes: bytes = b"") -> PipeResult:
        """Pass bytes until a side ends, then close both.

        Args:
            early_bytes: Bytes that the near side sent already.
        """
        self._near_bytes = len(early_bytes)
        try:
            with self._scope:
                async with trio.open_nursery() as nursery:
                    chunks_in, chunks = trio.open_memory_channel[bytes](READ_AHEAD)
                    nursery.start_soon(self._read_near, chunks_in)
                    nursery.start_soon(self._send_far, chunks, early_bytes)
                    nursery.start_soon(self._pass_back)
        finally:
            await self._close()
        return PipeResult(self._ended_by or "near-end", self._sent_bytes, self._received_bytes)

    def _end(self, ended_by: EndedBy) -> None:
        self._ended_by = self._ended_by or ended_by
        self._scope.cancel()

    async def _read_near(self, chunks_in: trio.MemorySendChannel[bytes]) -> None:
        try:
            while data := await self._near.receive_some(READ_BYTES):
                self._near_bytes += len(data)
                await chunks_in.send(bytes(data))
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            self._end("near-reset")
        else:
            self._end("near-end")

    async def _send_far(self, chunks: trio.MemoryReceiveChannel[bytes], early_bytes: bytes) -> None:
        # A failure to send is not the end: the backend server may have answered before it stopped
        # to read.
        try:
            if early_bytes:
                await self._far.send_all(early_bytes)
                self._sent_bytes += len(early_bytes)
            async for data in chunks:
                await self._far.send_all(data)
                self._sent_bytes += len(data)
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            async for _ in chunks:
                pass

    async def _pass_back(self) -> None:
        ended_by = await self._pass_back_until_end()
        self._ended_by = self._ended_by or ended_by
        if not self._has_frames and ended_by == "far-reset":
            self._scope.cancel()
            return
        # Closing a connection with unread bytes resets it, and may destroy what was sent before.
        if self._has_frames and ended_by == "far-end":
            await self._send_near(END)
        try:
            await self._near.send_eof()
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            self._end("near-reset")
        with trio.move_on_after(FLUSH_TIMEOUT_S):
            await trio.sleep_forever()
        self._scope.cancel()

    async def _pass_back_until_end(self) -> EndedBy:
        try:
            while data := await self._far.receive_some(READ_BYTES):
                await self._send_near(encode_frame(data) if self._has_frames else data)
                self._received_bytes += len(data)
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            return "far-reset"
        # The kernel reports a reset once: after a send that it ended, reads say end of input.
        return "far-end" if self._sent_bytes == self._near_bytes else "far-reset"

    async def _send_near(self, data: bytes | bytearray) -> None:
        try:
            await self._near.send_all(data)
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            self._end("near-reset")
            await trio.sleep_forever()

    async def _close(self) -> None:
        with trio.CancelScope(shield=True):
            # Also if the pipe is cancelled: the end of this process is not that of the far side.
            if self._ended_by in (None, "far-reset"):
                with suppress(OSError, trio.ClosedResourceError):
                    self._near.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _RESET_ON_CLOSE)
            await trio.aclose_forcefully(self._near)
            await trio.aclose_forcefully(self._far)

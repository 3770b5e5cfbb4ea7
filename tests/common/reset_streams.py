"""Streams that show a reset as the kernel does: once, to the call that meets it first."""

from types import SimpleNamespace

import trio


class ResetMetBySend:
    """A stream that is reset during a send, after its peer has sent a part of an answer.

    The send fails, and reads return the part and then the end of the input.
    """

    def __init__(self, *, received: bytes) -> None:
        """Initialise the stream.

        Args:
            received: What the peer has sent before the reset.
        """
        self.socket = SimpleNamespace(close=lambda: None, is_readable=lambda: True)
        self._received = received
        self._is_reset = trio.Event()

    async def send_all(self, data: bytes) -> None:
        await trio.lowlevel.checkpoint()
        self._is_reset.set()
        raise trio.BrokenResourceError("connection reset by peer")

    async def receive_some(self, max_bytes: int | None = None) -> bytes:
        await self._is_reset.wait()
        received, self._received = self._received, b""
        return received

    def setsockopt(self, level: int, option: int, value: bytes) -> None:
        pass

    async def aclose(self) -> None:
        pass

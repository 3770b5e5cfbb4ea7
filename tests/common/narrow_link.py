"""A link of limited bandwidth, which all connections over it share."""

from random import Random

import trio

CHUNK_BYTES = 4096


class NarrowLink:
    """Sends bytes no faster than the link's bandwidth.

    Attributes:
        sent_bytes: The number of bytes sent over the link.
    """

    def __init__(self, *, mbps: float) -> None:
        """Initialise an idle link of ``mbps`` Mbit/s."""
        self.sent_bytes = 0
        self._bytes_per_s = mbps * 125_000
        self._free_at = 0.0

    async def send(self, stream: trio.abc.SendStream, data: bytes) -> None:
        for begin in range(0, len(data), CHUNK_BYTES):
            chunk = data[begin : begin + CHUNK_BYTES]
            free_at = max(trio.current_time(), self._free_at)
            self._free_at = free_at + len(chunk) / self._bytes_per_s
            await trio.sleep_until(self._free_at)
            await stream.send_all(chunk)
            self.sent_bytes += len(chunk)


def incompressible(length: int) -> str:
    """Return a text of ``length`` characters that compresses to half of its length at best."""
    return Random(1).randbytes(length // 2).hex()

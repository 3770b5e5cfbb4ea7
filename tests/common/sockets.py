"""Small helpers for sockets in tests."""

import random
import socket
import struct
from contextlib import suppress

import trio


def loopback_address() -> str:
    """A loopback address of this test alone, so that fixed ports do not collide."""
    choose = random.SystemRandom()
    return f"127.{choose.randint(1, 250)}.{choose.randint(1, 250)}.{choose.randint(1, 250)}"


async def reset_connection(stream: trio.SocketStream) -> None:
    """Close with a reset, so that the peer sees an error instead of an end of file."""
    with suppress(OSError, trio.ClosedResourceError):  # already closed
        stream.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    await stream.aclose()

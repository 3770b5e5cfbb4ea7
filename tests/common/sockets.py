"""Helpers for sockets in tests."""

import random
import socket
import struct
from contextlib import suppress

import trio


def loopback_address() -> str:
    """Return a random loopback address, so that fixed ports of tests do not collide."""
    choose = random.SystemRandom()
    return f"127.{choose.randint(1, 250)}.{choose.randint(1, 250)}.{choose.randint(1, 250)}"


async def reset_connection(stream: trio.SocketStream) -> None:
    """Close a connection with a reset, so that the peer gets an error, not an end of file."""
    with suppress(OSError, trio.ClosedResourceError):  # already closed
        stream.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    await stream.aclose()

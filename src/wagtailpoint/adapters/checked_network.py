"""Connections of httpcore on which the heads of responses are checked before they are parsed."""

from collections.abc import Iterable
from ssl import SSLContext
from typing import Any

import httpcore

from wagtailpoint.response_head import HeadCheck, InvalidHead


class CheckedStream(httpcore.AsyncNetworkStream):
    """A stream that raises ``httpcore.RemoteProtocolError`` for what is no head of a response."""

    def __init__(self, *, stream: httpcore.AsyncNetworkStream) -> None:
        """Wrap an open stream that has carried no request."""
        self._stream = stream
        self._check = HeadCheck()
        self._is_sending = False

    async def read(self, max_bytes: int, timeout: float | None = None) -> bytes:  # noqa: ASYNC109
        """Read up to ``max_bytes`` bytes; no bytes mean the end of the stream."""
        data = await self._stream.read(max_bytes, timeout)
        self._is_sending = False
        feed_checked(self._check, data)
        return data

    async def write(self, buffer: bytes, timeout: float | None = None) -> None:  # noqa: ASYNC109
        """Write the whole buffer; the first one after a read begins a request."""
        if buffer and not self._is_sending:
            self._is_sending = True
            self._check = HeadCheck()
        await self._stream.write(buffer, timeout)

    async def aclose(self) -> None:
        """Close the stream."""
        await self._stream.aclose()

    async def start_tls(
        self,
        ssl_context: SSLContext,
        server_hostname: str | None = None,
        timeout: float | None = None,  # noqa: ASYNC109
    ) -> httpcore.AsyncNetworkStream:
        """Start TLS, and check what it carries."""
        stream = await self._stream.start_tls(ssl_context, server_hostname, timeout)
        return CheckedStream(stream=stream)

    def get_extra_info(self, info: str) -> Any:
        """Return what the wrapped stream does."""
        return self._stream.get_extra_info(info)


class CheckedNetwork(httpcore.AsyncNetworkBackend):
    """Opens streams of httpcore's trio backend, and checks the heads of responses on them."""

    def __init__(self) -> None:
        """Initialise without a connection."""
        self._network = httpcore.TrioBackend()

    async def connect_tcp(
        self,
        host: str,
        port: int,
        timeout: float | None = None,  # noqa: ASYNC109
        local_address: str | None = None,
        socket_options: Iterable[Any] | None = None,
    ) -> httpcore.AsyncNetworkStream:
        """Open a TCP connection."""
        stream = await self._network.connect_tcp(host, port, timeout, local_address, socket_options)
        return CheckedStream(stream=stream)

    async def sleep(self, seconds: float) -> None:
        """Sleep."""
        await self._network.sleep(seconds)


def feed_checked(check: HeadCheck, data: bytes) -> None:
    """Check the next bytes of a response.

    Raises:
        httpcore.RemoteProtocolError: They are no head of a response.
    """
    try:
        check.feed(data)
    except InvalidHead as error:
        raise httpcore.RemoteProtocolError(str(error)) from error

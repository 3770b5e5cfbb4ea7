"""Small HTTP/1.1 server and client for the stand-ins, on the standard library only."""

import asyncio
from collections.abc import Awaitable, Callable, Mapping
from typing import NamedTuple


class Request(NamedTuple):
    """A request that was received."""

    method: str
    target: str
    headers: Mapping[str, str]
    body: bytes


class Response(NamedTuple):
    """A response, and whether the connection ends with it."""

    status: int
    body: bytes
    headers: Mapping[str, str] = {}
    close: bool = False


Handler = Callable[[Request], Awaitable[Response | None]]
"""Answers a request; None closes the connection without an answer."""


async def serve_http(
    address: str,
    port: int,
    handler: Handler,
    writers: set[asyncio.StreamWriter] | None = None,
) -> asyncio.Server:
    """Listen, and answer the requests of each connection one after the other.

    The open connections are kept in ``writers``, if given.
    """
    open_writers = writers if writers is not None else set()

    async def connection(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        open_writers.add(writer)
        try:
            while (request := await read_request(reader)) is not None:
                response = await handler(request)
                if response is None:
                    return
                writer.write(encode_response(response))
                await writer.drain()
                if response.close:
                    return
        except (OSError, asyncio.IncompleteReadError):
            pass
        finally:
            open_writers.discard(writer)
            writer.close()

    return await asyncio.start_server(connection, address, port)


async def read_head(reader: asyncio.StreamReader) -> tuple[str, dict[str, str]] | None:
    """Read the first line and the headers; None at the end of the connection."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except asyncio.IncompleteReadError:
        return None
    first, *lines = head.decode("latin-1").split("\r\n")
    pairs = (line.partition(":") for line in lines if line)
    return first, {name.strip().lower(): value.strip() for name, _, value in pairs}


async def read_request(reader: asyncio.StreamReader) -> Request | None:
    """Read a request; None at the end of the connection."""
    head = await read_head(reader)
    if head is None:
        return None
    method, target, _ = head[0].split(" ")
    return Request(method, target, head[1], await _read_body(reader, head[1]))


async def _read_body(reader: asyncio.StreamReader, headers: Mapping[str, str]) -> bytes:
    if "chunked" in headers.get("transfer-encoding", ""):
        body = b""
        while size := int(await reader.readline(), 16):
            body += await reader.readexactly(size)
            await reader.readline()
        await reader.readline()
        return body
    return await reader.readexactly(int(headers.get("content-length", "0")))


def encode_response(response: Response) -> bytes:
    """Encode a response with its length."""
    headers = {"Content-Length": str(len(response.body)), **response.headers}
    if response.close:
        headers["Connection"] = "close"
    lines = [f"HTTP/1.1 {response.status} X", *(f"{k}: {v}" for k, v in headers.items()), "", ""]
    return "\r\n".join(lines).encode("latin-1") + response.body


def encode_request(method: str, target: str, headers: Mapping[str, str], body: bytes) -> bytes:
    """Encode a request, with its length if it has a body."""
    sent = dict(headers)
    if body or method != "GET":
        sent["Content-Length"] = str(len(body))
    lines = [f"{method} {target} HTTP/1.1", *(f"{k}: {v}" for k, v in sent.items()), "", ""]
    return "\r\n".join(lines).encode("latin-1") + body


async def read_response(reader: asyncio.StreamReader) -> Response | None:
    """Read a response with a length or in chunks; None if the connection ends before its end."""
    head = await read_head(reader)
    if head is None:
        return None
    status = int(head[0].split(" ")[1])
    try:
        return Response(status, await _read_body(reader, head[1]), head[1])
    except (asyncio.IncompleteReadError, OSError):
        return None


async def call(
    address: str,
    port: int,
    method: str,
    target: str,
    headers: Mapping[str, str] | None = None,
    body: bytes = b"",
    timeout_s: float = 1.0,
) -> Response | None:
    """Make one call on a new connection; None if no whole answer comes in time."""
    try:
        async with asyncio.timeout(timeout_s):
            reader, writer = await asyncio.open_connection(address, port)
            try:
                host = {"Host": f"{address}:{port}"} | dict(headers or {})
                writer.write(encode_request(method, target, host, body))
                return await read_response(reader)
            finally:
                writer.close()
    except (OSError, TimeoutError):
        return None

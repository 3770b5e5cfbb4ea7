"""A few parts of HTTP/1.1 for the stand-ins, on asyncio streams."""

import asyncio
from typing import NamedTuple

REASONS = {
    200: "OK",
    400: "Bad Request",
    404: "Not Found",
    409: "Conflict",
    410: "Gone",
    421: "Misdirected Request",
    429: "Too Many Requests",
    500: "Internal Server Error",
    503: "Service Unavailable",
}


class BadMessage(Exception):
    """What arrived is no HTTP message."""


class Head(NamedTuple):
    method: str
    target: str
    headers: list


class Answer(NamedTuple):
    status: int
    headers: list
    body: bytes
    complete: bool


def value(headers, name):
    """Return the first value of a header, given in lower case."""
    return next((text for key, text in headers if key == name), None)


async def read_lines(reader):
    """Return the lines of a head; None at the end of the connection."""
    try:
        data = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, OSError):
        return None
    except asyncio.LimitOverrunError as error:
        raise BadMessage("head too long") from error
    return data.decode("latin-1").split("\r\n")[:-2]


def parse_headers(lines):
    pairs = (line.partition(":") for line in lines)
    return [(name.strip().lower(), text.strip()) for name, _, text in pairs]


async def read_head(reader):
    """Read the head of a request; None at the end of the connection."""
    lines = await read_lines(reader)
    if lines is None:
        return None
    parts = lines[0].split(" ")
    if len(parts) != 3:
        raise BadMessage(lines[0])
    return Head(parts[0], parts[1], parse_headers(lines[1:]))


async def read_body(reader, head):
    if "chunked" in (value(head.headers, "transfer-encoding") or ""):
        return await read_chunks(reader)
    return await reader.readexactly(int(value(head.headers, "content-length") or 0))


async def read_chunks(reader):
    parts = []
    while True:
        size = int((await reader.readline()).split(b";")[0], 16)
        if size == 0:
            while (await reader.readline()).strip():
                pass
            return b"".join(parts)
        parts.append(await reader.readexactly(size))
        await reader.readexactly(2)


async def read_answer(reader, method="GET"):
    """Read an answer; None if the connection ends before its head."""
    while True:
        lines = await read_lines(reader)
        if lines is None:
            return None
        words = lines[0].split(" ")
        if not words[0].startswith("HTTP/1.") or len(words) < 2 or not words[1].isdigit():
            raise BadMessage(lines[0][:80])
        status, headers = int(words[1]), parse_headers(lines[1:])
        if status >= 200:
            break
    if method == "HEAD" or status in (204, 304):
        return Answer(status, headers, b"", True)
    try:
        if "chunked" in (value(headers, "transfer-encoding") or ""):
            return Answer(status, headers, await read_chunks(reader), True)
        length = value(headers, "content-length")
        if length is None:
            return Answer(status, headers, await reader.read(-1), True)
        return Answer(status, headers, await reader.readexactly(int(length)), True)
    except (asyncio.IncompleteReadError, OSError, ValueError):
        return Answer(status, headers, b"", False)


def response(status, headers, body):
    lines = [f"HTTP/1.1 {status} {REASONS.get(status, 'Status')}"]
    lines += [f"{name}: {text}" for name, text in headers]
    lines.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + body


def request(method, target, headers, body=b""):
    lines = [f"{method} {target} HTTP/1.1"]
    lines += [f"{name}: {text}" for name, text in headers]
    if body:
        lines.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + body

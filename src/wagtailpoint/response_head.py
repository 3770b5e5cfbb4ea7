"""Which bytes are the head of a response (RFC 9112), for all that read responses.

The parser behind this check joins a folded line to the field before it, and takes versions and
status codes that are none. What a faulty server sends would then be passed on as a response.
"""

import re
from collections.abc import Iterable
from typing import Final

_TOKEN: Final = rb"[!#$%&'*+.^_`|~0-9A-Za-z-]+"
_HEAD: Final = re.compile(
    rb"HTTP/1\.[0-9] (?P<status>[1-5][0-9]{2})(?: [^\r\n]*)?\r?\n"
    rb"(?:" + _TOKEN + rb":[^\r\n]*\r?\n)*\r?\n"
)
_CONTROLS: Final = re.compile(rb"[\x00-\x08\x0b\x0c\x0e-\x1f\x7f]")
_CONTENT_LENGTH: Final = re.compile(rb"\ncontent-length:", re.IGNORECASE)
_TRANSFER_ENCODING: Final = re.compile(rb"\ntransfer-encoding:", re.IGNORECASE)
_END: Final = re.compile(rb"\n\r?\n")

MAX_HEAD_BYTES: Final = 128 * 1024
_MAX_SHOWN_BYTES: Final = 80


class InvalidHead(Exception):
    """What arrived is no head of a response."""


class HeadCheck:
    """Checks the heads of the responses to one request, as their bytes arrive.

    A parser is given the same bytes afterwards. What follows the head of the final response is not
    looked at.
    """

    def __init__(self) -> None:
        """Initialise before the first byte of a response."""
        self._buffer = b""
        self._is_done = False

    def feed(self, data: bytes | bytearray) -> None:
        """Check the next bytes.

        Raises:
            InvalidHead: They are no head of a response, or it is too long.
        """
        if self._is_done:
            return
        buffer = self._buffer + data
        while (end := _END.search(buffer)) is not None:
            status = check_head(buffer[: end.end()])
            buffer = buffer[end.end() :]
            if status >= 200:
                self._is_done = True
                buffer = b""
        if len(buffer) > MAX_HEAD_BYTES:
            raise InvalidHead(f"head: given over {MAX_HEAD_BYTES} bytes without an end")
        self._buffer = buffer


def check_head(head: bytes) -> int:
    """Return the status of a response, given its head with the empty line at its end.

    Raises:
        InvalidHead: It is no head of a response, or does not say where the body ends.
    """
    found = _HEAD.fullmatch(head)
    if found is None or _CONTROLS.search(head):
        shown = head[:_MAX_SHOWN_BYTES]
        raise InvalidHead(f"given {shown!r}, expected a status line and fields of HTTP/1")
    if _CONTENT_LENGTH.search(head) and _TRANSFER_ENCODING.search(head):
        raise InvalidHead("given both Content-Length and Transfer-Encoding, expected one of them")
    return int(found["status"])


def has_delimited_body(method: str, status: int, headers: Iterable[tuple[bytes, bytes]]) -> bool:
    """Return whether a complete response body can be told from a broken connection."""
    if method == "HEAD" or status in (204, 304):
        return True
    names = {name.lower() for name, _ in headers}
    return b"content-length" in names or b"transfer-encoding" in names

"""Replies between instances that are too long for one message, and are fetched in parts.

A long message would delay all behind it on its link, and a request whose reply takes longer than
its time-out would be repeated from the beginning for ever. The peer that replies keeps the encoded
reply, compressed, for the peer that asks to fetch it part by part. What has arrived is kept when a
part is lost.
"""

import hashlib
import zlib
from collections import OrderedDict
from collections.abc import Callable
from typing import Final, NamedTuple

from wagtailpoint.ports.peers import register_message

ACCEPTS_PARTS: Final = 1 << 48
"""Set in the number of a request whose sender fetches replies in parts."""

MAX_INLINE_BYTES: Final = 32 * 1024
PART_BYTES: Final = 64 * 1024
PART_TIMEOUT_S: Final = 2.0
"""A part takes 0.1 s on an idle link of 5 Mbit/s."""

MAX_REPLY_BYTES: Final = 16 * 1024 * 1024
"""Maximum length of a decompressed reply."""

MAX_KEPT_BYTES: Final = 16 * 1024 * 1024
"""Maximum length of all compressed replies that are kept for others."""

KEPT_S: Final = 10.0
"""Time for which a reply is kept after its last part was asked for."""

MAX_FETCHED: Final = 4
"""Number of replies of which parts are kept."""

_COMPRESSION_LEVEL: Final = 1
_DIGEST_BYTES: Final = 16


class LargeReply(NamedTuple):
    """Stands for a reply that is to be fetched in parts.

    Attributes:
        kind: The kind of the reply.
        digest: Identifies its compressed form.
        size: The length of that form, in bytes.
    """

    kind: str
    digest: bytes
    size: int


class PartRequest(NamedTuple):
    """Asks for the part of a reply that begins at an offset of its compressed form."""

    digest: bytes
    offset: int


class ReplyPart(NamedTuple):
    """A part of a reply; without data if the reply is not kept any more."""

    data: bytes


register_message("large-reply", LargeReply)
register_message("reply-part-request", PartRequest)
register_message("reply-part", ReplyPart)


class _Kept(NamedTuple):
    data: bytes
    until: float


class KeptReplies:
    """The replies that others may fetch, for some time and up to a total length."""

    def __init__(self, *, now: Callable[[], float]) -> None:
        """Initialise without a reply.

        Args:
            now: Returns the current time in seconds.
        """
        self._now = now
        # The one that was asked for last is at the end.
        self._by_digest: OrderedDict[bytes, _Kept] = OrderedDict()
        self._total_bytes = 0

    @property
    def total_bytes(self) -> int:
        """The length of all replies that are kept."""
        return self._total_bytes

    def keep(self, kind: str, body: bytes) -> LargeReply:
        """Keep an encoded reply, and return what stands for it."""
        data = zlib.compress(body, _COMPRESSION_LEVEL)
        digest = _digest(data)
        self._keep(digest, data)
        return LargeReply(kind, digest, len(data))

    def part(self, request: PartRequest) -> ReplyPart:
        """Return the requested part."""
        kept = self._by_digest.get(request.digest)
        if kept is None or request.offset < 0:
            return ReplyPart(b"")
        self._keep(request.digest, kept.data)
        return ReplyPart(kept.data[request.offset : request.offset + PART_BYTES])

    def _keep(self, digest: bytes, data: bytes) -> None:
        """Keep a reply from now on, and discard those whose time is over or that are too many."""
        now = self._now()
        if digest not in self._by_digest:
            self._total_bytes += len(data)
        self._by_digest[digest] = _Kept(data, now + KEPT_S)
        self._by_digest.move_to_end(digest)
        while len(self._by_digest) > 1:
            oldest = next(iter(self._by_digest.values()))
            if oldest.until > now and self._total_bytes <= MAX_KEPT_BYTES:
                break
            self._by_digest.popitem(last=False)
            self._total_bytes -= len(oldest.data)


class FetchedParts:
    """What has arrived of the replies that were asked for last."""

    def __init__(self) -> None:
        """Initialise without any part."""
        self._by_digest: OrderedDict[bytes, bytearray] = OrderedDict()

    def received(self, reply: LargeReply) -> bytearray:
        """Return the bytes that have arrived of a reply, to which its next parts are added."""
        received = self._by_digest.setdefault(reply.digest, bytearray())
        self._by_digest.move_to_end(reply.digest)
        if len(self._by_digest) > MAX_FETCHED:
            self._by_digest.popitem(last=False)
        return received

    def discard(self, reply: LargeReply) -> None:
        """Forget the parts of a reply."""
        self._by_digest.pop(reply.digest, None)


def decode_reply(reply: LargeReply, data: bytes | bytearray) -> bytes | None:
    """Return the encoded reply; None if ``data`` is not its compressed form, or too long."""
    if _digest(data) != reply.digest:
        return None
    decompressor = zlib.decompressobj()
    try:
        body = decompressor.decompress(data, MAX_REPLY_BYTES)
    except zlib.error:
        return None
    return body if decompressor.eof else None


def _digest(data: bytes | bytearray) -> bytes:
    return hashlib.blake2b(data, digest_size=_DIGEST_BYTES).digest()

"""Replies between instances that are too long for one message, and are fetched in parts.

A long message would delay all behind it on its link, and a request whose reply takes longer than
its time-out would be repeated from the beginning for ever. The peer that replies keeps the encoded
reply, compressed, for the peer that asks to fetch it part by part. What has arrived is kept when a
part is lost.
"""

import hashlib
import zlib
from collections import OrderedDict
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


class KeptReplies:
    """The replies that others may fetch; the oldest ones are discarded beyond a total length."""

    def __init__(self) -> None:
        """Initialise without a reply."""
        self._by_digest: OrderedDict[bytes, bytes] = OrderedDict()
        self._total_bytes = 0

    def keep(self, kind: str, body: bytes) -> LargeReply:
        """Keep an encoded reply, and return what stands for it."""
        data = zlib.compress(body, _COMPRESSION_LEVEL)
        digest = _digest(data)
        if digest not in self._by_digest:
            self._total_bytes += len(data)
        self._by_digest[digest] = data
        self._by_digest.move_to_end(digest)
        while self._total_bytes > MAX_KEPT_BYTES and len(self._by_digest) > 1:
            self._total_bytes -= len(self._by_digest.popitem(last=False)[1])
        return LargeReply(kind, digest, len(data))

    def part(self, request: PartRequest) -> ReplyPart:
        """Return the requested part."""
        data = self._by_digest.get(request.digest, b"")
        if request.offset < 0:
            return ReplyPart(b"")
        return ReplyPart(data[request.offset : request.offset + PART_BYTES])


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

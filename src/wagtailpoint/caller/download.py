"""Large downloads, resumed at another entry after a failure."""

import re
from collections.abc import AsyncIterator, Awaitable, Callable

from wagtailpoint.caller.exchange import (
    BrokenReply,
    EntryAddress,
    Headers,
    OpenReply,
    Outgoing,
    Reply,
    find_header,
)
from wagtailpoint.errors import RequestUnanswered
from wagtailpoint.verdict import Verdict

Reopen = Callable[[Headers], Awaitable[tuple[OpenReply | Reply, EntryAddress]]]

_OK = 200
_PARTIAL = 206
_MAX_RESUMPTIONS_WITHOUT_PROGRESS = 3
_CONTENT_RANGE = re.compile(rb"bytes (\d+)-\d+/(?:\d+|\*)")


class Download:
    """A response that is read in chunks.

    After a failure, a GET with a strong validator is resumed at another entry from the first
    missing byte. Any other download raises an error, so that it never looks complete.
    """

    def __init__(self, *, outgoing: Outgoing, reopen: Reopen) -> None:
        self._outgoing = outgoing
        self._reopen = reopen
        self._reply: OpenReply | Reply | None = None
        self._entry: EntryAddress | None = None
        self._status = 0
        self._headers: Headers = ()
        self._received = 0

    @property
    def status(self) -> int:
        """HTTP status; 400 or more is a refusal, whose body is read in the same way."""
        return self._status

    @property
    def headers(self) -> Headers:
        """The headers of the first response."""
        return self._headers

    @property
    def entry(self) -> EntryAddress | None:
        """The entry that sends the current response."""
        return self._entry

    async def open(self) -> None:
        """Send the request and wait for the response's headers."""
        self._reply, self._entry = await self._reopen(())
        self._status = self._reply.status
        self._headers = self._reply.headers

    async def aclose(self) -> None:
        """Release the connection."""
        if isinstance(self._reply, OpenReply):
            await self._reply.aclose()

    async def chunks(self) -> AsyncIterator[bytes]:
        """Read the body to its end.

        Raises:
            RequestUnanswered: The download broke and can't be resumed.
        """
        without_progress = 0
        while True:
            assert self._reply is not None
            if isinstance(self._reply, Reply):
                yield self._reply.body
                return
            try:
                async for chunk in self._reply.chunks():
                    self._received += len(chunk)
                    without_progress = 0
                    yield chunk
                return
            except BrokenReply as broken:
                reason = str(broken)
            without_progress += 1
            if without_progress > _MAX_RESUMPTIONS_WITHOUT_PROGRESS:
                raise _cannot_resume(reason, "it failed repeatedly without any progress")
            await self._resume(reason)

    async def _resume(self, reason: str) -> None:
        validator = find_header(self._headers, b"etag")
        if self._outgoing.method != "GET" or self._status != _OK:
            raise _cannot_resume(reason, "only a GET with status 200 can be resumed")
        if validator is None or validator.startswith(b"W/"):
            raise _cannot_resume(reason, "the response had no strong ETag")
        await self.aclose()
        range_headers = [(b"range", b"bytes=%d-" % self._received), (b"if-range", validator)]
        self._reply, self._entry = await self._reopen(range_headers)
        if self._reply.status != _PARTIAL or not self._matches_missing_range(self._reply.headers):
            raise _cannot_resume(
                reason, f"the answer with status {self._reply.status} is not the missing range"
            )

    def _matches_missing_range(self, header_fields: Headers) -> bool:
        match = _CONTENT_RANGE.fullmatch(find_header(header_fields, b"content-range") or b"")
        return match is not None and int(match[1]) == self._received


def _cannot_resume(reason: str, detail: str) -> RequestUnanswered:
    return RequestUnanswered(verdict=Verdict.RAN, reason=f"download broke ({reason}); {detail}")

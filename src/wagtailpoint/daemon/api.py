"""HTTP API of an instance: lookup for callers; status, metrics and timeline for operators."""

import math
from collections.abc import Awaitable, Callable, Mapping
from http import HTTPStatus
from typing import Any, NamedTuple
from urllib.parse import parse_qs

import msgspec

from wagtailpoint import headers as names
from wagtailpoint.adapters.http_protocol import QuickReply
from wagtailpoint.admission.refusal import Refusal, RefusalCode, refuse
from wagtailpoint.entry.plan import BAD_REQUEST_RETRY_AFTER_S
from wagtailpoint.entry.request import CallerRequest, ReplySink
from wagtailpoint.ports.backend import Headers
from wagtailpoint.verdict import Verdict

PREFIX = "/v1/"
JSON = b"application/json"
READ_METHODS = ("GET", "HEAD")

Query = Mapping[str, str]


class Page(NamedTuple):
    """The response of one API page.

    Attributes:
        status: HTTP status.
        value: Body, encoded as JSON; bytes are sent unchanged.
        retry_after_s: Seconds after which a refused caller may retry; None to give no hint.
        content_type: Media type of the body.
    """

    status: int
    value: Any
    retry_after_s: float | None = None
    content_type: bytes = JSON


class _Encoded(NamedTuple):
    """A page encoded for sending."""

    status: int
    headers: Headers
    verdict: Verdict
    body: bytes


PageHandler = Callable[[Query], Awaitable[Page]]
QuickPage = Callable[[Query], Page]


def refusal_page(refusal: Refusal) -> Page:
    """Return the page that reports a refusal."""
    return Page(refusal.status, msgspec.Raw(refusal.body()), refusal.retry_after_s)


def bad_query_page(reason: str) -> Page:
    """Return the page that reports an invalid method, path or query."""
    return refusal_page(
        refuse(HTTPStatus.BAD_REQUEST, RefusalCode.BAD_REQUEST, reason, BAD_REQUEST_RETRY_AFTER_S)
    )


class ApiRouter:
    """Routes requests under ``/v1/`` to their page handlers."""

    def __init__(
        self, *, pages: Mapping[str, PageHandler], quick: Mapping[str, QuickPage] | None = None
    ) -> None:
        """Initialise the router.

        Args:
            pages: Asynchronous handlers by page name, for example ``status``.
            quick: Synchronous handlers by page name.
        """
        self._pages = pages
        self._quick = {f"{PREFIX}{name}".encode(): page for name, page in (quick or {}).items()}

    def answer(self, target: bytes, headers: Headers) -> QuickReply | None:
        """Answer a GET synchronously; None if the path has no synchronous handler."""
        path, _, query = target.partition(b"?")
        page = self._quick.get(path)
        if page is None:
            return None
        value = _encode(page(_parse_query(query.decode("latin-1"))))
        sent = [*value.headers, (names.VERDICT, value.verdict.value.encode())]
        sent += [pair for pair in headers if pair[0] == names.REQUEST_ID][:1]
        return QuickReply(value.status, sent, value.body)

    async def serve(self, request: CallerRequest, sink: ReplySink) -> None:
        """Answer a request to any page, or refuse it if the page or method is unknown."""
        path, _, query = request.target.partition("?")
        name = path.removeprefix(PREFIX)
        handler = self._pages.get(name)
        quick = self._quick.get(path.encode())
        if request.method not in READ_METHODS or (handler is None and quick is None):
            known = sorted([*self._pages, *(key.decode()[len(PREFIX) :] for key in self._quick)])
            expected = ", ".join(f"GET {PREFIX}{page_name}" for page_name in known)
            page = bad_query_page(f"given {request.method} {path[:80]}, expected one of {expected}")
        elif handler is not None:
            page = await handler(_parse_query(query))
        elif quick is not None:
            page = quick(_parse_query(query))
        encoded = _encode(page)
        await sink.begin(status=encoded.status, headers=encoded.headers, verdict=encoded.verdict)
        await sink.send(encoded.body)


def _parse_query(text: str) -> Query:
    return {name: values[-1] for name, values in parse_qs(text).items()}


def _encode(page: Page) -> _Encoded:
    body = page.value if isinstance(page.value, bytes) else msgspec.json.encode(page.value)
    headers = [
        (b"content-type", page.content_type),
        (b"content-length", str(len(body)).encode()),
    ]
    if page.retry_after_s is not None:
        headers.append((names.RETRY_AFTER, str(math.ceil(page.retry_after_s)).encode()))
    verdict = Verdict.RAN if page.status < HTTPStatus.BAD_REQUEST else Verdict.NOT_RUN
    return _Encoded(page.status, headers, verdict, body)

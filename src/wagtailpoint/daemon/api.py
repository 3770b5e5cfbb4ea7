"""The instance's own pages: lookup for callers; status, metrics and time line for operators."""

from collections.abc import Awaitable, Callable, Mapping
from http import HTTPStatus
from typing import Any, NamedTuple
from urllib.parse import parse_qs, urlsplit

import msgspec

from wagtailpoint.admission.refusal import Refusal, RefusalCode
from wagtailpoint.entry.plan import MISTAKE_RETRY_AFTER_S, refuse
from wagtailpoint.entry.request import CallerRequest, ReplySink
from wagtailpoint.verdict import Verdict

PREFIX = "/v1/"

Query = Mapping[str, str]


class Page(NamedTuple):
    """The answer of one of the instance's own pages.

    Attributes:
        status: HTTP status.
        value: Is sent as JSON.
        retry_after_s: When to come back after a refusal, in seconds.
    """

    status: int
    value: Any
    retry_after_s: float | None = None


PageHandler = Callable[[Query], Awaitable[Page]]


def refusal_page(refusal: Refusal) -> Page:
    """A refusal as a page."""
    return Page(refusal.status, msgspec.Raw(refusal.body()), refusal.retry_after_s)


def bad_query(reason: str) -> Page:
    """What a page answers to a wrong query."""
    return refusal_page(
        refuse(HTTPStatus.BAD_REQUEST, RefusalCode.BAD_REQUEST, reason, MISTAKE_RETRY_AFTER_S)
    )


class OwnPages:
    """Serves everything under ``/v1/``."""

    def __init__(self, *, pages: Mapping[str, PageHandler]) -> None:
        """Make the pages.

        Args:
            pages: By name, for example ``lookup``.
        """
        self._pages = pages

    async def serve(self, request: CallerRequest, sink: ReplySink) -> None:
        """Answer one request."""
        parts = urlsplit(request.target)
        handler = self._pages.get(parts.path.removeprefix(PREFIX))
        if handler is None or request.method != "GET":
            names = ", ".join(f"GET {PREFIX}{name}" for name in sorted(self._pages))
            page = bad_query(f"given {request.method} {parts.path[:80]}, expected one of {names}")
        else:
            query = {name: values[-1] for name, values in parse_qs(parts.query).items()}
            page = await handler(query)
        await _send_page(page, sink)


async def _send_page(page: Page, sink: ReplySink) -> None:
    body = msgspec.json.encode(page.value)
    headers = [
        (b"content-type", b"application/json"),
        (b"content-length", str(len(body)).encode()),
    ]
    if page.retry_after_s is not None:
        headers.append((b"retry-after", str(max(1, round(page.retry_after_s))).encode()))
    verdict = Verdict.RAN if page.status < HTTPStatus.BAD_REQUEST else Verdict.NOT_RUN
    await sink.begin(status=page.status, headers=headers, verdict=verdict)
    await sink.send(body)

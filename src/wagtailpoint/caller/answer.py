"""The answer to a caller's request, and the parsing of its verdict and refusal code."""

from typing import Any, NamedTuple

from wagtailpoint import headers
from wagtailpoint.caller.exchange import EntryAddress, Headers, Reply, find_header
from wagtailpoint.untrusted_input import decode_json, parse_count
from wagtailpoint.verdict import Verdict


class Answer(NamedTuple):
    """A complete answer to a request.

    Attributes:
        status: HTTP status; a refusal has 400 or more.
        headers: All response headers.
        body: The whole body.
        verdict: Whether the request ran.
        entry: The entry that answered.
    """

    status: int
    headers: Headers
    body: bytes
    verdict: Verdict
    entry: EntryAddress

    @property
    def code(self) -> str | None:
        """The refusal's code; None if the answer is not a refusal."""
        return refusal_code(self.status, self.body)


def make_answer(reply: Reply, entry: EntryAddress) -> Answer:
    """Build the answer from the reply of an entry."""
    return Answer(reply.status, reply.headers, reply.body, read_verdict(reply.headers), entry)


def read_verdict(header_fields: Headers) -> Verdict:
    """Return the verdict in the headers; without a valid one the request may have run."""
    value = find_header(header_fields, headers.VERDICT) or b""
    try:
        return Verdict(value.decode("ascii", "replace"))
    except ValueError:
        return Verdict.MAY_HAVE_RUN


def read_retry_after_s(header_fields: Headers) -> float:
    """Return the value of ``Retry-After`` in seconds; 0 if it is absent or a date."""
    value = find_header(header_fields, headers.RETRY_AFTER) or b""
    return float(parse_count(value) or 0)


def refusal_code(status: int, body: bytes) -> str | None:
    """Return the code in a refusal's JSON body; None if the body has none."""
    if status < 400:
        return None
    decoded = decode_json(body, Any).unwrap_or(None)
    code = decoded.get("code") if isinstance(decoded, dict) else None
    return code if isinstance(code, str) else None


def with_verdict(reply: Reply, verdict: Verdict) -> Reply:
    """Return the reply with its verdict replaced."""
    if read_verdict(reply.headers) is verdict:
        return reply
    others = [(name, value) for name, value in reply.headers if name.lower() != headers.VERDICT]
    return reply._replace(headers=[*others, (headers.VERDICT, verdict.value.encode())])

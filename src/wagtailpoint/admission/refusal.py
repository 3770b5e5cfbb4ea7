"""Refusals: responses to requests that are not forwarded or whose outcome is unknown."""

import math
from enum import Enum
from http import HTTPStatus
from typing import NamedTuple

import msgspec

from wagtailpoint import headers
from wagtailpoint.verdict import Verdict


class RefusalCode(Enum):
    """Reason for a refusal; part of the caller interface."""

    BAD_REQUEST = "bad-request"
    BODY_TOO_LARGE = "body-too-large"
    BODY_TOO_SLOW = "body-too-slow"
    HEADERS_TOO_SLOW = "headers-too-slow"
    CONNECTIONS_FULL = "connections-full"
    INTERNAL_ERROR = "internal-error"
    UNKNOWN_WORKSPACE = "unknown-workspace"
    NO_ROUTE = "no-route"
    NOT_READY = "not-ready"
    LEAVING = "leaving"
    WORKSPACE_LIMIT = "workspace-limit"
    REGION_LIMIT = "region-limit"
    MOVE_CAP = "move-cap"
    NO_SLOT = "no-slot"
    DEADLINE_TOO_SHORT = "deadline-too-short"
    DEADLINE_PASSED = "deadline-passed"
    NO_BACKEND_SERVER = "no-backend-server"
    BACKEND_FAILED = "backend-failed"
    QUARANTINED = "quarantined"
    BAD_BINDING = "bad-binding"
    STALE_EPOCH = "stale-epoch"
    OTHER_INCARNATION = "other-incarnation"
    KEY_REUSED = "key-reused"
    KEY_REFUSED = "key-refused"
    KEY_MEMORY_FULL = "key-memory-full"
    KEY_CLAIMED_ELSEWHERE = "key-claimed-elsewhere"
    OUTCOME_UNKNOWN = "outcome-unknown"
    ANSWER_NOT_KEPT = "answer-not-kept"
    PLATFORM_UNAVAILABLE = "platform-unavailable"


class RefusalBody(NamedTuple):
    """The JSON body of a refusal."""

    code: str
    reason: str
    verdict: str


class Refusal(NamedTuple):
    """A refusal of a request.

    Attributes:
        status: HTTP status.
        code: Machine-readable reason.
        reason: Human-readable reason: what was given, what was expected and how to correct it.
        verdict: Whether the request may have run.
        retry_after_s: Delay in seconds after which the caller may retry.
    """

    status: HTTPStatus
    code: RefusalCode
    reason: str
    verdict: Verdict
    retry_after_s: float

    def body(self) -> bytes:
        """Encode the JSON body."""
        fields = RefusalBody(self.code.value, self.reason, self.verdict.value)
        return msgspec.json.encode(fields._asdict())

    def headers(self) -> list[tuple[bytes, bytes]]:
        """Return the headers of the refusal, except for the content length."""
        # Retry-After is in whole seconds; rounded down, callers would retry too early.
        retry_after = str(math.ceil(self.retry_after_s)).encode()
        return [
            (b"content-type", b"application/json"),
            (headers.VERDICT, self.verdict.value.encode()),
            (headers.RETRY_AFTER, retry_after),
        ]


def refuse(status: HTTPStatus, code: RefusalCode, reason: str, retry_after_s: float) -> Refusal:
    """Return a refusal of a request that certainly did not run."""
    return Refusal(status, code, reason, Verdict.NOT_RUN, retry_after_s)

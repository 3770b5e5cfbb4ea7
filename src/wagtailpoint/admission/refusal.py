"""A refusal: what the caller is told when its request is not forwarded, or its outcome is lost."""

import math
from enum import Enum
from http import HTTPStatus
from typing import NamedTuple

import msgspec

from wagtailpoint import headers
from wagtailpoint.verdict import Verdict


class RefusalCode(Enum):
    """Why a request was refused; part of the caller interface."""

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
    """A refusal, sent at once when it is decided.

    Attributes:
        status: HTTP status.
        code: Why, for programs.
        reason: Why, for people: what was given, what was expected, how to mend it.
        verdict: Whether the request may have run.
        retry_after_s: When to come back, in seconds.
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
        """Return the headers that belong to every refusal, without the body's length."""
        # Retry-After has whole seconds; rounding down would bring callers back too early.
        retry_after = str(math.ceil(self.retry_after_s)).encode()
        return [
            (b"content-type", b"application/json"),
            (headers.VERDICT, self.verdict.value.encode()),
            (headers.RETRY_AFTER, retry_after),
        ]


def refuse(status: HTTPStatus, code: RefusalCode, reason: str, retry_after_s: float) -> Refusal:
    """A refusal of a request that certainly did not run."""
    return Refusal(status, code, reason, Verdict.NOT_RUN, retry_after_s)

"""The refusals of requests that were not sent to any backend server."""

from http import HTTPStatus

from wagtailpoint.admission.refusal import Refusal, RefusalCode, refuse
from wagtailpoint.entry.plan import BAD_REQUEST_RETRY_AFTER_S

NO_CONFIG_RETRY_AFTER_S = 1.0
SLOW_RETRY_AFTER_S = 1.0
CLAIM_RETRY_AFTER_S = 2.0


def not_ready() -> Refusal:
    """The instance has no configuration yet."""
    return refuse(
        HTTPStatus.SERVICE_UNAVAILABLE,
        RefusalCode.NOT_READY,
        "this instance has no configuration yet; use another entry",
        NO_CONFIG_RETRY_AFTER_S,
    )


def too_large(max_bytes: int) -> Refusal:
    """The body is longer than this instance takes."""
    return refuse(
        HTTPStatus.REQUEST_ENTITY_TOO_LARGE,
        RefusalCode.BODY_TOO_LARGE,
        f"given a body over {max_bytes} bytes, the most that this entry takes",
        BAD_REQUEST_RETRY_AFTER_S,
    )


def claim_timed_out() -> Refusal:
    """The platform did not answer the claim of a key in time."""
    return refuse(
        HTTPStatus.SERVICE_UNAVAILABLE,
        RefusalCode.PLATFORM_UNAVAILABLE,
        "the key has no binding, and the platform did not answer its claim within the deadline; "
        "send the binding of a lookup's entry with the key",
        CLAIM_RETRY_AFTER_S,
    )


def body_too_late() -> Refusal:
    """The deadline passed before the body was whole."""
    return refuse(
        HTTPStatus.REQUEST_TIMEOUT,
        RefusalCode.DEADLINE_PASSED,
        "the request's body did not arrive within the deadline",
        SLOW_RETRY_AFTER_S,
    )


def body_too_slow() -> Refusal:
    """The caller sends its body too slowly."""
    return refuse(
        HTTPStatus.REQUEST_TIMEOUT,
        RefusalCode.BODY_TOO_SLOW,
        "the request's body arrives too slowly",
        SLOW_RETRY_AFTER_S,
    )

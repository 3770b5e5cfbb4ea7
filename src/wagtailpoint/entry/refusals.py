"""Refusals of requests that were not sent to any backend server."""

from http import HTTPStatus

from wagtailpoint.admission.refusal import Refusal, RefusalCode, refuse
from wagtailpoint.entry.plan import BAD_REQUEST_RETRY_AFTER_S

NO_CONFIG_RETRY_AFTER_S = 1.0
SLOW_RETRY_AFTER_S = 1.0
CLAIM_RETRY_AFTER_S = 2.0


def not_ready() -> Refusal:
    """Return the refusal used before the instance has a configuration."""
    return refuse(
        HTTPStatus.SERVICE_UNAVAILABLE,
        RefusalCode.NOT_READY,
        "this instance has no configuration yet; use another entry",
        NO_CONFIG_RETRY_AFTER_S,
    )


def too_large(max_bytes: int) -> Refusal:
    """Return the refusal of a body over the size limit of this instance."""
    return refuse(
        HTTPStatus.REQUEST_ENTITY_TOO_LARGE,
        RefusalCode.BODY_TOO_LARGE,
        f"given a request body of more than {max_bytes} bytes, the maximum of this entry",
        BAD_REQUEST_RETRY_AFTER_S,
    )


def claim_timed_out() -> Refusal:
    """Return the refusal used when the platform did not answer the claim of a key in time."""
    return refuse(
        HTTPStatus.SERVICE_UNAVAILABLE,
        RefusalCode.PLATFORM_UNAVAILABLE,
        "the key has no binding, and the platform did not answer its claim within the deadline; "
        "send the binding of a lookup's entry with the key",
        CLAIM_RETRY_AFTER_S,
    )


def body_too_late() -> Refusal:
    """Return the refusal used when the deadline passed before the body was complete."""
    return refuse(
        HTTPStatus.REQUEST_TIMEOUT,
        RefusalCode.DEADLINE_PASSED,
        "the request's body did not arrive within the deadline",
        SLOW_RETRY_AFTER_S,
    )


def body_too_slow() -> Refusal:
    """Return the refusal of a caller that sends its body too slowly."""
    return refuse(
        HTTPStatus.REQUEST_TIMEOUT,
        RefusalCode.BODY_TOO_SLOW,
        "the request's body arrives too slowly",
        SLOW_RETRY_AFTER_S,
    )

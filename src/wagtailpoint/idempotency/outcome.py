"""Outcomes of keyed requests, and the replies to later copies of them."""

from functools import singledispatch
from http import HTTPStatus
from typing import NamedTuple

from wagtailpoint.admission.refusal import Refusal, RefusalCode
from wagtailpoint.ports.backend import Headers
from wagtailpoint.verdict import Verdict

DUPLICATE_RETRY_AFTER_S = 1.0
"""Hint to the caller of a copy that must not run when to retry, in seconds."""


class Answered(NamedTuple):
    """The outcome of a request that the backend server answered.

    Attributes:
        status: The HTTP status.
        headers: The end-to-end headers.
        body: The whole body, or None if it is too large to be kept.
    """

    status: int
    headers: Headers
    body: bytes | None


class MayHaveRun(NamedTuple):
    """The outcome of a request that was sent without a complete answer."""

    reason: str


class NotRun(NamedTuple):
    """The outcome of a request that certainly did not run, with the refusal sent to its caller."""

    refusal: Refusal


Outcome = Answered | MayHaveRun | NotRun


@singledispatch
def replay_outcome(outcome: Outcome) -> Answered | Refusal:
    """Return the reply to a copy of a request that has finished with ``outcome``."""
    raise TypeError(f"given outcome {outcome!r}, expected Answered, MayHaveRun or NotRun")


@replay_outcome.register
def _(outcome: Answered) -> Answered | Refusal:
    if outcome.body is not None:
        return outcome
    return Refusal(
        HTTPStatus.CONFLICT,
        RefusalCode.ANSWER_NOT_KEPT,
        f"the request ran and was answered with status {outcome.status}; its answer is not kept "
        "here; read the outcome from the service",
        Verdict.RAN,
        DUPLICATE_RETRY_AFTER_S,
    )


@replay_outcome.register
def _(outcome: MayHaveRun) -> Answered | Refusal:
    return Refusal(
        HTTPStatus.CONFLICT,
        RefusalCode.OUTCOME_UNKNOWN,
        f"the request may have run ({outcome.reason}); read the outcome from the service",
        Verdict.MAY_HAVE_RUN,
        DUPLICATE_RETRY_AFTER_S,
    )


@replay_outcome.register
def _(outcome: NotRun) -> Answered | Refusal:
    refused = outcome.refusal
    return refused._replace(
        code=RefusalCode.KEY_REFUSED,
        reason=f"this attempt was refused before ({refused.code.value}) and never runs; "
        "increment the attempt of the binding to retry",
    )

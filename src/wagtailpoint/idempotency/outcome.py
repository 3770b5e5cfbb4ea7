"""How a keyed request ended, and what a repeat of its key is told."""

from functools import singledispatch
from http import HTTPStatus
from typing import NamedTuple

from wagtailpoint.admission.refusal import Refusal, RefusalCode
from wagtailpoint.ports.backend import Headers
from wagtailpoint.verdict import Verdict

DUPLICATE_RETRY_AFTER_S = 1.0
"""When the caller of a copy that must not run may ask again, in seconds."""


class Answered(NamedTuple):
    """The backend server answered.

    Attributes:
        status: HTTP status.
        headers: End-to-end headers.
        body: The whole body, or None if it is too large to be kept.
    """

    status: int
    headers: Headers
    body: bytes | None


class MayHaveRun(NamedTuple):
    """The request left, and no whole answer came back."""

    reason: str


class NotRun(NamedTuple):
    """The request certainly did not run; the refusal is what its caller was told."""

    refusal: Refusal


Outcome = Answered | MayHaveRun | NotRun


@singledispatch
def replay_outcome(outcome: Outcome) -> Answered | Refusal:
    """Return what a repeat of a finished key is answered."""
    raise TypeError(f"no rule for a repeat of {outcome!r}")


@replay_outcome.register
def _(outcome: Answered) -> Answered | Refusal:
    if outcome.body is not None:
        return outcome
    return Refusal(
        HTTPStatus.CONFLICT,
        RefusalCode.ANSWER_NOT_KEPT,
        f"the request ran and was answered with status {outcome.status}; its answer is no longer "
        "kept here; read the outcome from the service",
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
        "raise the binding's attempt to try again",
    )

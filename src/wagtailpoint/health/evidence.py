"""What one exchange tells about a backend server's health."""

from enum import Enum
from functools import singledispatch

from wagtailpoint.ports.backend import BackendFailure, BackendResponse, FailureReason

PATIENCE_S = 1.0
"""A timeout after so long counts in full, in seconds; after less, in proportion.

Otherwise a caller that allows a few milliseconds would have healthy backend servers ejected.
"""

FIRST_SERVER_ERROR = 500


class Outcome(Enum):
    """How an exchange ended; the value is its weight as evidence of a fault."""

    ANSWERED = ("answered", 0.0)
    SERVER_ERROR = ("server-error", 0.5)
    SHED = ("shed", 0.0)
    DRAINING = ("draining", 0.0)
    CONNECT_FAILED = ("connect-failed", 2.0)
    RESET = ("reset", 1.0)
    TIMEOUT = ("timeout", 1.0)
    CROSSED = ("crossed", 1.0)
    # A failed probe counts little: health endpoints mislead, own requests don't.
    PROBE_FAILED = ("probe-failed", 0.25)
    UNKNOWN = ("unknown", 0.0)

    @property
    def weight(self) -> float:
        """Its weight as evidence of a fault; 0 if it is none."""
        return self.value[1]


_OF_REASON = {
    FailureReason.CONNECT_REFUSED: Outcome.CONNECT_FAILED,
    FailureReason.CONNECT_FAILED: Outcome.CONNECT_FAILED,
    FailureReason.CONNECT_TIMEOUT: Outcome.TIMEOUT,
    FailureReason.RESET: Outcome.RESET,
    FailureReason.TIMEOUT: Outcome.TIMEOUT,
    FailureReason.CROSSED_ANSWER: Outcome.CROSSED,
    FailureReason.BAD_RESPONSE: Outcome.RESET,
}


@singledispatch
def outcome_of(answered: object) -> Outcome:
    """The outcome of an exchange, from its response or its failure."""
    raise TypeError(f"given {type(answered)}, expected a BackendResponse or a BackendFailure")


@outcome_of.register
def _(answered: BackendResponse) -> Outcome:
    failed = answered.status >= FIRST_SERVER_ERROR
    return Outcome.SERVER_ERROR if failed else Outcome.ANSWERED


@outcome_of.register
def _(answered: BackendFailure) -> Outcome:
    if answered.draining:
        return Outcome.DRAINING
    if answered.shed:
        return Outcome.SHED
    known = answered.reason in set(FailureReason)
    reason = FailureReason(answered.reason) if known else None
    return Outcome.UNKNOWN if reason is None else _OF_REASON.get(reason, Outcome.UNKNOWN)

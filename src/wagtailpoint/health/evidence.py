"""Outcomes of exchanges as evidence of the health of a backend server."""

from enum import Enum
from functools import singledispatch

from wagtailpoint.ports.backend import BackendFailure, BackendResponse, FailureReason

FULL_WEIGHT_TIMEOUT_S = 1.0
"""A timeout after this time or longer has full weight; a shorter one counts in proportion.

Otherwise a caller that allows only a few milliseconds could have healthy backend servers ejected.
"""

MIN_SERVER_ERROR_STATUS = 500


class Outcome(Enum):
    """How an exchange ended; the value holds its name and its weight as evidence of a fault."""

    ANSWERED = ("answered", 0.0)
    SERVER_ERROR = ("server-error", 0.5)
    SHED = ("shed", 0.0)
    DRAINING = ("draining", 0.0)
    CONNECT_FAILED = ("connect-failed", 2.0)
    RESET = ("reset", 1.0)
    TIMEOUT = ("timeout", 1.0)
    CROSSED = ("crossed", 1.0)
    # A failed probe has little weight: health endpoints are less reliable than real requests.
    PROBE_FAILED = ("probe-failed", 0.25)
    UNKNOWN = ("unknown", 0.0)

    @property
    def weight(self) -> float:
        """Weight as evidence of a fault; 0 if it is no evidence."""
        return self.value[1]


_OUTCOME_BY_REASON = {
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
    """Return the outcome of an exchange, given its response or its failure."""
    raise TypeError(f"expected a BackendResponse or a BackendFailure, got {type(answered)}")


@outcome_of.register
def _(answered: BackendResponse) -> Outcome:
    failed = answered.status >= MIN_SERVER_ERROR_STATUS
    return Outcome.SERVER_ERROR if failed else Outcome.ANSWERED


@outcome_of.register
def _(answered: BackendFailure) -> Outcome:
    if answered.draining:
        return Outcome.DRAINING
    if answered.shed:
        return Outcome.SHED
    known = answered.reason in set(FailureReason)
    reason = FailureReason(answered.reason) if known else None
    return Outcome.UNKNOWN if reason is None else _OUTCOME_BY_REASON.get(reason, Outcome.UNKNOWN)

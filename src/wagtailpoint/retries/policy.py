"""Decision on a retry, and the order of candidates for it."""

from collections.abc import Sequence
from typing import NamedTuple, Protocol, TypeVar

from wagtailpoint.retries.budget import RetryBudget
from wagtailpoint.verdict import Verdict

MAX_ATTEMPTS = 3
MIN_REMAINING_S = 0.005


class RetryDecision(NamedTuple):
    """The decision on a retry; the reason is one word for logs and metrics."""

    allowed: bool
    reason: str


def decide_retry(
    *,
    idempotent: bool,
    verdict: Verdict,
    response_started: bool,
    attempts: int,
    remaining_s: float,
    budget: RetryBudget,
) -> RetryDecision:
    """Decide on a retry, and take it from the budget if it is allowed.

    Args:
        idempotent: Whether the request may run twice.
        verdict: The verdict of the failed attempt.
        response_started: Whether a byte of the response was sent to the caller.
        attempts: The number of attempts so far.
        remaining_s: The time until the caller's deadline, in seconds.
        budget: The retry budget of the service.
    """
    if response_started:
        return RetryDecision(False, "response-started")
    if verdict is Verdict.RAN:
        return RetryDecision(False, "ran")
    if verdict is Verdict.MAY_HAVE_RUN and not idempotent:
        return RetryDecision(False, "may-have-run")
    if attempts >= MAX_ATTEMPTS:
        return RetryDecision(False, "most-attempts")
    if remaining_s < MIN_REMAINING_S:
        return RetryDecision(False, "deadline")
    if not budget.take():
        return RetryDecision(False, "budget")
    return RetryDecision(True, "retry")


class Placed(Protocol):
    """An object with a failure domain."""

    @property
    def failure_domain(self) -> str:
        """The failure domain where it runs."""
        ...


PlacedT = TypeVar("PlacedT", bound=Placed)


def order_for_retry(candidates: Sequence[PlacedT], tried: Sequence[PlacedT]) -> list[PlacedT]:
    """Return the untried candidates, those in untried failure domains first.

    The fault behind a failed attempt often affects its whole failure domain. The order is otherwise
    preserved.
    """
    failed = {candidate.failure_domain for candidate in tried}
    fresh = [candidate for candidate in candidates if candidate not in tried]
    return sorted(fresh, key=lambda candidate: candidate.failure_domain in failed)

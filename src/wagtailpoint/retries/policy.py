"""When a request may be sent again, and where to."""

from collections.abc import Sequence
from typing import NamedTuple, Protocol, TypeVar

from wagtailpoint.retries.budget import RetryBudget
from wagtailpoint.verdict import Verdict

MAX_ATTEMPTS = 3
MIN_REMAINING_S = 0.005


class RetryDecision(NamedTuple):
    """Whether to send again; the reason is one word for logs and metrics."""

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
    """Decide on a retry; an allowed one is taken out of the budget.

    Args:
        idempotent: The request may run twice.
        verdict: Of the attempt that failed.
        response_started: A byte of the response has gone to the caller.
        attempts: Attempts made so far.
        remaining_s: Seconds left until the caller's deadline.
        budget: The service's.
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
    """Something in a failure domain."""

    @property
    def failure_domain(self) -> str:
        """Where it runs."""
        ...


PlacedT = TypeVar("PlacedT", bound=Placed)


def order_for_retry(candidates: Sequence[PlacedT], tried: Sequence[PlacedT]) -> list[PlacedT]:
    """Return the candidates not yet tried, those in untried failure domains first.

    What made the first attempt fail often struck its whole failure domain. The order is otherwise
    kept.
    """
    failed = {candidate.failure_domain for candidate in tried}
    fresh = [candidate for candidate in candidates if candidate not in tried]
    return sorted(fresh, key=lambda candidate: candidate.failure_domain in failed)

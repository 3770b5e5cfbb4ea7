"""The retry budget that all instances share; each spends its share without communication."""

from collections.abc import Callable
from typing import NamedTuple

SAFETY_FRACTION = 0.8
"""Fraction of the budget that is spent, since there may be more instances than are known."""


class RetryBound(NamedTuple):
    """The bound on retries of all instances together.

    Attributes:
        ratio: Retries allowed per request, over a window.
        slack: Retries allowed in a window in addition to ``ratio``.
    """

    ratio: float
    slack: float


class SharedRetryBudget:
    """Limits the sends beyond the first of each request, for each service.

    Over any window, the deployment allows a fraction of the requests and some slack. Each request
    of this instance adds the allowed fraction of a token. The instance's share of the slack is
    replenished only by requests.
    """

    def __init__(self, *, bound: Callable[[], RetryBound], divisor: Callable[[], float]) -> None:
        """Initialise the budget with half of this instance's share of the slack.

        It starts with half because a process that is killed and restarted would otherwise spend its
        full share twice.

        Args:
            bound: Returns the current bound of all instances together.
            divisor: Returns the number by which the slack is divided to get this instance's share;
                at least 1.
        """
        self._bound = bound
        self._divisor = divisor
        self._tokens: dict[str, float] = {}

    def record_request(self, service: str) -> None:
        """Record a request for a service, which adds to its budget."""
        earned = SAFETY_FRACTION * self._bound().ratio
        max_tokens = self._max_tokens()
        tokens = self._tokens.get(service, max_tokens / 2)
        self._tokens[service] = min(max_tokens, tokens + earned)

    def take(self, service: str) -> bool:
        """Spend one retry; return False if none is available."""
        tokens = self._tokens_of(service)
        if tokens < 1.0:
            return False
        self._tokens[service] = tokens - 1.0
        return True

    def available(self, service: str) -> float:
        """Return the number of retries available for a service."""
        return self._tokens_of(service)

    def _tokens_of(self, service: str) -> float:
        tokens = self._tokens.get(service)
        return self._max_tokens() / 2 if tokens is None else tokens

    def _max_tokens(self) -> float:
        return max(1.0, SAFETY_FRACTION * self._bound().slack / max(1.0, self._divisor()))

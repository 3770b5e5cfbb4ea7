"""The budget of repeated sends that all instances share, spent in parts without any message."""

from collections.abc import Callable
from typing import NamedTuple

SAFETY_FRACTION = 0.8
"""The part of the budget that is spent: instances may be more than are believed to be."""


class RetryBound(NamedTuple):
    """What all instances together may send again.

    Attributes:
        ratio: Repeated sends for each request, over a window,
        slack: and so many in a window beside that.
    """

    ratio: float
    slack: float


class SharedRetryBudget:
    """How many sends beyond the first of each request may go to a service.

    The deployment allows, over any window, a part of the requests and some slack. This instance
    earns its part of the former with each of its own requests; its part of the slack can't be
    earned again but by requests.
    """

    def __init__(self, *, bound: Callable[[], RetryBound], divisor: Callable[[], float]) -> None:
        """Make it with half of this instance's slack.

        Half, since a process that is killed and started again would spend it a second time.

        Args:
            bound: Of all instances together, as it is now.
            divisor: How many parts of this instance's size the slack has; at least 1.
        """
        self._bound = bound
        self._divisor = divisor
        self._tokens: dict[str, float] = {}

    def record_request(self, service: str) -> None:
        """A request for a service came."""
        earned = SAFETY_FRACTION * self._bound().ratio
        self._tokens[service] = min(self._max_tokens(), self._tokens_of(service) + earned)

    def take(self, service: str) -> bool:
        """Spend one repeated send; False if there is none left."""
        tokens = self._tokens_of(service)
        if tokens < 1.0:
            return False
        self._tokens[service] = tokens - 1.0
        return True

    def available(self, service: str) -> float:
        """Repeated sends that are left."""
        return self._tokens_of(service)

    def _tokens_of(self, service: str) -> float:
        return self._tokens.get(service, self._max_tokens() / 2)

    def _max_tokens(self) -> float:
        return max(1.0, SAFETY_FRACTION * self._bound().slack / max(1.0, self._divisor()))

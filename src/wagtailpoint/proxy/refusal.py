"""Answers to requests that were not run: which status, and when to come back."""

import math
from http import HTTPStatus
from random import Random
from typing import Final, NamedTuple

from wagtailpoint.limits.allowance_sharing import SpendResult
from wagtailpoint.ports.backend import Headers
from wagtailpoint.proxy.caller_exchange import CallerExchange
from wagtailpoint.proxy.job import Outcome
from wagtailpoint.quarantine.quarantine import Admission
from wagtailpoint.routing.access import AccessRefusal
from wagtailpoint.verdict import Verdict

NO_ROOM_S: Final = 0.2
"""When a refused caller may come back: about two service times later some slots have changed."""

STARTING_S: Final = 0.5

SOON_S: Final = 1.0
"""The same for one whose key can't be vouched for, or whose workspace is over its allowance: what
it waits for comes within about a second, and most callers come back only once."""

QUARANTINED_S: Final = 60.0
"""A request that crashes backend servers will not be served before somebody has mended them."""

HONOURED_PART: Final = 1 / 3
"""Callers honour a time to come back up to this part of what they have left."""

CHALLENGE: Final = (b"www-authenticate", b"Bearer")


class Refusal(NamedTuple):
    """An answer that says that a request was not run.

    Attributes:
        status: The status.
        reason: One word for the caller, logs and metrics.
        come_back_s: When it may come again, in seconds; None if that would not help.
    """

    status: HTTPStatus
    reason: str
    come_back_s: float | None

    @property
    def headers(self) -> Headers:
        """The headers of the answer."""
        if self.come_back_s is not None:
            return [(b"retry-after", f"{self.come_back_s:.3f}".encode())]
        return [CHALLENGE] if self.status is HTTPStatus.UNAUTHORIZED else []

    async def send(self, caller: CallerExchange) -> Outcome:
        """Send the answer."""
        await caller.reply(self.status, self.headers, f"not run: {self.reason}\n".encode())
        return Outcome(self.status, self.reason, Verdict.NOT_RUN)


class Refusals:
    """Makes refusals; the times to come back are spread, so that callers don't come together."""

    def __init__(self, *, random: Random) -> None:
        """Make it.

        Args:
            random: Spreads the times.
        """
        self._random = random

    def starting(self) -> Refusal:
        """No configuration is known yet."""
        return Refusal(HTTPStatus.SERVICE_UNAVAILABLE, "starting", STARTING_S)

    def no_room(self, reason: str, left_s: float) -> Refusal:
        """No backend server takes it.

        Args:
            reason: One word.
            left_s: Seconds until the caller's deadline.
        """
        come_back_s = max(0.0, min(self._about(NO_ROOM_S), HONOURED_PART * left_s))
        return Refusal(HTTPStatus.SERVICE_UNAVAILABLE, reason, come_back_s)

    def crashing(self, admission: Admission, left_s: float) -> Refusal:
        """It crashes backend servers, or may."""
        if admission is not Admission.QUARANTINED:
            return self.no_room(admission.value, left_s)
        return Refusal(HTTPStatus.SERVICE_UNAVAILABLE, admission.value, QUARANTINED_S)

    def no_access(self, refusal: AccessRefusal) -> Refusal:
        """Its key does not allow it."""
        if refusal.is_final:
            return Refusal(HTTPStatus.UNAUTHORIZED, refusal.value, None)
        return Refusal(HTTPStatus.SERVICE_UNAVAILABLE, refusal.value, self._about(SOON_S))

    def over_allowance(self, spent: SpendResult, left_s: float) -> Refusal:
        """Its workspace has sent what it may, or nobody can say."""
        if spent.wait_s == math.inf:
            reason = "allowance-unknown"
            return Refusal(HTTPStatus.SERVICE_UNAVAILABLE, reason, self._about(SOON_S))
        come_back_s = min(spent.wait_s + self._about(SOON_S), HONOURED_PART * left_s)
        return Refusal(HTTPStatus.TOO_MANY_REQUESTS, "over-allowance", max(0.0, come_back_s))

    def _about(self, seconds: float) -> float:
        return seconds * self._random.uniform(0.5, 1.5)

"""Replies to requests that were not run, with their statuses and ``Retry-After`` times."""

import math
from http import HTTPStatus
from random import Random
from typing import Final, NamedTuple

from wagtailpoint.limits.allowance_sharing import SpendResult
from wagtailpoint.ports.backend import Headers
from wagtailpoint.proxy.caller_exchange import CallerExchange
from wagtailpoint.proxy.request_context import Outcome
from wagtailpoint.quarantine.quarantine import Admission
from wagtailpoint.routing.access import AccessRefusal
from wagtailpoint.verdict import Verdict

NO_ROOM_RETRY_AFTER_S: Final = 0.2
"""``Retry-After`` if no backend server has room: some slots are free about two service times later.
"""

STARTING_RETRY_AFTER_S: Final = 0.5

UNVERIFIED_RETRY_AFTER_S: Final = 1.0
"""``Retry-After`` if the key can't be verified or the workspace is over its allowance. Confirmation
or tokens usually arrive within about 1 s, and most callers retry only once."""

QUARANTINED_RETRY_AFTER_S: Final = 60.0
"""``Retry-After`` for quarantined requests, which are refused until the backend servers are fixed.
"""

RETRY_AFTER_FRACTION: Final = 1 / 3
"""Callers honour a ``Retry-After`` up to this fraction of the time left until their deadline."""

CHALLENGE: Final = (b"www-authenticate", b"Bearer")


class Refusal(NamedTuple):
    """A reply which states that a request was not run.

    Attributes:
        status: The status of the reply.
        reason: A short code for the caller, logs and metrics.
        retry_after_s: Seconds after which the caller may retry; None if a retry would not help.
    """

    status: HTTPStatus
    reason: str
    retry_after_s: float | None

    @property
    def headers(self) -> Headers:
        """The headers of the reply."""
        if self.retry_after_s is not None:
            return [(b"retry-after", f"{self.retry_after_s:.3f}".encode())]
        return [CHALLENGE] if self.status is HTTPStatus.UNAUTHORIZED else []

    @property
    def is_over_allowance(self) -> bool:
        """Whether the workspace is over its allowance."""
        return self.status is HTTPStatus.TOO_MANY_REQUESTS

    async def send(self, caller: CallerExchange) -> Outcome:
        """Send the reply and return the outcome."""
        await caller.reply(self.status, self.headers, f"not run: {self.reason}\n".encode())
        return Outcome(self.status, self.reason, Verdict.NOT_RUN)


class RefusalFactory:
    """Creates refusals with jittered ``Retry-After`` times, which spread callers' retries."""

    def __init__(self, *, random: Random) -> None:
        """Initialise the factory.

        Args:
            random: The source of jitter.
        """
        self._random = random

    def starting(self) -> Refusal:
        """Return the refusal used before a configuration is known."""
        return Refusal(HTTPStatus.SERVICE_UNAVAILABLE, "starting", STARTING_RETRY_AFTER_S)

    def stopping(self) -> Refusal:
        """Return the refusal of a request that would outlast this process.

        Other instances can serve it at once.
        """
        return Refusal(HTTPStatus.SERVICE_UNAVAILABLE, "stopping", 0.0)

    def no_room(self, reason: str, remaining_s: float, *, room_in_s: float = 0.0) -> Refusal:
        """Return the refusal of a request that no backend server can take.

        Args:
            reason: A short code.
            remaining_s: Seconds until the caller's deadline.
            room_in_s: Seconds until a backend server may take requests again.
        """
        retry_after_s = max(
            0.0,
            min(
                room_in_s + self._with_jitter(NO_ROOM_RETRY_AFTER_S),
                RETRY_AFTER_FRACTION * remaining_s,
            ),
        )
        return Refusal(HTTPStatus.SERVICE_UNAVAILABLE, reason, retry_after_s)

    def crashing(self, admission: Admission, remaining_s: float) -> Refusal:
        """Return the refusal of a request that crashes backend servers or is suspected to."""
        if admission is not Admission.QUARANTINED:
            return self.no_room(admission.value, remaining_s)
        return Refusal(HTTPStatus.SERVICE_UNAVAILABLE, admission.value, QUARANTINED_RETRY_AFTER_S)

    def no_access(self, refusal: AccessRefusal) -> Refusal:
        """Return the refusal of a request whose key does not permit it."""
        if refusal.is_final:
            return Refusal(HTTPStatus.UNAUTHORIZED, refusal.value, None)
        return Refusal(
            HTTPStatus.SERVICE_UNAVAILABLE,
            refusal.value,
            self._with_jitter(UNVERIFIED_RETRY_AFTER_S),
        )

    def over_allowance(self, spent: SpendResult, remaining_s: float) -> Refusal:
        """Return the refusal of a request whose workspace's allowance is used up or unknown."""
        if spent.wait_s == math.inf:
            reason = "allowance-unknown"
            return Refusal(
                HTTPStatus.SERVICE_UNAVAILABLE, reason, self._with_jitter(UNVERIFIED_RETRY_AFTER_S)
            )
        retry_after_s = min(
            spent.wait_s + self._with_jitter(UNVERIFIED_RETRY_AFTER_S),
            RETRY_AFTER_FRACTION * remaining_s,
        )
        return Refusal(HTTPStatus.TOO_MANY_REQUESTS, "over-allowance", max(0.0, retry_after_s))

    def _with_jitter(self, seconds: float) -> float:
        return seconds * self._random.uniform(0.5, 1.5)

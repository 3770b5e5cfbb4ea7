"""Shares of a rate: an instance spends its own part of a limit in requests a second.

The total is split by seats, and moved by loans that end, as permits are: the giver subtracts before
the taker adds. Within any stretch of time all instances together spend no more than the total for
that time and one burst, whoever is frozen, cut off or dead.

The daemon does not use it yet: workspace limits are split evenly, see ``admission.rates``.
"""

from collections.abc import Callable
from typing import NamedTuple

from wagtailpoint.limits.lease import LAPSE_PART
from wagtailpoint.ports.clock import Clock


class RateLoan(NamedTuple):
    """A part of a rate that is lent.

    Attributes:
        name: The limit.
        per_s: How much of it, in requests a second.
        loan_s: For so many seconds from when the ask was *sent*, by the borrower's clock.
    """

    name: str
    per_s: float
    loan_s: float


class _Held(NamedTuple):
    per_s: float
    until: float


class RateShare:
    """This instance's part of one rate, as a token bucket."""

    def __init__(
        self,
        *,
        name: str,
        clock: Clock,
        total_per_s: Callable[[], float],
        spendable: Callable[[], float],
        lendable: Callable[[], float],
        burst_s: float,
        loan_s: float,
    ) -> None:
        """Make it with an empty bucket.

        Args:
            name: The limit.
            clock: Must count suspension.
            total_per_s: The limit, over all instances, in requests a second.
            spendable: The part of it (0 to 1) that the seats let this instance spend now.
            lendable: The part of it that may be lent, see ``Seat.lendable_fraction``.
            burst_s: The bucket holds the share of so many seconds.
            loan_s: How long a loan lasts, in seconds; no longer than what the seat keeper awaits.
        """
        self._name = name
        self._clock = clock
        self._total_per_s = total_per_s
        self._spendable = spendable
        self._lendable = lendable
        self._burst_s = burst_s
        self._loan_s = loan_s
        self._lent: list[_Held] = []
        self._borrowed: list[_Held] = []
        self._tokens = 0.0
        self._filled_at = clock.monotonic()
        self._rate = 0.0

    @property
    def per_s(self) -> float:
        """What may be spent now, in requests a second."""
        now = self._clock.monotonic()
        self._lent = [each for each in self._lent if each.until > now]
        self._borrowed = [each for each in self._borrowed if each.until > now]
        own = self._spendable() * self._total_per_s() - sum(each.per_s for each in self._lent)
        return max(0.0, own) + sum(each.per_s for each in self._borrowed)

    @property
    def is_drained(self) -> bool:
        """Whether nothing is lent."""
        _ = self.per_s
        return not self._lent

    def try_spend(self, cost: float = 1.0) -> bool:
        """Spend tokens if they are there; dispatch in the same step, with no await between."""
        self._fill()
        if self._tokens < cost:
            return False
        self._tokens -= cost
        return True

    def lend(self, wanted_per_s: float) -> RateLoan:
        """Give away a part of what is not lent yet; it is missing here before it is used there."""
        rate = self.per_s
        lent = sum(each.per_s for each in self._lent)
        spare = self._lendable() * self._total_per_s() - lent
        per_s = max(0.0, min(wanted_per_s, spare, rate))
        if per_s > 0:
            self._lent.append(_Held(per_s, self._clock.monotonic() + self._loan_s))
        self._fill()
        return RateLoan(self._name, per_s, self._loan_s)

    def receive(self, loan: RateLoan, *, asked_at: float) -> None:
        """Take in a loan that was asked for at ``asked_at`` or later, by this process's clock."""
        self._fill()
        self._borrowed.append(_Held(loan.per_s, asked_at + loan.loan_s * LAPSE_PART))

    def _fill(self) -> None:
        now = self._clock.monotonic()
        rate = self.per_s
        # The rate may have changed at any moment since the last look; the smaller one is safe.
        self._tokens += min(rate, self._rate) * (now - self._filled_at)
        self._tokens = min(self._tokens, rate * self._burst_s)
        self._filled_at, self._rate = now, rate

"""What instances say to each other about permits, and what is set aside for an asker."""

from typing import NamedTuple

from wagtailpoint.limits.homes import Permit
from wagtailpoint.ports.peers import register_message


class LoanedPermit(NamedTuple):
    """A permit and the number of the loan, which tells it from an earlier loan of the same."""

    permit: Permit
    loan: int


class PermitAsk(NamedTuple):
    """Asks another instance for permits.

    Attributes:
        pool: The backend servers meant.
        held: How many permits the asking instance has, those in use among them.
        need: How many it needs, smoothed over time, its queue included.
        keep: Loans by the asked instance that shall be prolonged.
        returned: Loans by the asked instance that are over; they are no longer used.
    """

    pool: str
    held: int
    need: float
    keep: tuple[LoanedPermit, ...]
    returned: tuple[LoanedPermit, ...]


class PermitLoan(NamedTuple):
    """Answers ``PermitAsk``.

    Attributes:
        held: How many permits the lender still has.
        need: How many it needs.
        permits: What is lent, prolonged loans among them.
        returned: Loans by the asking instance that are over; they are no longer used.
        loan_s: For so many seconds from when the ask was *sent*, by the borrower's clock.
    """

    held: int
    need: float
    permits: tuple[LoanedPermit, ...]
    returned: tuple[LoanedPermit, ...]
    loan_s: float


class Collection:
    """Permits set aside for one asker, among them such as were in use when it asked.

    At a high load nothing is idle at most moments, so an asker that is only given what is idle
    would stay short for good.
    """

    def __init__(self, *, asker: str, wanted: int) -> None:
        self.asker = asker
        self.wanted = wanted
        self.permits: list[Permit] = []

    @property
    def is_full(self) -> bool:
        """All that was wanted is there."""
        return len(self.permits) >= self.wanted


register_message("permit-ask", PermitAsk)
register_message("permit-loan", PermitLoan)

"""What goes into the choice of a backend server, and what comes out of it."""

from collections.abc import Collection, Sequence
from typing import Final, NamedTuple

from wagtailpoint.discovery.entries import ServerEntry
from wagtailpoint.placement.expectation import Expectation
from wagtailpoint.placement.server_load import LoadReport
from wagtailpoint.routing.table import HostRoute, ServicePolicy

FREE_SLOT_SPEEDUP_FRACTION: Final = 0.5
"""The part of its expected service time that a request may be faster by at a free slot."""


class Demand(NamedTuple):
    """What a request needs.

    Attributes:
        route: Its route.
        service: The service that the route sent it to.
        policy: What the configuration says of the service.
        key: Its affinity key; empty if it has none.
        tried: Backend servers that it was sent to before.
        remaining_s: Seconds left until its deadline.
        objective_remaining_s: Seconds left in which an answer has its full value.
    """

    route: HostRoute
    service: str
    policy: ServicePolicy | None
    key: str
    tried: Collection[str]
    remaining_s: float
    objective_remaining_s: float


class Choice(NamedTuple):
    """The backend server for a request, and what it was chosen by.

    Attributes:
        entry: The backend server.
        region: Where it is.
        rank: Its rank for the key among all.
        cached: The chance that the object is cached there.
        expected: What to expect there.
        occupancy: The requests believed to be there.
        report_age_s: How old the newest report of its load is, in seconds.
    """

    entry: ServerEntry
    region: str
    rank: int
    cached: float
    expected: Expectation
    occupancy: float
    report_age_s: float


class Declined(NamedTuple):
    """A backend server that has no room for a request.

    Attributes:
        entry: The backend server.
        reason: ``full``, or ``cold`` if it gets no more requests in this moment.
        occupancy: The requests believed to be there.
        report_age_s: How old the newest report of its load is, in seconds.
    """

    entry: ServerEntry
    reason: str
    occupancy: float
    report_age_s: float


class NotPlaced(NamedTuple):
    """Why a request can't be sent now.

    Attributes:
        reason: For the log.
        declined: The backend servers that it should go to, and why it can't.
    """

    reason: str
    declined: Sequence[Declined] = ()


class Observation(NamedTuple):
    """How an exchange ended, as far as the backend server is concerned.

    Attributes:
        latency_s: Until the end of the answer, in seconds.
        reply_bytes: Its length.
        failed: It was a failure of the backend server's own.
        shed: It was refused without being run.
        report: The load that came with it.
        cold_s: How much longer the backend server stays cold, if it said so.
    """

    latency_s: float
    reply_bytes: int
    failed: bool
    shed: bool
    report: LoadReport | None
    cold_s: float


def expected_loss(choice: Choice) -> float:
    """What is lost of the answer's value by this choice."""
    return choice.expected.loss


def is_too_late(choice: Choice, remaining_s: float) -> bool:
    """Whether an answer can hardly come in time.

    With a free slot the service time is given the benefit of the doubt: the slot costs nobody else
    anything, and the answer, if only to a late request, shows what is true now.
    """
    expected = choice.expected
    if choice.occupancy < choice.entry.slots:
        return expected.latency_s - FREE_SLOT_SPEEDUP_FRACTION * expected.service_s > remaining_s
    return expected.latency_s > remaining_s

"""Input and result types of the choice of a backend server."""

from collections.abc import Collection, Sequence
from typing import Final, NamedTuple

from wagtailpoint.discovery.entries import ServerEntry
from wagtailpoint.placement.expectation import Expectation
from wagtailpoint.placement.load_report import NORMAL_PACE, LoadReport
from wagtailpoint.routing.table import HostRoute, ServicePolicy

FREE_SLOT_SPEEDUP_FRACTION: Final = 0.5
"""At a free slot a request may turn out faster than expected by this fraction of its service
time."""

LIMITED: Final = "limited"
"""The reason why a backend server is declined whose stated limit allows no further request."""


BACKING_OFF: Final = "backing-off"
"""The reason why a backend server is declined that wants no requests for some time."""


class Demand(NamedTuple):
    """The requirements of a request that is to be placed.

    Attributes:
        route: The request's route.
        service: The service that the route selected.
        policy: The configuration of the service; None if it is unknown.
        key: The affinity key; empty if the request has none.
        tried: The ids of the backend servers that the request was sent to before.
        remaining_s: Seconds until the request's deadline.
        objective_remaining_s: Seconds until the latency objective, after which an answer is worth
            less.
    """

    route: HostRoute
    service: str
    policy: ServicePolicy | None
    key: str
    tried: Collection[str]
    remaining_s: float
    objective_remaining_s: float


class Choice(NamedTuple):
    """The backend server chosen for a request, with the estimates behind the choice.

    Attributes:
        entry: The backend server.
        region: The region of the backend server.
        rank: The rank of the backend server for the affinity key among all candidates.
        cached: The probability that the object is cached there.
        expected: The expected latency and loss.
        occupancy: The estimated number of requests there.
        report_age_s: The age of the backend server's newest load report, in seconds.
        pace: The expected pace of its machine, as a multiple of the normal time of work.
        occupied_ratio: The expected ratio of the service time to that at a nearly idle server.
    """

    entry: ServerEntry
    region: str
    rank: int
    cached: float
    expected: Expectation
    occupancy: float
    report_age_s: float
    pace: float = NORMAL_PACE
    occupied_ratio: float = 1.0


class Declined(NamedTuple):
    """A backend server without capacity for a request.

    Attributes:
        entry: The backend server.
        reason: ``full``; ``cold``, ``limited`` or ``backing-off`` if its slow start, the limit that
            it states, or the backoff that it requested allows no further request at the moment.
        occupancy: The estimated number of requests there.
        report_age_s: The age of the backend server's newest load report, in seconds.
    """

    entry: ServerEntry
    reason: str
    occupancy: float
    report_age_s: float


class NotPlaced(NamedTuple):
    """The result for a request that cannot be sent at the moment.

    Attributes:
        reason: The reason, for the log.
        declined: The considered backend servers, each with the reason why it was not chosen.
        retry_after_s: Seconds until a backend server may take the request; 0 if that is not known.
    """

    reason: str
    declined: Sequence[Declined] = ()
    retry_after_s: float = 0.0


class Observation(NamedTuple):
    """The result of an exchange with a backend server.

    Attributes:
        latency_s: The time until the end of the answer, in seconds.
        reply_bytes: The length of the answer.
        failed: The answer was a failure of the backend server itself.
        shed: The backend server refused the request without running it.
        report: The load report that came with the answer; None if there was none.
        cold_s: The seconds that the backend server stays cold, 0 if the answer did not say so.
    """

    latency_s: float
    reply_bytes: int
    failed: bool
    shed: bool
    report: LoadReport | None
    cold_s: float


def expected_loss(choice: Choice) -> float:
    """Return the expected loss of the answer's value for this choice."""
    return choice.expected.loss


def is_too_late(choice: Choice, remaining_s: float) -> bool:
    """Return whether an answer is unlikely to arrive within the remaining time.

    At a free slot a shorter service time than expected is assumed: the request delays no other
    one, and its answer, even if it is late, corrects the estimate.
    """
    expected = choice.expected
    if choice.occupancy < choice.entry.slots:
        return expected.latency_s - FREE_SLOT_SPEEDUP_FRACTION * expected.service_s > remaining_s
    return expected.latency_s > remaining_s


def are_kept_back(weighed: Sequence[Choice | Declined], *, is_backing_off: bool) -> bool:
    """Return whether no server can take a request, and a stated limit or a backoff is a reason.

    They, and not the load, then keep the request from its servers, and others may have room.
    """
    if any(isinstance(option, Choice) for option in weighed):
        return False
    return is_backing_off or any(
        isinstance(option, Declined) and option.reason == LIMITED for option in weighed
    )

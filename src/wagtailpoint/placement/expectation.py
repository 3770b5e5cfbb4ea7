"""Expected latency of a request at a backend server, and the expected loss of the answer's value.

All criteria share one scale, on which an answer in time has the value 1. A probability of 10 % to
be late costs 0.1 of the loss of a late answer; bytes sent between failure domains cost their price.
"""

import math
from typing import Final, NamedTuple

LATE_LOSS: Final = 0.8
"""Loss of a late answer, which is worth a fifth of one in time."""

UNCACHED_FACTOR: Final = 3.3
"""Ratio of the service time of an uncached object to that of a cached one."""

COLD_FACTOR: Final = 2.0
"""Ratio of the service time during slow start to that of a warm backend server."""

SERVICE_SPREAD: Final = 0.2
"""Spread of the service time as a fraction of it. Service times vary by 15 %, and the round trip by
a few milliseconds."""

MIN_SPREAD_S: Final = 0.008

CROWDING_LOSS: Final = 0.15
"""Loss that a request causes to others at a backend server whose slots are all in use."""

SCARCITY_EXPONENT: Final = 4
"""Exponent of the cost of slot time over utilisation: it is small while half of the slots are in
use, and full when all are, since a request that gets no slot loses its whole value."""

TIME_LOSS: Final = 0.03
"""Loss for a latency equal to the objective, so that the faster of two servers in time is
preferred."""

DOMAIN_LOSS_PER_KB: Final = 0.02
REGION_LOSS_PER_KB: Final = 0.005
"""Loss per kilobyte of an answer sent between failure domains of a region, and between regions. The
latter is low because a long answer from another region is better than none, even at half its
value."""

MAX_DOMAIN_LOSS: Final = 0.8
"""Maximum transfer loss within a region. An answer of any length from another failure domain is
better than none, and better than a late one whose object is not cached."""

REGION_LOSS: Final = 0.06
"""Loss of each request to another region, whatever the size of its answer: its headers are sent
there too, and links between regions are the first to fail."""


class Prospect(NamedTuple):
    """The estimates for a request at a backend server.

    Attributes:
        service_s: The service time in seconds if the object is cached.
        ahead_service_s: The mean service time, in seconds, of the requests queued ahead of it.
        cached: The probability that its object is cached.
        expected_uses: How often the object will be used there once it is cached.
        round_trip_s: The round-trip time in seconds.
        occupancy: The number of requests there.
        slots: The number of slots there.
        utilisation: The utilisation of all slots of the service, 0 to 1.
        error_share: The fraction of answers that are failures, 0 to 1.
        reply_bytes: The size of the answer.
        crosses_domain: The request goes to another failure domain of the same region.
        crosses_region: The request goes to another region.
        others_delay: The sum of the delays that it causes to the requests there, as a multiple of
            the mean service time.
    """

    service_s: float
    ahead_service_s: float
    cached: float
    expected_uses: float
    round_trip_s: float
    occupancy: float
    slots: int
    utilisation: float
    error_share: float
    reply_bytes: float
    crosses_domain: bool
    crosses_region: bool
    others_delay: float = 0.0


class Expectation(NamedTuple):
    """The expected latency and loss of a request at a backend server.

    Attributes:
        latency_s: The mean time until the answer, in seconds.
        service_s: The service time within it.
        wait_s: The wait for a slot within it.
        loss: The expected loss of the answer's value.
    """

    latency_s: float
    service_s: float
    wait_s: float
    loss: float


def expect(prospect: Prospect, *, objective_s: float) -> Expectation:
    """Return the expectation for a request whose answer is due in ``objective_s`` seconds.

    The cost of an uncached object is spread over its expected uses, since the first use fetches it
    for all. Otherwise no object would ever be cached at a further backend server.
    """
    cached_s, uncached_s = prospect.service_s, prospect.service_s * UNCACHED_FACTOR
    service_s = prospect.cached * cached_s + (1 - prospect.cached) * uncached_s
    wait_s = _wait_s(prospect.occupancy, prospect.slots, prospect.ahead_service_s)
    cached_loss = _loss(prospect, cached_s, wait_s, objective_s)
    uncached_loss = _loss(prospect, uncached_s, wait_s, objective_s)
    loss = (
        cached_loss + (1 - prospect.cached) * (uncached_loss - cached_loss) / prospect.expected_uses
    )
    return Expectation(
        latency_s=prospect.round_trip_s + wait_s + service_s,
        service_s=service_s,
        wait_s=wait_s,
        loss=loss + _transfer_loss(prospect) + _delay_loss(prospect, objective_s),
    )


def _loss(prospect: Prospect, service_s: float, wait_s: float, objective_s: float) -> float:
    """Return the loss for a given service time, without the transfer loss."""
    ahead_s = prospect.round_trip_s + wait_s
    # The occupancy is an estimate, so the uncertainty of the wait grows with its length.
    late_probability = _late_probability(
        ahead_s, service_s, 0.6 * wait_s + MIN_SPREAD_S, objective_s
    )
    crowding = CROWDING_LOSS * (prospect.occupancy / prospect.slots) ** 2
    # In the time that one uncached object takes, several cached ones could have been served.
    scarcity = prospect.utilisation**SCARCITY_EXPONENT * service_s / prospect.service_s
    return (
        LATE_LOSS * max(late_probability, prospect.error_share)
        + crowding * service_s / objective_s
        + scarcity
        + TIME_LOSS * (ahead_s + service_s) / objective_s
    )


def _delay_loss(prospect: Prospect, objective_s: float) -> float:
    """Return the loss by the delay of others, who may be late and hold their slots for longer."""
    if not prospect.others_delay:
        return 0.0
    lateness = LATE_LOSS * prospect.ahead_service_s / objective_s
    return prospect.others_delay * (lateness + prospect.utilisation**SCARCITY_EXPONENT)


def _late_probability(
    ahead_s: float, service_s: float, spread_s: float, objective_s: float
) -> float:
    """Return the probability of a late answer; the logistic curve approximates the normal one."""
    spread_s += SERVICE_SPREAD * service_s
    steps = 1.7 * (ahead_s + service_s - objective_s) / spread_s
    return 1 / (1 + math.exp(-max(-30.0, min(30.0, steps))))


def _wait_s(occupancy: float, slots: int, service_s: float) -> float:
    """Return the expected wait for a slot, in seconds; it rises before all slots are in use."""
    if occupancy < slots:
        return 0.3 * service_s * (occupancy / slots) ** 2
    return service_s * (0.3 + (occupancy - slots + 1) / slots)


def _transfer_loss(prospect: Prospect) -> float:
    kilobytes = prospect.reply_bytes / 1024
    if prospect.crosses_region:
        return REGION_LOSS + REGION_LOSS_PER_KB * kilobytes
    if prospect.crosses_domain:
        return min(MAX_DOMAIN_LOSS, DOMAIN_LOSS_PER_KB * kilobytes)
    return 0.0

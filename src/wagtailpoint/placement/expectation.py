"""What a request may expect at a backend server, and what is lost by that, as a part of its value.

One scale for everything that speaks for or against a backend server: the value of an answer in
time is 1, so a chance of 10 % to be late costs 0.1 times what lateness costs, and bytes that cross
between failure domains cost their price.
"""

import math
from typing import Final, NamedTuple

LATE_LOSS: Final = 0.8
"""A late answer is worth a fifth of one in time."""

UNCACHED_FACTOR: Final = 3.3
"""An object that is not cached takes so many times as long."""

COLD_FACTOR: Final = 2.0
"""A backend server that has just started takes so many times as long."""

SERVICE_SPREAD: Final = 0.2
"""Service times vary by 15 %, and the way there and back by a few milliseconds."""

MIN_SPREAD_S: Final = 0.008

CROWDING_LOSS: Final = 0.15
"""What a request costs the others at a backend server whose slots are all in use."""

SCARCITY_EXPONENT: Final = 4
"""How fast a slot's time gains value as the slots fill up: hardly any at half, all of it when they
are full, and a request that is not served is lost whole."""

TIME_LOSS: Final = 0.03
"""Per latency objective: of two that are both in time the faster is preferred."""

DOMAIN_LOSS_PER_KB: Final = 0.02
REGION_LOSS_PER_KB: Final = 0.005
"""What bytes of an answer cost, as a part of its value, between failure domains of a region and
between regions. The latter is low: a long answer from another region may cost half of its value,
but is better than none."""

MAX_DOMAIN_LOSS: Final = 0.8
"""However long an answer is, one from the failure domain beside is better than none, and than one
that is late because its object is not cached."""

REGION_LOSS: Final = 0.06
"""What each request to another region costs, whatever its answer: headers cross, too, and
links between regions are what fails first."""


class Prospect(NamedTuple):
    """What is known of a request at a backend server.

    Attributes:
        service_s: Its service time with a cached object.
        ahead_service_s: The mean service time of the requests that it would wait behind.
        cached: The chance that its object is cached.
        expected_uses: How often the object will be used there if it gets cached now.
        round_trip_s: The way there and back.
        occupancy: The requests there.
        slots: The slots there.
        utilisation: Of all slots of the service, 0 to 1.
        error_share: The part of answers that are failures.
        reply_bytes: The size of the answer.
        crosses_domain: It goes to another failure domain of the same region.
        crosses_region: It goes to another region.
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


class Expectation(NamedTuple):
    """What to expect.

    Attributes:
        latency_s: The mean time until the answer.
        service_s: The part of it that the backend server works.
        wait_s: The part of it that the request waits for a slot there.
        loss: What is lost of the answer's value.
    """

    latency_s: float
    service_s: float
    wait_s: float
    loss: float


def expect(prospect: Prospect, *, objective_s: float) -> Expectation:
    """What to expect of a request whose answer is due in ``objective_s`` seconds.

    What an object that is not cached costs is spread over its uses: the first of them pays for
    all. Without that, no object would ever be cached anywhere but where it is.
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
        loss=loss + _transfer_loss(prospect),
    )


def _loss(prospect: Prospect, service_s: float, wait_s: float, objective_s: float) -> float:
    """The loss if the backend server works for so long, without that of the bytes."""
    ahead_s = prospect.round_trip_s + wait_s
    # The occupancy is an estimate, so what waits is as uncertain as it is long.
    late_probability = _late_probability(
        ahead_s, service_s, 0.6 * wait_s + MIN_SPREAD_S, objective_s
    )
    crowding = CROWDING_LOSS * (prospect.occupancy / prospect.slots) ** 2
    # In the time that an object takes that is not cached, several others could have been served.
    scarcity = prospect.utilisation**SCARCITY_EXPONENT * service_s / prospect.service_s
    return (
        LATE_LOSS * max(late_probability, prospect.error_share)
        + crowding * service_s / objective_s
        + scarcity
        + TIME_LOSS * (ahead_s + service_s) / objective_s
    )


def _late_probability(
    ahead_s: float, service_s: float, spread_s: float, objective_s: float
) -> float:
    """The chance of an answer after the objective; a logistic curve is close to the normal one."""
    spread_s += SERVICE_SPREAD * service_s
    steps = 1.7 * (ahead_s + service_s - objective_s) / spread_s
    return 1 / (1 + math.exp(-max(-30.0, min(30.0, steps))))


def _wait_s(occupancy: float, slots: int, service_s: float) -> float:
    """The expected wait for a slot, in seconds: rising before the slots are all in use."""
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

"""Samples of service times, as answers give them to the estimates of routes and services."""

from wagtailpoint.placement.choice import Choice, Demand, Observation
from wagtailpoint.placement.estimates import Estimates
from wagtailpoint.placement.weigher import WARM_CACHED_CHANCE


def record_service_time(
    estimates: Estimates,
    demand: Demand,
    choice: Choice,
    seen: Observation,
    service_s: float,
    now: float,
) -> None:
    """Record the service time of an answer, at the normal pace of its machine.

    Args:
        estimates: The estimates that are updated.
        demand: The requirements of the request.
        choice: The backend server that answered.
        seen: The answer.
        service_s: The time at the backend server in seconds, divided by its machine's pace.
        now: The current time in seconds.
    """
    slots = choice.entry.slots
    occupied = estimates.occupied(demand.service)
    report = seen.report
    if report is None or choice.occupancy > slots - 1 or report.waiting:
        # The time may include a wait for a slot.
        fraction = None
    else:
        fraction = (choice.occupancy + 1 + report.running) / 2 / slots
        if choice.cached >= WARM_CACHED_CHANCE:
            normal_s = estimates.cost_of(demand.route, demand.service).service_s(now)
            estimates.record_occupied(demand.service, fraction, service_s, normal_s)
    if choice.occupancy < slots - 1:
        if occupied is not None:
            service_s /= choice.occupied_ratio if fraction is None else occupied.ratio(fraction)
        estimates.record_answer(demand.route, demand.service, service_s, seen.reply_bytes, now)
